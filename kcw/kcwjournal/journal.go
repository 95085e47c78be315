// Package kcwjournal implements a router's durable journal of the claims that it
// opens and settles on grants while the ledger can't be reached, and of the grants
// that it may hold.
package kcwjournal

import (
	"errors"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// fileName is the name of the journal's file in its folder.
	fileName = "Journal"
	// compactBytes is the file size from which the journal may be compacted.
	compactBytes = 1 << 20
	// compactRatio is the ratio of all records to live ones from which the journal
	// is compacted.
	compactRatio = 4
	// maxRecordBytes bounds the encoded size of one record.
	maxRecordBytes = 1 << 16
)

// Config configures a Journal.
type Config struct {
	// Folder is an existing folder that no other process writes to.
	Folder string
	// WriteAt writes to a file; the default is (*os.File).WriteAt.
	WriteAt func(file *os.File, data []byte, offset int64) (int, error)
}

// Journal is a file of checksummed records. It is safe for concurrent use.
// Concurrent appends share one sync.
type Journal struct {
	folder  string
	writeAt func(file *os.File, data []byte, offset int64) (int, error)
	// syncing guards synced, the size up to which the file is durable. It is locked
	// before mu.
	syncing sync.Mutex
	synced  int64
	// mu guards the fields below.
	mu      sync.Mutex
	file    *os.File
	size    int64
	records int
	live    *live
	// err is the failure after which the journal accepts no more records.
	err error
}

// Open opens the journal in the folder of cfg, or creates an empty one. An
// incomplete record at the end of the file is dropped. Any other damage is an
// *Error of KindDamaged.
func Open(cfg Config) (*Journal, error) {
	path := filepath.Join(cfg.Folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, storageError("Open", err)
	}
	j := &Journal{folder: cfg.Folder, writeAt: cfg.WriteAt, file: file, live: newLive()}
	if j.writeAt == nil {
		j.writeAt = (*os.File).WriteAt
	}
	if err := j.load(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return j, nil
}

// storageError returns an *Error of KindStorage.
func storageError(op string, err error) *Error {
	return &Error{Op: op, Kind: KindStorage, Err: eris.Wrap(err, "file system")}
}

// load reads the file, truncates a torn frame at its end and syncs.
func (j *Journal) load() error {
	data, err := os.ReadFile(j.file.Name())
	if err != nil {
		return storageError("Open", err)
	}
	records, size, err := scanFrames(data)
	if err != nil {
		return &Error{Op: "Open", Kind: KindDamaged, Err: err}
	}
	for _, record := range records {
		j.live.apply(record)
	}
	j.records = len(records)
	j.size = int64(size)
	j.synced = j.size
	if err := j.file.Truncate(j.size); err != nil {
		return storageError("Open", err)
	}
	if err := j.file.Sync(); err != nil {
		return storageError("Open", err)
	}
	return syncFolder(j.folder)
}

// syncFolder makes the directory entries of folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return storageError("sync folder", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return storageError("sync folder", err)
	}
	return nil
}

// Append appends record and returns when it is durable. It returns an *Error of
// KindInvalid if record is empty or can't be encoded within the size limit, of KindFull if
// the disk is full, and of KindStorage if the file system fails or the journal is closed.
// After the last the journal accepts no more records.
func (j *Journal) Append(record *kcwpb.JournalRecord) error {
	end, err := j.write(record)
	if err != nil {
		return err
	}
	return j.sync(end)
}

// Note appends record without waiting until it is durable, so that a crash of the
// host may lose it. It is for records that only save work after a restart. It
// returns the same errors as Append.
func (j *Journal) Note(record *kcwpb.JournalRecord) error {
	_, err := j.write(record)
	return err
}

