// Command kcw-router receives the requests of callers: it admits, routes, streams
// and settles them.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid
// settings or arguments.
package main

import (
	"context"
	"io"
	"log"
	"os"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-router/kcwsetup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwprogram"
)

const programName = "kcw-router"

func main() {
	p := kcwprogram.New(kcwprogram.Config{Name: programName, Help: "Runs one router.", Load: load, Errors: os.Stderr})
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}

// load reads the settings and keys, and returns the function that runs the router.
func load(path string) (func() error, error) {
	s, err := kcwsetup.Load(path)
	if err != nil {
		return nil, err
	}
	k, err := s.LoadKeys()
	if err != nil {
		return nil, err
	}
	return func() error { return serve(s, k) }, nil
}

// serve runs the router until a signal stops it.
func serve(s *kcwsetup.Settings, k kcwsetup.Keys) error {
	logger, err := kcwlog.New(kcwlog.Config{Writer: os.Stderr, Level: s.Host.LogLevel, Program: programName, Host: s.Host.Name})
	if err != nil {
		return err
	}
	defer logger.Close()
	// net/http logs to the standard logger, and its lines may contain bytes of
	// answers.
	log.SetOutput(io.Discard)
	p, err := newProcess(s, k)
	if err != nil {
		klog.ErrorS(err, "Router not started")
		return err
	}
	if err := p.run(logger); err != nil {
		klog.ErrorS(err, "Router failed")
		return err
	}
	return nil
}
