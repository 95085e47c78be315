// Package kcwprogram implements the command line of the system's daemons: a settings
// file, a flag to check it only, and the exit codes.
package kcwprogram

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Config configures a Program. Every field is required.
type Config struct {
	// Name is the program's name, and Help describes the program in one line.
	Name, Help string
	// Load reads and validates the settings at path and the key files that they
	// name. It returns the function that runs the daemon until it is stopped.
	Load func(path string) (serve func() error, err error)
	// Errors receives error messages and the usage text.
	Errors io.Writer
}

// Kind classifies an Error.
type Kind string

const (
	// Usage means that the settings or arguments are invalid.
	Usage Kind = "usage"
	// Failed means that the daemon failed.
	Failed Kind = "failed"
)

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Program is the command line of one daemon.
type Program struct {
	cfg Config
}

// New returns a Program. It panics if cfg lacks Name, Load or Errors.
func New(cfg Config) *Program {
	if cfg.Name == "" || cfg.Load == nil || cfg.Errors == nil {
		panic("kcwprogram: Name, Load and Errors are required")
	}
	return &Program{cfg: cfg}
}

// Run executes the command line args, which don't include the program's name. It
// returns the exit code: 0 after a planned stop, a successful check or a request for
// help, 1 after a failure, 2 for invalid settings or arguments.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.command().ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintf(p.cfg.Errors, "%s: %v\n", p.cfg.Name, err)
	var failure *Error
	if errors.As(err, &failure) && failure.Kind == Failed {
		return exitFailed
	}
	return exitUsage
}

func (p *Program) command() *ffcli.Command {
	flags := flag.NewFlagSet(p.cfg.Name, flag.ContinueOnError)
	flags.SetOutput(p.cfg.Errors)
	path := flags.String("settings", "", "path of the INI settings `file`")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name:       p.cfg.Name,
		ShortUsage: p.cfg.Name + " -settings FILE [-check]",
		ShortHelp:  p.cfg.Help,
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if *path == "" || len(args) > 0 {
				return &Error{Op: "parse", Kind: Usage, Err: errors.New("give -settings FILE and nothing more")}
			}
			return p.start(*path, *check)
		},
	}
}

// start loads the settings and, unless check is set, runs the daemon.
func (p *Program) start(path string, check bool) error {
	serve, err := p.cfg.Load(path)
	if err != nil {
		return &Error{Op: "load", Kind: Usage, Err: err}
	}
	if check {
		return nil
	}
	if err := serve(); err != nil {
		return &Error{Op: "serve", Kind: Failed, Err: err}
	}
	return nil
}
