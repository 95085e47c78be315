package kcwwal

import (
	"errors"
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwpb"
)

// limitedDisk is a disk with a number of free bytes.
type limitedDisk struct{ free int }

// write writes as much of data as there is space for.
func (d *limitedDisk) write(file *os.File, data []byte) (int, error) {
	n := min(len(data), d.free)
	d.free -= n
	written, err := file.Write(data[:n])
	if err == nil && n < len(data) {
		err = &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
	}
	return written, err
}

// The disk becomes full at every possible byte of a sequence of records and segments.
// Each time, the call that finds the disk full must change nothing, the log must continue
// once there is space again, and a restart after any call must find all acknowledged
// entries.
func TestFullDisk(t *testing.T) {
	const entries = 4
	save := func(l *Log, i uint64) error { return l.Save(1+i/2, 1, []*kcwpb.Entry{entry(i, 1+i/2)}) }
	readEntries := func(path string) []*kcwpb.Entry {
		l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Entries()
	}
	for free := 0; ; free++ {
		path := t.TempDir()
		l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
		if err != nil {
			t.Fatal(err)
		}
		disk := &limitedDisk{free: free}
		l.cfg.Write = disk.write
		// Syncs would take most of the test's time; TestSaveSyncs covers them.
		l.sync = func(*os.File) error { return nil }
		full := 0
		for i := uint64(1); i <= entries; i++ {
			err := save(l, i)
			if err != nil {
				checkRefused(t, err, Full)
				full++
				if got := readCopy(t, path, readEntries); len(got) != int(i-1) {
					t.Fatalf("%d bytes free: %d entries after the failed write of entry %d", free, len(got), i)
				}
				if second := save(l, i); !isFull(second) {
					t.Fatalf("%d bytes free: a second attempt gave %v", free, second)
				}
				disk.free = 1 << 20
				if err := save(l, i); err != nil {
					t.Fatalf("%d bytes free: an attempt with free space gave %v", free, err)
				}
			}
			if got := readCopy(t, path, readEntries); len(got) != int(i) {
				t.Fatalf("%d bytes free: %d entries after entry %d", free, len(got), i)
			}
		}
		rolled := len(l.segments)
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if full == 0 && rolled > 2 && disk.free > 0 {
			return
		}
	}
}

// readCopy returns the entries that read returns for a copy of the folder at path.
func readCopy(t *testing.T, path string, read func(string) []*kcwpb.Entry) []*kcwpb.Entry {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(path)); err != nil {
		t.Fatal(err)
	}
	return read(to)
}

// A failed sync makes the log reject all later writes, even if its cause is a full disk.
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

// A full disk must not end Compact for good: removing a segment, or flushing the folder
// after it, may need space too.
func TestCompactOnFullDiskIsRepeated(t *testing.T) {
	const entries = 20
	errFull := &os.PathError{Op: "remove", Path: "segment", Err: unix.ENOSPC}
	for _, test := range []struct {
		name string
		// full makes the nth removal or flush of the folder find the disk full.
		full func(l *Log, n int)
	}{
		{"a removal fails", func(l *Log, n int) {
			remove, calls := l.cfg.Remove, 0
			l.cfg.Remove = func(path string) error {
				if calls++; calls == n {
					return errFull
				}
				return remove(path)
			}
		}},
		{"a flush of the folder fails", func(l *Log, n int) {
			flush, calls := l.syncFolder, 0
			l.syncFolder = func(path string) error {
				if calls++; calls == n {
					return errFull
				}
				return flush(path)
			}
		}},
	} {
		for n := 1; n <= 3; n++ {
			path := t.TempDir()
			l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
			if err != nil {
				t.Fatal(err)
			}
			for i := uint64(1); i <= entries; i++ {
				if err := l.Save(1, 1, []*kcwpb.Entry{entry(i, 1)}); err != nil {
					t.Fatal(err)
				}
			}
			before := len(l.segments)
			test.full(l, n)
			if err := l.Compact(entries); !isFull(err) {
				t.Errorf("%s at call %d: Compact gave %v, want an error of kind Full", test.name, n, err)
			}
			if err := l.Save(1, 1, []*kcwpb.Entry{entry(entries+1, 1)}); err != nil {
				t.Errorf("%s at call %d: later Save gave %v", test.name, n, err)
			}
			if err := l.Compact(entries); err != nil {
				t.Errorf("%s at call %d: Compact with free space gave %v", test.name, n, err)
			}
			if got := len(segments(t, path)); got >= before || got != len(l.segments) {
				t.Errorf("%s at call %d: %d files and %d segments after Compact, %d before", test.name, n, got, len(l.segments), before)
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			again, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150, Existing: true})
			if err != nil {
				t.Errorf("%s at call %d: Open gave %v", test.name, n, err)
				continue
			}
			if got := again.Entries(); len(got) == 0 || got[len(got)-1].Index != entries+1 {
				t.Errorf("%s at call %d: the newest entry is lost", test.name, n)
			}
			_ = again.Close()
		}
	}
}

