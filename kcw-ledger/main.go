// Command kcw-ledger runs one replica of the ledger, which stores contracts,
// budgets, grants, claims and bills durably in a replicated log.
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

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwprogram"
)

const programName = "kcw-ledger"

func main() {
	p := kcwprogram.New(kcwprogram.Config{Name: programName, Help: "Runs one replica of the ledger.", Load: load, Errors: os.Stderr})
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}

// load reads the settings and keys, and returns the function that runs the replica.
func load(path string) (func() error, error) {
	s, err := kcwsetup.Load(path)
	if err != nil {
		return nil, err
	}
	k, err := s.LoadKeys()
	if err != nil {
		return nil, err
	}
	return func() error { return run(s, k) }, nil
}

// run serves until a signal stops the replica.
func run(s *kcwsetup.Settings, k kcwsetup.Keys) error {
	logger, err := kcwlog.New(kcwlog.Config{Writer: os.Stderr, Level: s.Host.LogLevel, Program: programName, Host: s.Host.Name})
	if err != nil {
		return err
	}
	defer logger.Close()
	// net/http logs each of some failures of clients to the standard logger.
	log.SetOutput(io.Discard)
	if err := serve(s, k, logger); err != nil {
		klog.ErrorS(err, "Ledger replica failed")
		return err
	}
	return nil
}
