// Package kcwfolder holds the data folder of one process: the lock that keeps
// a second process out, the identity of the replica whose state it holds, and
// small files that are replaced as a whole and synced.
package kcwfolder

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	lockName      = "Lock"
	temporaryMark = ".tmp"

	folderMode = 0o700
	fileMode   = 0o600
)

// Config says where a Folder is.
type Config struct {
	// Path is the folder, which is made if it does not exist.
	Path string
}

// Folder is a locked data folder. Its methods may be called at the same time
// as long as they name different files.
type Folder struct {
	path string
	lock *os.File
}

// Open makes the folder if needed and locks it. The error is an *Error whose
// Kind is Locked if another process, or another Folder of this one, holds the
// folder. Temporary files that an earlier process left are removed.
func Open(cfg Config) (*Folder, error) {
	if cfg.Path == "" {
		return nil, fail("open", Invalid, "", errors.New("empty path"))
	}
	if err := os.MkdirAll(cfg.Path, folderMode); err != nil {
		return nil, fail("open", Storage, cfg.Path, err)
	}
	lock, err := lockFile(filepath.Join(cfg.Path, lockName))
	if err != nil {
		return nil, err
	}
	f := &Folder{path: cfg.Path, lock: lock}
	if err := f.removeTemporary(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fail("lock", Storage, path, err)
	}
	err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return lock, nil
	}
	_ = lock.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, fail("lock", Locked, path, err)
	}
	return nil, fail("lock", Storage, path, err)
}

func (f *Folder) removeTemporary() error {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return fail("open", Storage, f.path, err)
	}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), temporaryMark) {
			continue
		}
		if err := os.Remove(filepath.Join(f.path, entry.Name())); err != nil {
			return fail("open", Storage, entry.Name(), err)
		}
	}
	return nil
}

// Path returns the folder's path.
func (f *Folder) Path() string {
	return f.path
}

// Sub makes the folder name inside f if needed, syncs f, and returns its path.
func (f *Folder) Sub(name string) (string, error) {
	path := filepath.Join(f.path, name)
	if err := os.MkdirAll(path, folderMode); err != nil {
		return "", fail("make", Storage, path, err)
	}
	if err := syncFolder(f.path); err != nil {
		return "", fail("make", Storage, path, err)
	}
	return path, nil
}

// Write replaces the file name by data. When it returns nil the whole of data
// is on the disk; otherwise the file holds its old content or the new one.
func (f *Folder) Write(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	if err := replace(path, data); err != nil {
		return fail("write", Storage, path, err)
	}
	if err := syncFolder(f.path); err != nil {
		return fail("write", Storage, path, err)
	}
	return nil
}

// Read returns the content of the file name. The error's Kind is Missing if
// there is no such file.
func (f *Folder) Read(name string) ([]byte, error) {
	path := filepath.Join(f.path, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fail("read", Missing, path, err)
	}
	if err != nil {
		return nil, fail("read", Storage, path, err)
	}
	return data, nil
}

// WriteJSON replaces the file name by value as JSON, as Write does.
func (f *Folder) WriteJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		return fail("write", Invalid, name, err)
	}
	return f.Write(name, append(data, '\n'))
}

// ReadJSON reads the file name into value. The error's Kind is Missing if
// there is no such file, and Damaged if it is not the JSON of value.
func (f *Folder) ReadJSON(name string, value any) error {
	data, err := f.Read(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fail("read", Damaged, filepath.Join(f.path, name), err)
	}
	return nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	if err := f.lock.Close(); err != nil {
		return fail("close", Storage, f.path, err)
	}
	return nil
}

func replace(path string, data []byte) error {
	temporary := path + temporaryMark
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	return os.Rename(temporary, path)
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
