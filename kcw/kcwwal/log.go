// Package kcwwal implements a replica's write-ahead log: entries, term and vote as
// records with checksums in segment files. Open truncates a torn write at the end of the
// last segment and returns an error for any other damage.
package kcwwal

import (
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	fileMode            = 0o600
	defaultSegmentBytes = 16 << 20
)

// Config holds the settings of a Log.
type Config struct {
	// Path is the folder of the segments, which must exist and hold nothing
	// else.
	Path string
	// Owner is the identity of the replica. Open fails if a segment has another
	// owner.
	Owner uint64
	// SegmentBytes is the size at which a segment is closed; the default is 16 MiB.
	SegmentBytes int64
	// Existing means that the log has been created before, so that Open fails if
	// there is no segment.
	Existing bool
	// Write writes to a segment; the default is (*os.File).Write.
	Write func(*os.File, []byte) (int, error)
	// Remove removes a segment; the default is os.Remove.
	Remove func(path string) error
}

// Log is an open log. It must be used by one goroutine at a time.
type Log struct {
	cfg      Config
	segments []*segment
	// loaded is what Open read. Entries clears it.
	loaded content
	// state is the last saved term and vote.
	state pair
	// file is the current segment, and size its size in bytes.
	file *os.File
	size int64
	buf  []byte
	// abandoned is the path of a segment that undoRoll still has to remove, empty if there
	// is none. unflushed means that the last removal of a segment is not durable yet.
	abandoned string
	unflushed bool
	// failure is the error that every later call of Save and Reset returns, nil if there
	// is none.
	failure error
	// sync flushes the data written to a file to the disk, and syncFolder the names in the
	// log's folder.
	sync       func(*os.File) error
	syncFolder func(path string) error
}

// Open reads the log and opens it for writing. The error is an *Error that holds the
// file and the offset.
func Open(cfg Config) (*Log, error) {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.Write == nil {
		cfg.Write = (*os.File).Write
	}
	if cfg.Remove == nil {
		cfg.Remove = os.Remove
	}
	if cfg.Path == "" || cfg.Owner == 0 {
		return nil, failText("open", Invalid, cfg.Path, 0, "Path and Owner must be set")
	}
	l := &Log{cfg: cfg, sync: syncFile, syncFolder: syncFolder}
	var err error
	l.segments, err = listSegments(cfg.Path)
	if err != nil {
		return nil, err
	}
	if len(l.segments) == 0 && cfg.Existing {
		return nil, failText("open", Missing, cfg.Path, 0, "the log existed before and has no segments now")
	}
	if err := l.load(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Log) load() error {
	for i, s := range l.segments {
		isLast := i == len(l.segments)-1
		data, err := os.ReadFile(s.path)
		if err != nil {
			return fail("open", Storage, s.path, 0, err)
		}
		size, err := l.loaded.replay(s, data, l.cfg.Owner, isLast)
		if err != nil {
			return err
		}
		l.size = size
	}
	l.state = l.loaded.state
	if len(l.segments) == 0 {
		return l.roll(1)
	}
	last := l.segments[len(l.segments)-1]
	if last.closed {
		next := filepath.Join(l.cfg.Path, segmentName(last.sequence+1))
		return failText("open", Missing, next, 0, "the previous segment is closed, but this one does not exist")
	}
	if l.size == 0 {
		return l.replaceLast(last)
	}
	return l.reopen(last)
}

// replaceLast replaces the last segment, whose header was torn when the segment was
// created.
func (l *Log) replaceLast(last *segment) error {
	if len(l.segments) == 1 && l.cfg.Existing {
		return failText("open", Damaged, last.path, 0, "the only segment has no header")
	}
	if err := l.cfg.Remove(last.path); err != nil {
		return fail("open", Storage, last.path, 0, err)
	}
	l.segments = l.segments[:len(l.segments)-1]
	return l.roll(last.sequence)
}

// reopen opens the last segment for writing and truncates it to its valid part.
func (l *Log) reopen(last *segment) error {
	file, err := os.OpenFile(last.path, os.O_RDWR, fileMode)
	if err != nil {
		return fail("open", Storage, last.path, 0, err)
	}
	err = file.Truncate(l.size)
	if err == nil {
		_, err = file.Seek(l.size, 0)
	}
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		return fail("open", Storage, last.path, l.size, err)
	}
	l.file = file
	return nil
}

