package kcwfolder

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f, err := Open(Config{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	type record struct{ Name string }
	want := record{"h1"}
	if err := f.WriteJSON("Record.json", want); err != nil {
		t.Fatal(err)
	}
	var got record
	if err := f.ReadJSON("Record.json", &got); err != nil || got != want {
		t.Errorf("read %v, %v", got, err)
	}
	if err := os.WriteFile(filepath.Join(path, "Torn.json"), []byte("{"), fileMode); err != nil {
		t.Fatal(err)
	}
	leftover := filepath.Join(path, "Record.json"+temporarySuffix)
	if err := os.WriteFile(leftover, []byte("{"), fileMode); err != nil {
		t.Fatal(err)
	}
	_, locked := Open(Config{Path: path})
	_, empty := Open(Config{})
	for _, test := range []struct {
		name string
		err  error
		want Kind
	}{
		{"missing", f.ReadJSON("None.json", &got), Missing},
		{"damaged", f.ReadJSON("Torn.json", &got), Damaged},
		{"locked", locked, Locked},
		{"empty", empty, Invalid},
	} {
		if kind := kindOf(test.err); kind != test.want {
			t.Errorf("%s: %v", test.name, test.err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if f, err = Open(Config{Path: path}); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := os.Stat(leftover); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a leftover temporary file was not removed: %v", err)
	}
}

// A write that finds the disk full must leave the former content and no temporary file.
func TestWriteOnFullDiskChangesNothing(t *testing.T) {
	path := t.TempDir()
	full := false
	f, err := Open(Config{Path: path, Write: func(file *os.File, data []byte) (int, error) {
		if !full {
			return file.Write(data)
		}
		n, _ := file.Write(data[:len(data)/2])
		return n, &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.Write("File", []byte("former")); err != nil {
		t.Fatal(err)
	}
	full = true
	if err := f.Write("File", []byte("latter")); kindOf(err) != Full {
		t.Errorf("Write gave %v, want an error of kind Full", err)
	}
	if data, err := f.Read("File"); err != nil || string(data) != "former" {
		t.Errorf("read %q, %v", data, err)
	}
	if _, err := os.Stat(filepath.Join(path, "File"+temporarySuffix)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the temporary file is left: %v", err)
	}
	full = false
	if err := f.Write("File", []byte("latter")); err != nil {
		t.Errorf("Write with free space gave %v", err)
	}
}
