// Package kcwrunrecord records on a router's disk the uptime up to which each of the
// router's last processes may have used tokens that become active over time. A process
// uses no token that becomes active after the recorded uptime. Its successor can therefore
// bound the tokens used without relying on clocks, even if the host lost power while the
// router was cut off, or for a long time.
package kcwrunrecord

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwfolder"
)

const (
	// fileName is the name of the record in the router's folder.
	fileName = "Horizon.json"
	// maxRuns bounds the processes in the record. It is the number of processes that a
	// router may start before one of them reports to the core.
	maxRuns = 4
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Unreadable means that the folder or the record in it could not be read.
	Unreadable Kind = iota + 1
	// WriteFailed means that the record could not be made durable.
	WriteFailed
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwrunrecord: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Run is one process of the router: its incarnation, and the uptime of its host until
// which it may have used tokens that become active over time.
type Run struct {
	Incarnation uint64
	Until       time.Duration
}

// Config configures a Record.
type Config struct {
	// Folder is the path of the router's data folder.
	Folder string
}

// Record is the record of one process and of earlier ones. It is safe for concurrent
// use, except that calls of Open and Extend must not overlap. Only these two wait for the
// disk.
type Record struct {
	cfg    Config
	folder *kcwfolder.Folder

	// mu guards the fields below.
	mu sync.Mutex
	// previous holds the earlier processes, oldest first.
	previous []Run
	current  Run
}

// New returns an empty Record. Open adds the earlier processes and Extend this one.
func New(cfg Config) *Record { return &Record{cfg: cfg} }

// Open reads the record of earlier processes. It returns an *Error of kind Unreadable in
// two cases. If the folder can't be opened, Open may be called again. If the record is
// damaged, PreviousRuns returns no processes, and Extend replaces the record.
func (r *Record) Open() error {
	folder, err := kcwfolder.Open(kcwfolder.Config{Path: r.cfg.Folder})
	if err != nil {
		return &Error{Op: "open", Kind: Unreadable, Err: err}
	}
	r.folder = folder
	var previous []Run
	if err := folder.ReadJSON(fileName, &previous); err != nil {
		var cause *kcwfolder.Error
		if errors.As(err, &cause) && cause.Kind == kcwfolder.Missing {
			return nil
		}
		return &Error{Op: "open", Kind: Unreadable, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.previous = previous
	return nil
}

// PreviousRuns returns the earlier processes, oldest first.
func (r *Record) PreviousRuns() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous
}

// CurrentRun returns the record of this process as it is on the disk. Its incarnation is
// zero before the first successful call of Extend.
func (r *Record) CurrentRun() Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Extend records durably that this process, under the given incarnation, may use tokens
// that become active up to the uptime until. It never lowers the recorded time, and opens
// the folder if Open could not. If the record can't be written, Extend returns an *Error
// of kind WriteFailed and CurrentRun stays unchanged.
func (r *Record) Extend(incarnation uint64, until time.Duration) error {
	if r.folder == nil {
		if err := r.Open(); r.folder == nil {
			return &Error{Op: "extend", Kind: WriteFailed, Err: eris.Wrap(err, "the folder is not open")}
		}
	}
	r.mu.Lock()
	next := Run{Incarnation: incarnation, Until: max(until, r.current.Until)}
	runs := append(append([]Run(nil), r.previous[max(0, len(r.previous)-maxRuns+1):]...), next)
	r.mu.Unlock()
	if err := r.folder.WriteJSON(fileName, runs); err != nil {
		return &Error{Op: "extend", Kind: WriteFailed, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = next
	return nil
}

// Close closes the folder, so that another process can open it. It returns the error of
// the folder's Close.
func (r *Record) Close() error {
	if r.folder == nil {
		return nil
	}
	return r.folder.Close()
}