// roll creates a segment with the given sequence number and then closes the current
// one, so that a closed segment always has a successor on disk. If the disk is full,
// the current segment stays in use.
func (l *Log) roll(sequence uint64) error {
	if err := l.finishRemoval(); err != nil {
		return err
	}
	old, oldSize := l.file, l.size
	path := filepath.Join(l.cfg.Path, segmentName(sequence))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fail("roll", storageKind(err), path, 0, err)
	}
	l.file = file
	l.segments = append(l.segments, &segment{sequence: sequence, path: path})
	buf := appendHeader(nil, header{owner: l.cfg.Owner, sequence: sequence})
	buf = appendPair(buf, 0, kindState, l.state)
	l.size = 0
	if err := l.append(buf); err != nil {
		if old == nil || !isFull(err) {
			return err
		}
		return l.undoRoll(old, oldSize, err)
	}
	if err := l.syncFolder(l.cfg.Path); err != nil {
		return fail("roll", Storage, path, 0, err)
	}
	if old == nil {
		return nil
	}
	return l.closeSegment(old, oldSize)
}

// undoRoll returns to the former segment and removes the one that roll started to create on
// a full disk, at the latest before the next record is written. It returns cause.
func (l *Log) undoRoll(old *os.File, oldSize int64, cause error) error {
	path := l.file.Name()
	if err := l.file.Close(); err != nil {
		l.failure = fail("roll", Storage, path, 0, err)
		return l.failure
	}
	l.file, l.size = old, oldSize
	l.segments = l.segments[:len(l.segments)-1]
	l.abandoned = path
	if err := l.finishRemoval(); err != nil && !isFull(err) {
		l.failure = err
		return err
	}
	return cause
}

// closeSegment writes a close record to file, which means that another segment follows,
// and closes file. On a full disk it omits the record, which is only needed to detect
// missing segments.
func (l *Log) closeSegment(file *os.File, size int64) error {
	_, err := l.cfg.Write(file, appendClose(nil, size))
	if storageKind(err) == Full {
		err = file.Truncate(size)
	}
	if err == nil {
		err = l.sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fail("roll", Storage, file.Name(), size, err)
	}
	return nil
}

// State returns the last saved term and vote.
func (l *Log) State() (term, vote uint64) {
	return l.state.first, l.state.second
}

// Entries returns the entries that Open read. Only the first call returns them; later
// calls return nil, so that the entries can be freed.
func (l *Log) Entries() []*kcwpb.Entry {
	entries := l.loaded.entries
	l.loaded = content{}
	return entries
}

// Save writes term, vote and entries with one sync. The entries must have consecutive
// indexes; they replace all entries of the log from the first one's index on. When Save
// returns nil everything is on disk. After an error of kind Storage every later call
// returns the same error; after one of kind Full nothing was changed.
func (l *Log) Save(term, vote uint64, entries []*kcwpb.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	buf := l.buf[:0]
	state := pair{term, vote}
	if state != l.state {
		buf = appendPair(buf, l.size, kindState, state)
	}
	for _, e := range entries {
		var err error
		buf, err = appendEntry(buf, l.size, e)
		if err != nil {
			return fail("save", Invalid, l.file.Name(), l.size, err)
		}
	}
	if len(buf) == 0 {
		return nil
	}
	if err := l.append(buf); err != nil {
		return err
	}
	l.buf = buf[:0]
	l.state = state
	if len(entries) > 0 {
		last := l.segments[len(l.segments)-1]
		last.last = max(last.last, entries[len(entries)-1].Index)
	}
	return l.rollIfNeeded()
}

