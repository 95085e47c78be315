package kcwrunrecord_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwrunrecord"
)

func open(t *testing.T, folder string) *kcwrunrecord.Record {
	t.Helper()
	r := kcwrunrecord.New(kcwrunrecord.Config{Folder: folder})
	if err := r.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func extend(t *testing.T, r *kcwrunrecord.Record, incarnation uint64, until time.Duration) {
	t.Helper()
	if err := r.Extend(incarnation, until); err != nil {
		t.Fatal(err)
	}
}

// TestPreviousRuns checks the records of earlier processes that successors read.
func TestPreviousRuns(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "router")
	first := open(t, folder)
	if got := first.CurrentRun(); got != (kcwrunrecord.Run{}) || len(first.PreviousRuns()) > 0 {
		t.Errorf("an empty folder has the records %v and %v", got, first.PreviousRuns())
	}
	extend(t, first, 7, 0)
	extend(t, first, 7, 5*time.Second)
	extend(t, first, 8, 3*time.Second)
	if got, want := first.CurrentRun(), (kcwrunrecord.Run{Incarnation: 8, Until: 5 * time.Second}); got != want {
		t.Errorf("after a higher incarnation and a lower time the record is %v, want %v", got, want)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	var want []kcwrunrecord.Run
	want = append(want, first.CurrentRun())
	for i := range uint64(5) {
		r := open(t, folder)
		if got := r.PreviousRuns(); !slices.Equal(got, want) {
			t.Errorf("successor %d reads %v, want %v", i, got, want)
		}
		extend(t, r, 9+i, time.Duration(i))
		want = append(want, r.CurrentRun())
		want = want[max(0, len(want)-4):]
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFailures(t *testing.T) {
	var failure *kcwrunrecord.Error
	// A file at the path of the folder prevents opening it until the file is removed.
	path := filepath.Join(t.TempDir(), "router")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	delayed := kcwrunrecord.New(kcwrunrecord.Config{Folder: path})
	if err := delayed.Open(); !errors.As(err, &failure) || failure.Kind != kcwrunrecord.Unreadable {
		t.Errorf("a folder that can't be opened: %v", err)
	}
	if err := delayed.Extend(1, time.Second); !errors.As(err, &failure) || failure.Kind != kcwrunrecord.WriteFailed {
		t.Errorf("a record without a folder: %v", err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	extend(t, delayed, 1, time.Second)
	if err := delayed.Close(); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "Horizon.json"), []byte("[{"), 0o600); err != nil {
		t.Fatal(err)
	}
	damaged := kcwrunrecord.New(kcwrunrecord.Config{Folder: folder})
	if err := damaged.Open(); !errors.As(err, &failure) || failure.Kind != kcwrunrecord.Unreadable {
		t.Errorf("a damaged record: %v", err)
	}
	extend(t, damaged, 3, time.Second)
	if err := damaged.Close(); err != nil {
		t.Fatal(err)
	}
	if got := open(t, folder).PreviousRuns(); len(got) != 1 || got[0].Incarnation != 3 {
		t.Errorf("after a damaged record was replaced, the successor reads %v", got)
	}
	full := t.TempDir()
	r := open(t, full)
	extend(t, r, 4, time.Second)
	// A folder at the path of the temporary file makes each write fail.
	if err := os.Mkdir(filepath.Join(full, "Horizon.json.tmp"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := r.Extend(4, 2*time.Second); !errors.As(err, &failure) || failure.Kind != kcwrunrecord.WriteFailed {
		t.Errorf("a write that fails: %v", err)
	}
	if got := r.CurrentRun().Until; got != time.Second {
		t.Errorf("after a failed write the recorded time is %v, want 1s", got)
	}
}
