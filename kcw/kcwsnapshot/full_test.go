package kcwsnapshot

import (
	"bytes"
	"io"
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwpb"
)

// Whichever step of writing or receiving a snapshot finds the disk full, the store must
// report that, leave nothing behind that uses space, and succeed once there is room.
func TestSnapshotOnFullDiskIsRepeated(t *testing.T) {
	full := &os.PathError{Op: "write", Path: "snapshot", Err: unix.ENOSPC}
	body := func(w io.Writer) error {
		_, err := w.Write(content(9))
		return err
	}
	receive := func(s *Store, chunk *kcwpb.SnapshotChunk) error {
		_, done, err := s.Receive(chunk)
		if err == nil && !done {
			t.Error("the only chunk did not complete the snapshot")
		}
		return err
	}
	sender := open(t, t.TempDir())
	write(t, sender, 9)
	chunk, err := sender.Chunk(9, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		// fill makes the step find the disk full while *isFull is set.
		fill func(s *Store, isFull *bool)
	}{
		{"write", func(s *Store, isFull *bool) {
			s.writeAt = func(file *os.File, data []byte, offset int64) (int, error) {
				if !*isFull {
					return file.WriteAt(data, offset)
				}
				n, _ := file.WriteAt(data[:len(data)/2], offset)
				return n, full
			}
		}},
		{"sync", func(s *Store, isFull *bool) {
			s.sync = func(file *os.File) error {
				if *isFull {
					return full
				}
				return file.Sync()
			}
		}},
		{"sync of the folder", func(s *Store, isFull *bool) {
			s.syncFolder = func(path string) error {
				if *isFull {
					return full
				}
				return syncFolder(path)
			}
		}},
	} {
		for _, store := range []struct {
			name string
			call func(*Store) error
		}{
			{"write", func(s *Store) error { return s.Write(9, 2, members, body) }},
			{"receive", func(s *Store) error { return receive(s, chunk) }},
		} {
			t.Run(store.name+", full at "+test.name, func(t *testing.T) {
				path := t.TempDir()
				s := open(t, path)
				write(t, s, 5)
				isFull := true
				test.fill(s, &isFull)
				if err := store.call(s); kindOf(err) != Full {
					t.Errorf("the call gave %v, want an error of kind Full", err)
				}
				if got := s.Latest().GetIndex(); got != 5 {
					t.Errorf("the newest snapshot is at %d, want 5", got)
				}
				files, err := os.ReadDir(path)
				if err != nil {
					t.Fatal(err)
				}
				for _, file := range files {
					if name := file.Name(); name != fileName(5) && name != fileName(9) {
						t.Errorf("%s is left", name)
					}
				}
				isFull = false
				if err := store.call(s); err != nil {
					t.Fatalf("the call with free space gave %v", err)
				}
				if !bytes.Equal(read(t, s, 9), content(9)) {
					t.Error("the snapshot has another content")
				}
			})
		}
	}
}

// A snapshot that is on disk counts as written although the disk has no room to remove an
// older one.
func TestSnapshotCountsWithoutRoomToRemoveOlder(t *testing.T) {
	s := open(t, t.TempDir())
	s.remove = func(path string) error { return &os.PathError{Op: "remove", Path: path, Err: unix.ENOSPC} }
	for index := uint64(1); index <= 4; index++ {
		write(t, s, index)
	}
	s.remove = os.Remove
	write(t, s, 5)
	if len(s.metas) != maxSnapshots {
		t.Errorf("%d snapshots are kept, want %d", len(s.metas), maxSnapshots)
	}
}
