// Package kcwwal holds a replica's log on disk: entries, term and vote in
// segment files, each record with checksums. A write that was torn at the end
// of the last segment is cut; any other damage refuses to open.
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

// Config is what a Log needs.
type Config struct {
	// Path is the folder of the segments, which must exist and hold nothing
	// else.
	Path string
	// Owner is the identity of the replica; segments of another are refused.
	Owner uint64
	// SegmentBytes is the size at which a segment is closed, 16 MiB if zero.
	SegmentBytes int64
	// Existing says that the log was written before, so that finding no
	// segment is an error.
	Existing bool
	// Write writes to a segment, (*os.File).Write if nil.
	Write func(*os.File, []byte) (int, error)
}

// Log is an open log. It must be used by one goroutine at a time.
type Log struct {
	cfg      Config
	segments []*segment
	loaded   content
	state    pair
	file     *os.File
	size     int64
	buf      []byte
	failure  error
	// sync makes what was written to the file last on the disk.
	sync func(*os.File) error
}

// Open reads the log and makes it ready for writing. The error is an *Error
// that names file and offset.
func Open(cfg Config) (*Log, error) {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.Write == nil {
		cfg.Write = (*os.File).Write
	}
	if cfg.Path == "" || cfg.Owner == 0 {
		return nil, failText("open", Invalid, cfg.Path, 0, "Path and Owner must be set")
	}
	l := &Log{cfg: cfg, sync: syncFile}
	var err error
	l.segments, err = listSegments(cfg.Path)
	if err != nil {
		return nil, err
	}
	if len(l.segments) == 0 && cfg.Existing {
		return nil, failText("open", Missing, cfg.Path, 0, "the log was written before and is gone")
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
		return failText("open", Missing, next, 0, "the segment before it is closed")
	}
	if l.size == 0 {
		return l.replaceLast(last)
	}
	return l.reopen(last)
}

// replaceLast begins the last segment anew, whose header was torn when it was
// made.
func (l *Log) replaceLast(last *segment) error {
	if len(l.segments) == 1 && l.cfg.Existing {
		return failText("open", Damaged, last.path, 0, "no header in the only segment")
	}
	if err := os.Remove(last.path); err != nil {
		return fail("open", Storage, last.path, 0, err)
	}
	l.segments = l.segments[:len(l.segments)-1]
	return l.roll(last.sequence)
}

// reopen opens the last segment for writing and cuts what follows its good
// part.
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

// roll begins a segment with the sequence given, and then closes the one in
// use. A closed segment thus always has a successor on the disk. If the disk is
// full the segment in use stays.
func (l *Log) roll(sequence uint64) error {
	old, oldSize := l.file, l.size
	path := filepath.Join(l.cfg.Path, segmentName(sequence))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fail("roll", kindOfCall(err), path, 0, err)
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
		return l.unroll(old, oldSize, err)
	}
	if err := syncFolder(l.cfg.Path); err != nil {
		return fail("roll", Storage, path, 0, err)
	}
	if old == nil {
		return nil
	}
	return l.closeSegment(old, oldSize)
}

// unroll removes the segment that was begun on a full disk, and returns cause.
func (l *Log) unroll(old *os.File, oldSize int64, cause error) error {
	path := l.file.Name()
	err := l.file.Close()
	if removed := os.Remove(path); err == nil {
		err = removed
	}
	if err != nil {
		l.failure = fail("roll", Storage, path, 0, err)
		return l.failure
	}
	l.file, l.size = old, oldSize
	l.segments = l.segments[:len(l.segments)-1]
	return cause
}

// closeSegment notes in file that another segment follows, and closes it. On a full
// disk it goes without the note, which only helps to find lost segments.
func (l *Log) closeSegment(file *os.File, size int64) error {
	_, err := l.cfg.Write(file, appendClose(nil, size))
	if kindOfCall(err) == Full {
		err = file.Truncate(size)
	}
	if err == nil {
		err = l.sync(file)
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fail("roll", Storage, file.Name(), size, err)
	}
	return nil
}

// State returns the term and the vote that were saved last.
func (l *Log) State() (term, vote uint64) {
	return l.state.first, l.state.second
}

// Entries returns the entries that Open read. Later calls return nil.
func (l *Log) Entries() []*kcwpb.Entry {
	entries := l.loaded.entries
	l.loaded = content{}
	return entries
}

// Save writes term, vote and entries with one sync. Entries must follow each
// other; what the log held at the first one's index and after is replaced. When
// Save returns nil all of it is on the disk. After an error every later call
// returns that error, unless its kind is Full: then nothing was changed.
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
	return l.rollIfFull()
}

func (l *Log) rollIfFull() error {
	if l.size < l.cfg.SegmentBytes {
		return nil
	}
	err := l.roll(l.segments[len(l.segments)-1].sequence + 1)
	if err == nil || isFull(err) {
		// What was saved is on the disk; a full one is tried again at the next call.
		return nil
	}
	l.failure = err
	return err
}

// Reset drops all entries; the next one to be saved follows index, whose term
// is given.
func (l *Log) Reset(index, term uint64) error {
	if l.failure != nil {
		return l.failure
	}
	buf := appendPair(nil, l.size, kindReset, pair{index, term})
	if err := l.append(buf); err != nil {
		return err
	}
	return l.removeBefore(len(l.segments) - 1)
}

// Compact removes the segments whose entries all have indexes up to index.
func (l *Log) Compact(index uint64) error {
	keep := 0
	for keep < len(l.segments)-1 && l.segments[keep].last <= index {
		keep++
	}
	return l.removeBefore(keep)
}

// removeBefore removes segments oldest first, so that a crash leaves no gap.
func (l *Log) removeBefore(keep int) error {
	if keep == 0 {
		return nil
	}
	for _, s := range l.segments[:keep] {
		if err := os.Remove(s.path); err != nil {
			return fail("compact", Storage, s.path, 0, err)
		}
		if err := syncFolder(l.cfg.Path); err != nil {
			return fail("compact", Storage, s.path, 0, err)
		}
	}
	l.segments = append([]*segment(nil), l.segments[keep:]...)
	return nil
}

// Close closes the log's file.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return fail("close", Storage, l.file.Name(), l.size, err)
	}
	return nil
}

// append writes buf at the end of the segment in use and syncs it. If the disk is
// full the part that was written is cut.
func (l *Log) append(buf []byte) error {
	_, err := l.cfg.Write(l.file, buf)
	if kindOfCall(err) == Full {
		if cut := l.cut(); cut != nil {
			l.failure = fail("cut", Storage, l.file.Name(), l.size, cut)
			return l.failure
		}
		return fail("write", Full, l.file.Name(), l.size, err)
	}
	if err == nil {
		err = l.sync(l.file)
	}
	if err != nil {
		// A failed sync leaves unknown what is on the disk, full or not.
		l.failure = fail("write", Storage, l.file.Name(), l.size, err)
		return l.failure
	}
	l.size += int64(len(buf))
	return nil
}

// cut drops what was written to the segment in use after the last sync.
func (l *Log) cut() error {
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	_, err := l.file.Seek(l.size, 0)
	return err
}

// kindOfCall returns the kind of a failed call of the file system.
func kindOfCall(err error) Kind {
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
	if closed := folder.Close(); err == nil {
		err = closed
	}
	return err
}
