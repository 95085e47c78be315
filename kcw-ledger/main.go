// Command kcw-ledger is one replica of the ledger: the replicated, durable
// state of contracts, budgets, grants, claims and bills.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for bad settings or
// arguments.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwlog"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError is bad settings or arguments.
type usageError struct {
	err error
}

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run carries out the command line and returns the exit code.
func run(args []string) int {
	err := command().ParseAndRun(context.Background(), args)
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "kcw-ledger:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "kcw-ledger:", err)
	return exitFailed
}

func command() *ffcli.Command {
	flags := flag.NewFlagSet("kcw-ledger", flag.ContinueOnError)
	path := flags.String("settings", "", "path of the INI settings `file`")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name:       "kcw-ledger",
		ShortUsage: "kcw-ledger -settings FILE [-check]",
		ShortHelp:  "Runs one replica of the ledger.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if *path == "" || len(args) > 0 {
				return &usageError{errors.New("give -settings FILE and nothing more")}
			}
			return start(*path, *check)
		},
	}
}

// start reads the settings and runs the replica until it is told to stop.
func start(path string, check bool) error {
	s, err := kcwsetup.Load(path)
	if err != nil {
		return &usageError{err}
	}
	k, err := s.LoadKeys()
	if err != nil {
		return &usageError{err}
	}
	if check {
		return nil
	}
	logger, err := kcwlog.New(kcwlog.Config{
		Writer:  os.Stderr,
		Level:   s.Host.LogLevel,
		Program: "kcw-ledger",
		Host:    s.Host.Name,
	})
	if err != nil {
		return &usageError{err}
	}
	defer logger.Close()
	if err := serve(s, k, logger); err != nil {
		klog.ErrorS(err, "Ledger replica failed")
		return eris.Wrap(err, "run")
	}
	return nil
}
