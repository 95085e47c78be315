// Command kcw-router is the entry of callers: it admits, routes, streams and
// settles their requests.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for bad settings or
// arguments.
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

// name is the program's name.
const name = "kcw-router"

func main() {
	p := kcwprogram.New(kcwprogram.Config{Name: name, Help: "Runs one router.", Load: load, Errors: os.Stderr})
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}

// load reads the settings and keys, and returns what runs the router.
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

// serve runs the router until it is told to stop.
func serve(s *kcwsetup.Settings, k kcwsetup.Keys) error {
	logger, err := kcwlog.New(kcwlog.Config{Writer: os.Stderr, Level: s.Host.LogLevel, Program: name, Host: s.Host.Name})
	if err != nil {
		return err
	}
	defer logger.Close()
	// The standard logger is net/http's, whose lines may hold bytes of answers.
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
