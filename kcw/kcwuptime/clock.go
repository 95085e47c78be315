// Package kcwuptime holds the clock of a host: the time since its boot,
// suspension included, which a process shares with its successors until the next
// boot.
package kcwuptime

import (
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bootPath names the file that holds the identity of the host's boot.
const bootPath = "/proc/sys/kernel/random/boot_id"

// Clock reads the uptime of one boot.
type Clock struct {
	boot    string
	started time.Duration
}

// Kind classifies an Error.
type Kind int

// Unreadable means that the host does not tell its uptime.
const Unreadable Kind = 1

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwuptime: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns the clock of this boot. The error is an *Error.
func New() (*Clock, error) {
	boot, err := os.ReadFile(bootPath)
	if err != nil {
		return nil, &Error{Op: "new", Kind: Unreadable, Err: eris.Wrap(err, "read the identity of the boot")}
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

// Boot returns the identity of the host's boot.
func (c *Clock) Boot() string { return c.boot }

// Started returns the uptime at which the clock was made.
func (c *Clock) Started() time.Duration { return c.started }

// Now returns the uptime. It panics if the clock, which could be read when it was
// made, can't be read any more.
func (c *Clock) Now() time.Duration {
	now, err := read()
	if err != nil {
		panic("kcwuptime: " + err.Error())
	}
	return now
}