// write appends record to the file and returns the offset of its end.
func (j *Journal) write(record *kcwpb.JournalRecord) (int64, error) {
	payload, err := proto.Marshal(record)
	if err != nil || record.GetRecord() == nil || len(payload) > maxRecordBytes {
		return 0, &Error{Op: "Append", Kind: KindInvalid, Err: eris.New("the record is empty, too large or not UTF-8")}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return 0, j.err
	}
	frame := encodeFrame(payload)
	_, err = j.writeAt(j.file, frame, j.size)
	if kcwfolder.IsFull(err) {
		return 0, j.truncate(err)
	}
	if err != nil {
		j.err = storageError("Append", err)
		return 0, j.err
	}
	j.size += int64(len(frame))
	j.records++
	j.live.apply(record)
	return j.size, nil
}

// truncate removes the part of a frame that a full disk had room for, and returns cause as
// an *Error of KindFull. The caller must hold mu.
func (j *Journal) truncate(cause error) error {
	if err := j.file.Truncate(j.size); err != nil {
		j.err = storageError("Append", err)
		return j.err
	}
	return &Error{Op: "Append", Kind: KindFull, Err: eris.Wrap(cause, "file system")}
}

// sync makes the file durable up to end.
func (j *Journal) sync(end int64) error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	if j.synced >= end {
		return nil
	}
	j.mu.Lock()
	file, size, err := j.file, j.size, j.err
	j.mu.Unlock()
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return j.fail(storageError("Append", err))
	}
	j.synced = size
	return nil
}

// fail makes every further append return err.
func (j *Journal) fail(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.err = err
	return err
}

// Live returns the latest record of every claim and grant that is not finished, in
// the order in which the claims and grants were first recorded.
func (j *Journal) Live() []*kcwpb.JournalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.live.list()
}

// Compact rewrites the file with the live records only, if the file is large and
// most of its records are not live. It returns when the new file is durable. If the disk is
// full, the error is an *Error of KindFull, and the journal stays in use.
func (j *Journal) Compact() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return j.err
	}
	records := j.live.list()
	if j.size < compactBytes || j.records < compactRatio*len(records) {
		return nil
	}
	err := j.rewrite(records)
	var e *Error
	if err != nil && !(errors.As(err, &e) && e.Kind == KindFull) {
		j.err = err
	}
	return err
}

// rewrite replaces the file by one that holds only records.
func (j *Journal) rewrite(records []*kcwpb.JournalRecord) error {
	var data []byte
	for _, record := range records {
		payload, err := proto.Marshal(record)
		if err != nil {
			return &Error{Op: "Compact", Kind: KindInvalid, Err: eris.Wrap(err, "marshal")}
		}
		data = append(data, encodeFrame(payload)...)
	}
	path := filepath.Join(j.folder, fileName)
	next, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if kcwfolder.IsFull(err) {
		return &Error{Op: "Compact", Kind: KindFull, Err: eris.Wrap(err, "file system")}
	}
	if err != nil {
		return storageError("Compact", err)
	}
	if _, err = j.writeAt(next, data, 0); err == nil {
		err = next.Sync()
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		_ = next.Close()
		return j.discard(path+".new", err)
	}
	_ = j.file.Close()
	j.file = next
	j.size, j.synced, j.records = int64(len(data)), int64(len(data)), len(records)
	return syncFolder(j.folder)
}

// discard removes the file at path, which was to replace the journal's, and returns cause as
// an *Error.
func (j *Journal) discard(path string, cause error) error {
	if err := os.Remove(path); err != nil || !kcwfolder.IsFull(cause) {
		return storageError("Compact", errors.Join(cause, err))
	}
	return &Error{Op: "Compact", Kind: KindFull, Err: eris.Wrap(cause, "file system")}
}

// Close closes the file. Records added by Append are durable.
func (j *Journal) Close() error {
	j.syncing.Lock()
	defer j.syncing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.err = &Error{Op: "Append", Kind: KindStorage, Err: eris.New("the journal is closed")}
	if err := j.file.Close(); err != nil {
		return storageError("Close", err)
	}
	return nil
}
