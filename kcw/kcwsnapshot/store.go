// Package kcwsnapshot stores the snapshots of a replica's state machine as synced
// files with checksums. It keeps the newest two, and the snapshot that is being
// received.
package kcwsnapshot

import (
	"bufio"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	suffix          = ".snapshot"
	temporarySuffix = ".tmp"
	partialName     = "partial.tmp"
	fileMode        = 0o600
	maxSnapshots    = 2
	indexBase       = 10
	bufferSize      = 1 << 16
)

// Config holds the settings of a Store.
type Config struct {
	// Path is the folder of the snapshots, which must exist and hold nothing
	// else.
	Path string
	// WriteAt writes to a file of a snapshot; the default is (*os.File).WriteAt.
	WriteAt func(file *os.File, data []byte, offset int64) (int, error)
}

// Store manages the snapshots in a folder. Its methods may be called concurrently,
// except for Receive, which must be called by one goroutine only.
type Store struct {
	path    string
	writeAt func(file *os.File, data []byte, offset int64) (int, error)
	// sync flushes a file to the disk, remove removes one, and syncFolder flushes the
	// names in a folder.
	sync       func(*os.File) error
	remove     func(path string) error
	syncFolder func(path string) error

	mu sync.Mutex
	// metas holds the metas of the stored snapshots, sorted by index. Their offset is
	// the size of the content in bytes.
	metas []*kcwpb.SnapshotChunk

	// incoming is the meta of the snapshot being received, with the offset of the
	// next chunk, and file its temporary file. Both are nil if there is none.
	incoming *kcwpb.SnapshotChunk
	file     *os.File
}

// Open opens the folder and checks all snapshots in it. It skips damaged ones and
// does not remove them. The error is an *Error.
func Open(cfg Config) (*Store, error) {
	if cfg.Path == "" {
		return nil, failText("open", Invalid, "", 0, "empty path")
	}
	files, err := os.ReadDir(cfg.Path)
	if err != nil {
		return nil, fail("open", Storage, cfg.Path, 0, err)
	}
	s := &Store{
		path: cfg.Path, writeAt: cfg.WriteAt,
		sync: (*os.File).Sync, remove: os.Remove, syncFolder: syncFolder,
	}
	if s.writeAt == nil {
		s.writeAt = (*os.File).WriteAt
	}
	for _, file := range files {
		if err := s.scanFile(file.Name()); err != nil {
			return nil, err
		}
	}
	sort.Slice(s.metas, func(i, j int) bool { return s.metas[i].Index < s.metas[j].Index })
	return s, nil
}

// scanFile adds the snapshot in a file of the folder to the store, or removes the file
// if it is a temporary one.
func (s *Store) scanFile(name string) error {
	path := filepath.Join(s.path, name)
	if strings.HasSuffix(name, temporarySuffix) {
		if err := os.Remove(path); err != nil {
			return fail("open", Storage, path, 0, err)
		}
		return nil
	}
	index, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), indexBase, 64)
	if err != nil || name != fileName(index) {
		return failText("open", Foreign, path, 0, "not the name of a snapshot")
	}
	meta, err := check(path, index)
	var damage *Error
	if errors.As(err, &damage) && damage.Kind == Damaged {
		klog.ErrorS(err, "skipping a damaged snapshot", "File", path)
		return nil
	}
	if err != nil {
		return err
	}
	s.metas = append(s.metas, meta)
	return nil
}

func fileName(index uint64) string {
	return strconv.FormatUint(index, indexBase) + suffix
}

// Latest returns the index, term and membership of the newest snapshot and, as Offset,
// its size in bytes. It returns nil if there is none.
func (s *Store) Latest() *kcwpb.SnapshotChunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.metas) == 0 {
		return nil
	}
	return s.metas[len(s.metas)-1]
}

func (s *Store) meta(index uint64) *kcwpb.SnapshotChunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.metas {
		if m.Index == index {
			return m
		}
	}
	return nil
}

