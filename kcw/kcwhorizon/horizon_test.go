package kcwhorizon_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwhorizon"
)

func open(t *testing.T, folder string) *kcwhorizon.Horizon {
	t.Helper()
	h := kcwhorizon.New(kcwhorizon.Config{Folder: folder})
	if err := h.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Close() })
	return h
}

func extend(t *testing.T, h *kcwhorizon.Horizon, incarnation uint64, until time.Duration) {
	t.Helper()
	if err := h.Extend(incarnation, until); err != nil {
		t.Fatal(err)
	}
}

// TestPreviousRuns checks the records of earlier processes that successors read.
func TestPreviousRuns(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "router")
	first := open(t, folder)
	if got := first.CurrentRun(); got != (kcwhorizon.Run{}) || len(first.PreviousRuns()) > 0 {
		t.Errorf("an empty folder has the records %v and %v", got, first.PreviousRuns())
	}
	extend(t, first, 7, 0)
	extend(t, first, 7, 5*time.Second)
	extend(t, first, 8, 3*time.Second)
	if got, want := first.CurrentRun(), (kcwhorizon.Run{Incarnation: 8, Until: 5 * time.Second}); got != want {
		t.Errorf("after a higher incarnation and a lower time the record is %v, want %v", got, want)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	var want []kcwhorizon.Run
	want = append(want, first.CurrentRun())
	for i := range uint64(5) {
		h := open(t, folder)
		if got := h.PreviousRuns(); !slices.Equal(got, want) {
			t.Errorf("successor %d reads %v, want %v", i, got, want)
		}
		extend(t, h, 9+i, time.Duration(i))
		want = append(want, h.CurrentRun())
		want = want[max(0, len(want)-4):]
		if err := h.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFailures(t *testing.T) {
	var failure *kcwhorizon.Error
	// A file in path of the folder prevents opening it until the file is removed.
	path := filepath.Join(t.TempDir(), "router")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	delayed := kcwhorizon.New(kcwhorizon.Config{Folder: path})
	if err := delayed.Open(); !errors.As(err, &failure) || failure.Kind != kcwhorizon.Unreadable {
		t.Errorf("a folder that can't be opened: %v", err)
	}
	if err := delayed.Extend(1, time.Second); !errors.As(err, &failure) || failure.Kind != kcwhorizon.WriteFailed {
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
	damaged := kcwhorizon.New(kcwhorizon.Config{Folder: folder})
	if err := damaged.Open(); !errors.As(err, &failure) || failure.Kind != kcwhorizon.Unreadable {
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
	h := open(t, full)
	extend(t, h, 4, time.Second)
	// A folder in path of the temporary file makes each write fail.
	if err := os.Mkdir(filepath.Join(full, "Horizon.json.tmp"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := h.Extend(4, 2*time.Second); !errors.As(err, &failure) || failure.Kind != kcwhorizon.WriteFailed {
		t.Errorf("a write that fails: %v", err)
	}
	if got := h.CurrentRun().Until; got != time.Second {
		t.Errorf("after a failed write the recorded time is %v, want 1s", got)
	}
}
