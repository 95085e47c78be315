package kcwsnapshot

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

var members = &kcwpb.Membership{
	Members:  []*kcwpb.Member{{Id: 5, Name: "h1"}, {Id: 6, Name: "h2", Learner: true}},
	Outgoing: []uint64{6},
}

func open(t testing.TB, path string) *Store {
	t.Helper()
	s, err := Open(Config{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func content(index uint64) []byte {
	return bytes.Repeat([]byte{byte(index)}, 1000)
}

func write(t testing.TB, s *Store, index uint64) {
	t.Helper()
	err := s.Write(index, 2, members, func(w io.Writer) error {
		_, err := w.Write(content(index))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func read(t testing.TB, s *Store, index uint64) []byte {
	t.Helper()
	var data []byte
	err := s.Load(index, func(r io.Reader) error {
		var err error
		data, err = io.ReadAll(r)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestNewestTwoAreKept(t *testing.T) {
	path := t.TempDir()
	s := open(t, path)
	for index := uint64(1); index <= 4; index++ {
		write(t, s, index)
	}
	s = open(t, path)
	if latest := s.Latest(); latest.Index != 4 || latest.Term != 2 || !proto.Equal(latest.Membership, members) {
		t.Errorf("latest is %v", latest)
	}
	for _, index := range []uint64{3, 4} {
		if !bytes.Equal(read(t, s, index), content(index)) {
			t.Errorf("snapshot %d has different content", index)
		}
	}
	if err := s.Load(2, nil); kindOf(err) != Missing {
		t.Errorf("load of a removed snapshot gave %v, want missing", err)
	}
}

func TestDamagedSnapshotIsPassedOver(t *testing.T) {
	for _, test := range []struct {
		name string
		at   func(n int) int
	}{
		{"content", func(int) int { return 500 }},
		{"meta", func(n int) int { return n - tailBytes - 3 }},
		{"length", func(n int) int { return n - tailBytes }},
		{"magic", func(n int) int { return n - 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := t.TempDir()
			s := open(t, path)
			write(t, s, 1)
			write(t, s, 2)
			file := filepath.Join(path, fileName(2))
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			data[test.at(len(data))] ^= 1
			if err := os.WriteFile(file, data, fileMode); err != nil {
				t.Fatal(err)
			}
			if err := s.Load(2, nil); kindOf(err) != Damaged {
				t.Errorf("load gave %v, want damaged", err)
			}
			if latest := open(t, path).Latest(); latest.Index != 1 {
				t.Errorf("latest is %d, want 1", latest.Index)
			}
		})
	}
}

func TestForeignFile(t *testing.T) {
	path := t.TempDir()
	if err := os.WriteFile(filepath.Join(path, "notes.txt"), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Config{Path: path}); kindOf(err) != Foreign {
		t.Errorf("open gave %v, want foreign", err)
	}
}

func TestTransfer(t *testing.T) {
	const size = 300
	for _, test := range []struct {
		name  string
		alter func(step int, chunk *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk
	}{
		{"in order", func(_ int, c *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk { return c }},
		{"a chunk twice", func(step int, c *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk {
			if step == 1 {
				c.Offset = 0
			}
			return c
		}},
		{"a wrong byte", func(step int, c *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk {
			if step == 2 {
				c.Data[7] ^= 1
			}
			return c
		}},
		{"another snapshot between", func(step int, c *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk {
			if step == 1 {
				c.Index++
			}
			return c
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			from, to := open(t, t.TempDir()), open(t, t.TempDir())
			write(t, from, 9)
			offset, done := int64(0), false
			for step := 0; !done; step++ {
				if step > 20 {
					t.Fatal("the transfer does not end")
				}
				chunk, err := from.Chunk(9, offset, size)
				if err != nil {
					t.Fatal(err)
				}
				offset, done, err = to.Receive(test.alter(step, chunk))
				if err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(read(t, to, 9), content(9)) {
				t.Error("the received content differs")
			}
			if latest := to.Latest(); latest.Index != 9 || !proto.Equal(latest.Membership, members) {
				t.Errorf("latest is %v", latest)
			}
		})
	}
}

func FuzzSnapshot(f *testing.F) {
	path := f.TempDir()
	write(f, open(f, path), 1)
	data, err := os.ReadFile(filepath.Join(path, fileName(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[10:])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		meta, err := readTrailer(bytes.NewReader(data), int64(len(data)))
		if err == nil && (meta.Offset < 0 || meta.Offset > int64(len(data))) {
			t.Fatalf("content of %d bytes in a file of %d", meta.Offset, len(data))
		}
	})
}