// Reset has taken effect once its record is on disk, so that it must not report a full disk
// because old segments can't be removed yet.
func TestResetSucceedsWithoutRoomToRemoveSegments(t *testing.T) {
	path := t.TempDir()
	l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 20; i++ {
		if err := l.Save(1, 1, []*kcwpb.Entry{entry(i, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	l.cfg.Remove = func(path string) error { return &os.PathError{Op: "remove", Path: path, Err: unix.ENOSPC} }
	if err := l.Reset(30, 2); err != nil {
		t.Errorf("Reset gave %v", err)
	}
	l.cfg.Remove = os.Remove
	for i := uint64(31); i <= 40; i++ {
		if err := l.Save(2, 1, []*kcwpb.Entry{entry(i, 2)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Compact(35); err != nil {
		t.Errorf("Compact gave %v", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150, Existing: true})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if got := again.Entries(); len(got) == 0 || got[len(got)-1].Index != 40 || got[0].Index > 36 {
		t.Errorf("the log holds %d entries after Reset, want 36 to 40 at least", len(got))
	}
}

// A roll that found the disk too full even to remove the new segment must be undone later,
// and must not make the log fail for good.
func TestRollSurvivesWithoutRoomToRemoveSegment(t *testing.T) {
	path := t.TempDir()
	l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150})
	if err != nil {
		t.Fatal(err)
	}
	errFull := &os.PathError{Op: "remove", Path: path, Err: unix.ENOSPC}
	saved := uint64(0)
	save := func() error {
		err := l.Save(1, 1, []*kcwpb.Entry{entry(saved+1, 1)})
		if err == nil {
			saved++
		}
		return err
	}
	for rolled := false; !rolled; {
		before := len(l.segments)
		disk := &limitedDisk{free: 1 << 20}
		l.cfg.Write = func(file *os.File, data []byte) (int, error) {
			if file.Name() != l.segments[0].path {
				disk.free = min(disk.free, 10)
			}
			return disk.write(file, data)
		}
		l.cfg.Remove = func(string) error { return errFull }
		if err := save(); err != nil {
			t.Fatalf("Save before the roll gave %v", err)
		}
		rolled = disk.free == 0
		if len(l.segments) != before {
			t.Fatal("the roll was not undone")
		}
	}
	if err := save(); !isFull(err) {
		t.Errorf("Save beside the abandoned segment gave %v, want an error of kind Full", err)
	}
	if got := readCopy(t, path, func(path string) []*kcwpb.Entry {
		copied, err := Open(Config{Path: path, Owner: owner, Existing: true})
		if err != nil {
			t.Fatal(err)
		}
		defer copied.Close()
		return copied.Entries()
	}); len(got) != int(saved) {
		t.Errorf("%d entries after a restart, want %d", len(got), saved)
	}
	l.cfg.Write, l.cfg.Remove = (*os.File).Write, os.Remove
	for range 10 {
		if err := save(); err != nil {
			t.Fatalf("Save with free space gave %v", err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 150, Existing: true})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if got := again.Entries(); len(got) != int(saved) {
		t.Errorf("%d entries, want %d", len(got), saved)
	}
}
