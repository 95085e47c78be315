// Package kcwfolder manages the data folder of a process. It locks the folder against
// other processes, creates subfolders, and stores small files that are replaced as a
// whole and synced.
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
	lockName        = "Lock"
	temporarySuffix = ".tmp"

	folderMode = 0o700
	fileMode   = 0o600
)

// Config holds the settings of a Folder.
type Config struct {
	// Path is the path of the folder, which Open creates if it does not exist.
	Path string
	// Write writes to a file; the default is (*os.File).Write.
	Write func(*os.File, []byte) (int, error)
}

// Folder is a locked data folder. Its methods may be called concurrently for different
// files.
type Folder struct {
	path  string
	lock  *os.File
	write func(*os.File, []byte) (int, error)
}

// Open creates the folder if necessary, locks it, and removes temporary files that an
// earlier process left behind. The error is an *Error, whose Kind is Locked if the folder
// is locked by another process or by another Folder in this process, and Full if the disk is
// full.
func Open(cfg Config) (*Folder, error) {
	if cfg.Path == "" {
		return nil, fail("open", Invalid, "", errors.New("empty path"))
	}
	if err := os.MkdirAll(cfg.Path, folderMode); err != nil {
		return nil, fail("open", storageKind(err), cfg.Path, err)
	}
	lock, err := lockFile(filepath.Join(cfg.Path, lockName))
	if err != nil {
		return nil, err
	}
	f := &Folder{path: cfg.Path, lock: lock, write: cfg.Write}
	if f.write == nil {
		f.write = (*os.File).Write
	}
	if err := f.removeTemporary(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fail("lock", storageKind(err), path, err)
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
		if !strings.HasSuffix(entry.Name(), temporarySuffix) {
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

// Sub creates the subfolder name if necessary, syncs f, and returns the subfolder's path.
// The error's Kind is Storage or Full.
func (f *Folder) Sub(name string) (string, error) {
	path := filepath.Join(f.path, name)
	if err := os.MkdirAll(path, folderMode); err != nil {
		return "", fail("make", storageKind(err), path, err)
	}
	if err := syncFolder(f.path); err != nil {
		return "", fail("make", storageKind(err), path, err)
	}
	return path, nil
}

// Write replaces the content of the file name by data. When it returns nil all of data is
// on disk; otherwise the file has either its old or its new content. The error's Kind is
// Storage or Full.
func (f *Folder) Write(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	if err := f.replace(path, data); err != nil {
		return fail("write", storageKind(err), path, err)
	}
	if err := syncFolder(f.path); err != nil {
		return fail("write", storageKind(err), path, err)
	}
	return nil
}

// Read returns the content of the file name. The error's Kind is Missing if the file does
// not exist.
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

// WriteJSON replaces the content of the file name by value, encoded as JSON, as Write does.
// The error's Kind is Invalid if value can't be encoded.
func (f *Folder) WriteJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		return fail("write", Invalid, name, err)
	}
	return f.Write(name, append(data, '\n'))
}

// ReadJSON decodes the JSON file name into value. The error's Kind is Missing if the file
// does not exist, and Damaged if it is not valid JSON for value.
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

// replace replaces the file at path. If it fails, it removes the temporary file, which would
// use disk space.
func (f *Folder) replace(path string, data []byte) error {
	temporaryPath := path + temporarySuffix
	file, err := os.OpenFile(temporaryPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.write(file, data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporaryPath, path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(temporaryPath))
	}
	return nil
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
