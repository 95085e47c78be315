// Package kcwhorizon holds, on a router's disk, up to which uptime each of the router's
// last processes may have used tokens that become active with the time. A process uses
// none beyond what is on the disk, so that its successor can tell how far it went at the
// most, whatever clocks say. It answers routers that lose their power while they are cut
// off, or for long.
package kcwhorizon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwfolder"
)

const (
	// fileName is the file in the router's folder.
	fileName = "Horizon.json"
	// maxRuns bounds the processes kept: those that a router may start until the core
	// has heard of one.
	maxRuns = 4
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Unreadable means that the folder or the record in it can't be read.
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
func (e *Error) Error() string { return fmt.Sprintf("kcwhorizon: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Run is one process of the router: its incarnation, and the uptime of its host until
// which it may have used tokens that become active with the time.
type Run struct {
	Incarnation uint64
	Until       time.Duration
}

// Config configures a Horizon.
type Config struct {
	// Folder is the path of the router's data folder.
	Folder string
}

// Horizon is the record of one process. It is safe for concurrent use; only the calls of
// Open and Extend wait for the disk, and must not overlap.
type Horizon struct {
	cfg    Config
	folder *kcwfolder.Folder

	// mu guards what follows.
	mu sync.Mutex
	// formers are earlier processes, oldest first.
	formers []Run
	own     Run
}

// New returns a Horizon that allows nothing until Open and Extend.
func New(cfg Config) *Horizon { return &Horizon{cfg: cfg} }

// Open reads the record of earlier processes. It returns an *Error of kind Unreadable if
// the folder can't be used, and may be called again then. It returns one as well if the
// record is damaged, which tells nothing of earlier processes then and is replaced by
// Extend.
func (h *Horizon) Open() error {
	folder, err := kcwfolder.Open(kcwfolder.Config{Path: h.cfg.Folder})
	if err != nil {
		return &Error{Op: "open", Kind: Unreadable, Err: err}
	}
	h.folder = folder
	var formers []Run
	if err := folder.ReadJSON(fileName, &formers); err != nil {
		var cause *kcwfolder.Error
		if errors.As(err, &cause) && cause.Kind == kcwfolder.Missing {
			return nil
		}
		return &Error{Op: "open", Kind: Unreadable, Err: err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.formers = formers
	return nil
}

// PreviousRuns returns the earlier processes, oldest first.
func (h *Horizon) PreviousRuns() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.formers
}

// CurrentRun returns the record of this process that is on the disk. Its incarnation is zero
// before the first call of Extend.
func (h *Horizon) CurrentRun() Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

// Extend makes durable that this process, under the given incarnation, may use tokens that
// become active up to the uptime until. It never lowers the time. It opens the folder if
// Open could not. It returns an *Error and allows no more than before if the disk does not
// take the record.
func (h *Horizon) Extend(incarnation uint64, until time.Duration) error {
	if h.folder == nil {
		if err := h.Open(); h.folder == nil {
			return &Error{Op: "extend", Kind: WriteFailed, Err: eris.Wrap(err, "the folder is not open")}
		}
	}
	h.mu.Lock()
	next := Run{Incarnation: incarnation, Until: max(until, h.own.Until)}
	runs := append(append([]Run(nil), h.formers[max(0, len(h.formers)-maxRuns+1):]...), next)
	h.mu.Unlock()
	if err := h.folder.WriteJSON(fileName, runs); err != nil {
		return &Error{Op: "extend", Kind: WriteFailed, Err: err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.own = next
	return nil
}

// Close lets another process open the folder.
func (h *Horizon) Close() error {
	if h.folder == nil {
		return nil
	}
	return h.folder.Close()
}