// Write creates the snapshot of the state after the entry at index; fill writes its
// content. When Write returns nil the snapshot is on disk. The error is an *Error, whose
// Kind is Full if the disk has no space for the snapshot.
func (s *Store) Write(index, term uint64, membership *kcwpb.Membership, fill func(io.Writer) error) error {
	path := filepath.Join(s.path, fileName(index)) + temporarySuffix
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return failWrite("write", path, 0, err)
	}
	target := io.NewOffsetWriter(fileWriter{file, s.writeAt}, 0)
	body := &checksumWriter{w: bufio.NewWriterSize(target, bufferSize)}
	err = fill(body)
	if err == nil {
		err = body.w.Flush()
	}
	if err != nil {
		s.discard(file)
		return failWrite("write", path, body.size, err)
	}
	meta := &kcwpb.SnapshotChunk{
		Index: index, Term: term, Membership: membership,
		Offset: body.size, Checksum: body.sum,
	}
	return s.finish(file, meta)
}

// finish appends the trailer to file, syncs and closes it, renames it to its final name
// and adds the snapshot to the store.
func (s *Store) finish(file *os.File, meta *kcwpb.SnapshotChunk) error {
	trailer, err := appendTrailer(nil, meta)
	if err == nil {
		_, err = s.writeAt(file, trailer, meta.Offset)
	}
	path := filepath.Join(s.path, fileName(meta.Index))
	if err != nil {
		s.discard(file)
		return failWrite("finish", path, meta.Offset, err)
	}
	err = s.sync(file)
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		s.discard(file)
		return failWrite("finish", path, meta.Offset, err)
	}
	err = file.Close()
	if err == nil {
		err = s.syncFolder(s.path)
	}
	if err != nil {
		return failWrite("finish", path, meta.Offset, err)
	}
	return s.add(meta)
}

// discard closes and removes the file of an unfinished snapshot, so that it uses no
// disk space.
func (s *Store) discard(file *os.File) {
	_ = file.Close()
	if err := os.Remove(file.Name()); err != nil {
		klog.ErrorS(err, "could not remove an unfinished snapshot", "File", file.Name())
	}
}

// DropOlder removes all snapshots but the newest, to free space on a full disk.
func (s *Store) DropOlder() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prune(1)
}

func (s *Store) add(meta *kcwpb.SnapshotChunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	metas := []*kcwpb.SnapshotChunk{meta}
	for _, m := range s.metas {
		if m.Index != meta.Index {
			metas = append(metas, m)
		}
	}
	sort.Slice(metas, func(i, j int) bool { return metas[i].Index < metas[j].Index })
	s.metas = metas
	if err := s.prune(maxSnapshots); err != nil && !kcwfolder.IsFull(err) {
		return err
	}
	return nil
}

// prune removes all but the given number of newest snapshots. If the disk is too full for
// that, a later call removes them. The caller must hold mu.
func (s *Store) prune(newest int) error {
	for len(s.metas) > newest {
		path := filepath.Join(s.path, fileName(s.metas[0].Index))
		if err := s.remove(path); err != nil {
			return failWrite("prune", path, 0, err)
		}
		s.metas = s.metas[1:]
	}
	return nil
}

// Load checks the snapshot at index and calls read with its content. The error's Kind is
// Missing, Storage or Damaged; it is Damaged also if read returns an error.
func (s *Store) Load(index uint64, read func(io.Reader) error) error {
	path := filepath.Join(s.path, fileName(index))
	meta, err := check(path, index)
	if err != nil {
		return err
	}
	file, err := os.Open(path)
	if err != nil {
		return fail("load", Storage, path, 0, err)
	}
	defer file.Close()
	if err := read(bufio.NewReaderSize(io.LimitReader(file, meta.Offset), bufferSize)); err != nil {
		return fail("load", Damaged, path, 0, err)
	}
	return nil
}

// Close discards the snapshot that is being received, if any.
func (s *Store) Close() error {
	s.discardIncoming()
	return nil
}

// fileWriter writes to a file with a given function.
type fileWriter struct {
	file    *os.File
	writeAt func(file *os.File, data []byte, offset int64) (int, error)
}

// WriteAt implements io.WriterAt.
func (w fileWriter) WriteAt(data []byte, offset int64) (int, error) {
	return w.writeAt(w.file, data, offset)
}

// checksumWriter computes the size and the checksum of what is written through it.
type checksumWriter struct {
	w    *bufio.Writer
	sum  uint32
	size int64
}

// Write implements io.Writer.
func (b *checksumWriter) Write(p []byte) (int, error) {
	n, err := b.w.Write(p)
	b.sum = crc32.Update(b.sum, castagnoli, p[:n])
	b.size += int64(n)
	return n, err
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