func (l *Log) rollIfNeeded() error {
	if l.size < l.cfg.SegmentBytes {
		return nil
	}
	err := l.roll(l.segments[len(l.segments)-1].sequence + 1)
	if err == nil || isFull(err) {
		// The saved records are on disk. If the disk is full, the next Save tries to
		// roll again.
		return nil
	}
	l.failure = err
	return err
}

// Reset removes all entries. The next entry saved must follow the entry at index, which
// has the given term. The error's Kind is Storage, or Full if nothing was changed. Segments
// that can't be removed because the disk is full are left to a later Compact.
func (l *Log) Reset(index, term uint64) error {
	if l.failure != nil {
		return l.failure
	}
	buf := appendPair(nil, l.size, kindReset, pair{index, term})
	if err := l.append(buf); err != nil {
		return err
	}
	if err := l.removeBefore(len(l.segments) - 1); err != nil && !isFull(err) {
		return err
	}
	return nil
}

// Compact removes the segments whose entries all have an index of at most index. If the
// error's Kind is Full, some may be left, and a later call removes them.
func (l *Log) Compact(index uint64) error {
	keep := 0
	for keep < len(l.segments)-1 && l.segments[keep].last <= index {
		keep++
	}
	return l.removeBefore(keep)
}

// removeBefore removes the segments before l.segments[keep], oldest first, each durably
// before the next one, so that a crash leaves no gap in the sequence.
func (l *Log) removeBefore(keep int) error {
	if err := l.finishRemoval(); err != nil {
		return err
	}
	for range keep {
		path := l.segments[0].path
		if err := l.cfg.Remove(path); err != nil {
			return fail("compact", storageKind(err), path, 0, err)
		}
		l.segments = append([]*segment(nil), l.segments[1:]...)
		l.unflushed = true
		if err := l.finishRemoval(); err != nil {
			return err
		}
	}
	return nil
}

// finishRemoval removes the abandoned segment, if there is one, and makes the last removal
// durable. The error's Kind is Full if that is to be repeated.
func (l *Log) finishRemoval() error {
	if l.abandoned != "" {
		if err := l.cfg.Remove(l.abandoned); err != nil {
			return fail("remove", storageKind(err), l.abandoned, 0, err)
		}
		l.abandoned, l.unflushed = "", true
	}
	if !l.unflushed {
		return nil
	}
	if err := l.syncFolder(l.cfg.Path); err != nil {
		return fail("remove", storageKind(err), l.cfg.Path, 0, err)
	}
	l.unflushed = false
	return nil
}

// Close closes the log's file.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return fail("close", Storage, l.file.Name(), l.size, err)
	}
	return nil
}

// append writes buf at the end of the current segment and syncs it. If the disk is full,
// it truncates the part that was written. No segment that was removed may follow what is
// written now, not even after a crash, so append makes its removal durable first.
func (l *Log) append(buf []byte) error {
	if err := l.finishRemoval(); err != nil {
		return err
	}
	_, err := l.cfg.Write(l.file, buf)
	if storageKind(err) == Full {
		if truncateErr := l.truncateTail(); truncateErr != nil {
			l.failure = fail("cut", Storage, l.file.Name(), l.size, truncateErr)
			return l.failure
		}
		return fail("write", Full, l.file.Name(), l.size, err)
	}
	if err == nil {
		err = l.sync(l.file)
	}
	if err != nil {
		// After a failed sync the content of the disk is unknown, even if the cause is a
		// full disk.
		l.failure = fail("write", Storage, l.file.Name(), l.size, err)
		return l.failure
	}
	l.size += int64(len(buf))
	return nil
}

// truncateTail removes what was written to the current segment after the last sync.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	_, err := l.file.Seek(l.size, 0)
	return err
}

// storageKind returns the Kind for the error of a file system call: Full if the disk is
// full, and Storage otherwise.
func storageKind(err error) Kind {
	if kcwfolder.IsFull(err) {
		return Full
	}
	return Storage
}

// isFull reports whether err is an *Error of kind Full.
func isFull(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Full
}

func syncFile(file *os.File) error {
	return unix.Fdatasync(int(file.Fd()))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
