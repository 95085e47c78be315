// Package kcwuptime reads a host's uptime: the time since boot, including time in
// suspension. Processes that run one after another on a host read the same clock
// until the next boot.
package kcwuptime

import (
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bootPath is the file that holds the identifier of the current boot.
const bootPath = "/proc/sys/kernel/random/boot_id"

// Clock reads the uptime of the boot in which it was created.
type Clock struct {
	boot    string
	started time.Duration
}

// Kind classifies an Error.
type Kind int

// Unreadable means that the boot identifier or the uptime cannot be read.
const Unreadable Kind = 1

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return "kcwuptime: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a Clock for the current boot. The error is an *Error.
func New() (*Clock, error) {
	boot, err := os.ReadFile(bootPath)
	if err != nil {
		return nil, &Error{Op: "new", Kind: Unreadable, Err: eris.Wrap(err, "read the boot identifier")}
	}
	started, err := read()
	if err != nil {
		return nil, &Error{Op: "new", Kind: Unreadable, Err: eris.Wrap(err, "read the uptime")}
	}
	return &Clock{boot: strings.TrimSpace(string(boot)), started: started}, nil
}

func read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Boot returns the identifier of the boot.
func (c *Clock) Boot() string { return c.boot }

// Started returns the uptime at which the Clock was created.
func (c *Clock) Started() time.Duration { return c.started }

// Now returns the current uptime. It panics if the uptime can't be read,
// which is not expected after New has read it.
func (c *Clock) Now() time.Duration {
	now, err := read()
	if err != nil {
		panic("kcwuptime: " + err.Error())
	}
	return now
}

// Time returns a time that is the current uptime after the Unix epoch. Unlike the time of
// day it can't be set, and unlike the monotonic clock it advances in suspension. It panics as
// Now does.
func (c *Clock) Time() time.Time { return time.Unix(0, int64(c.Now())) }
