package kcwwal

import (
	"errors"
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwpb"
)

// room is a disk with so many bytes left.
type room struct{ left int }

// write writes as much of data as there is room for.
func (r *room) write(file *os.File, data []byte) (int, error) {
	n := min(len(data), r.left)
	r.left -= n
	written, err := file.Write(data[:n])
	if err == nil && n < len(data) {
		err = &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
	}
	return written, err
}

// TestFullDisk fills the disk at each byte of a history of records and segments, and
// checks that the call which found no room changed nothing, that the log goes on when
// there is room again, and that what it acknowledged is read after a restart at any
// moment.
func TestFullDisk(t *testing.T) {
	const entries = 4
	save := func(l *Log, i uint64) error { return l.Save(1+i/2, 1, []*kcwpb.Entry{entry(i, 1+i/2)}) }
	reopened := func(path string) []*kcwpb.Entry {
		l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Entries()
	}
	for left := 0; ; left++ {
		path := t.TempDir()
		l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
		if err != nil {
			t.Fatal(err)
		}
		disk := &room{left: left}
		l.cfg.Write = disk.write
		// Whether a sync follows is TestSaveSyncs' part; it takes most of the time.
		l.sync = func(*os.File) error { return nil }
		full := 0
		for i := uint64(1); i <= entries; i++ {
			err := save(l, i)
			if err != nil {
				checkRefused(t, err, Full)
				full++
				if got := reopenedCopy(t, path, reopened); len(got) != int(i-1) {
					t.Fatalf("%d bytes left: %d entries after the failed write of entry %d", left, len(got), i)
				}
				if again := save(l, i); !isFull(again) {
					t.Fatalf("%d bytes left: a second try gave %v", left, again)
				}
				disk.left = 1 << 20
				if err := save(l, i); err != nil {
					t.Fatalf("%d bytes left: with room again %v", left, err)
				}
			}
			if got := reopenedCopy(t, path, reopened); len(got) != int(i) {
				t.Fatalf("%d bytes left: %d entries after entry %d", left, len(got), i)
			}
		}
		rolled := len(l.segments)
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if full == 0 && rolled > 2 && disk.left > 0 {
			return
		}
	}
}

// reopenedCopy returns what read finds in a copy of the folder at path.
func reopenedCopy(t *testing.T, path string, read func(string) []*kcwpb.Entry) []*kcwpb.Entry {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(path)); err != nil {
		t.Fatal(err)
	}
	return read(to)
}

// TestFullDiskFailedSync checks that a failed sync stays the end of the log also if
// its cause is a full disk.
func TestFullDiskFailedSync(t *testing.T) {
	l := open(t, t.TempDir())
	l.sync = func(*os.File) error { return unix.ENOSPC }
	first := l.Save(1, 1, []*kcwpb.Entry{entry(1, 1)})
	checkRefused(t, first, Storage)
	l.sync = syncFile
	if second := l.Save(1, 1, []*kcwpb.Entry{entry(1, 1)}); !errors.Is(second, first) {
		t.Errorf("later write gave %v, want the first failure", second)
	}
}
