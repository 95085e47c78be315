package kcwjournal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwjournal"
	"kingcupwick.example/kcw/kcwpb"
)

// disk is a disk that can be full. A write to a full disk writes half of its data.
type disk struct{ full bool }

func (d *disk) writeAt(file *os.File, data []byte, offset int64) (int, error) {
	if !d.full {
		return file.WriteAt(data, offset)
	}
	n, _ := file.WriteAt(data[:len(data)/2], offset)
	return n, &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
}

func checkFull(t *testing.T, err error) {
	t.Helper()
	var e *kcwjournal.Error
	if !errors.As(err, &e) || e.Kind != kcwjournal.KindFull {
		t.Errorf("the call on a full disk gave %v, want an error of KindFull", err)
	}
}

// A journal that found its disk full must accept records again once there is room, and hold
// those that it accepted.
func TestJournalGoesOnAfterFullDisk(t *testing.T) {
	folder := t.TempDir()
	d := &disk{}
	j, err := kcwjournal.Open(kcwjournal.Config{Folder: folder, WriteAt: d.writeAt})
	if err != nil {
		t.Fatal(err)
	}
	add(t, j, opened("a"))
	d.full = true
	checkFull(t, j.Append(opened("a-longer-request-than-the-next")))
	checkFull(t, j.Note(opened("c")))
	d.full = false
	add(t, j, opened("d"))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	again := open(t, folder)
	defer again.Close()
	if got := again.Live(); len(got) != 2 {
		t.Errorf("%d records after a restart, want 2: %v", len(got), got)
	}
}

// A compaction that found the disk full must leave the journal in use.
func TestCompactionOnFullDiskChangesNothing(t *testing.T) {
	folder := t.TempDir()
	d := &disk{}
	j, err := kcwjournal.Open(kcwjournal.Config{Folder: folder, WriteAt: d.writeAt})
	if err != nil {
		t.Fatal(err)
	}
	note := func(record *kcwpb.JournalRecord) {
		if err := j.Note(record); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20_000 {
		request := fmt.Sprintf("request-%d", i)
		note(opened(request))
		note(confirmed(request))
	}
	note(opened("live"))
	d.full = true
	checkFull(t, j.Compact())
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != 1 {
		t.Errorf("%d files after the failed compaction, want 1", len(files))
	}
	d.full = false
	add(t, j, opened("later"))
	before, err := os.Stat(filepath.Join(folder, files[0].Name()))
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Compact(); err != nil {
		t.Errorf("the compaction with free space gave %v", err)
	}
	after, err := os.Stat(filepath.Join(folder, files[0].Name()))
	if err != nil {
		t.Fatal(err)
	}
	if after.Size() >= before.Size() || len(j.Live()) != 2 {
		t.Errorf("%d bytes and %d records after the compaction, %d bytes before", after.Size(), len(j.Live()), before.Size())
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}
