package kcwwal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

const owner = 7

func open(t testing.TB, path string) *Log {
	t.Helper()
	l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 256})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func entry(index, term uint64) *kcwpb.Entry {
	return &kcwpb.Entry{Index: index, Term: term, Data: []byte("some data of an entry")}
}

// fill writes entries 1 to n, each in its own batch, to several segments.
func fill(t testing.TB, path string, n uint64) {
	t.Helper()
	l := open(t, path)
	for i := uint64(1); i <= n; i++ {
		if err := l.Save(i, 3, []*kcwpb.Entry{entry(i, i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

func segments(t testing.TB, path string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(path, "*"+suffix))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// edit replaces a file's content by the result of change.
func edit(t *testing.T, path string, change func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(data), fileMode); err != nil {
		t.Fatal(err)
	}
}

// lastRecord returns the length of the last record in data.
func lastRecord(data []byte) int {
	offset, last := 0, 0
	for offset < len(data) {
		_, next, _ := readRecord(data, offset)
		offset, last = next, next-offset
	}
	return last
}

func flip(at func(n int) int) func([]byte) []byte {
	return func(data []byte) []byte {
		data[at(len(data))] ^= 0x10
		return data
	}
}

func TestDamage(t *testing.T) {
	const entries = 20
	first := func(files []string) string { return files[0] }
	last := func(files []string) string { return files[len(files)-1] }
	for _, test := range []struct {
		name   string
		file   func([]string) string
		damage func(t *testing.T, file string)
		kind   Kind
		lost   uint64
	}{
		{"intact", last, func(*testing.T, string) {}, 0, 0},
		{"last record truncated", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte { return b[:len(b)-5] })
		}, 0, 1},
		{"last record's header truncated", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte { return b[:len(b)-lastRecord(b)+5] })
		}, 0, 1},
		{"last sector not written", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte {
				b = appendRecord(b, int64(len(b)), kindEntry, func(p []byte) []byte {
					return append(p, bytes.Repeat([]byte{1}, sectorBytes)...)
				})
				clear(b[sectorBytes:])
				return b
			})
		}, 0, 0},
		{"flipped byte in the last record", last, func(t *testing.T, file string) {
			edit(t, file, flip(func(n int) int { return n - 3 }))
		}, Damaged, 0},
		{"flipped length in the last record", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte {
				b[len(b)-lastRecord(b)+9] ^= 0x10
				return b
			})
		}, Damaged, 0},
		{"flipped byte with zeros after the end", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte {
				b[30] ^= 1
				return append(b, make([]byte, 4096)...)
			})
		}, Damaged, 0},
		{"newest segment missing", last, func(t *testing.T, file string) {
			if err := os.Remove(file); err != nil {
				t.Fatal(err)
			}
		}, Missing, 0},
		{"zeros after the end", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte { return append(b, make([]byte, 4096)...) })
		}, 0, 0},
		{"garbage after the end", last, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte { return append(b, "garbage that is longer than a header"...) })
		}, Damaged, 0},
		{"flipped byte in the first record of the last segment", last, func(t *testing.T, file string) {
			edit(t, file, flip(func(int) int { return 20 }))
		}, Damaged, 0},
		{"flipped length in the last segment", last, func(t *testing.T, file string) {
			edit(t, file, flip(func(int) int { return headerBytes + 25 + 8 }))
		}, Damaged, 0},
		{"flipped byte in the middle of the first segment", first, func(t *testing.T, file string) {
			edit(t, file, flip(func(n int) int { return n / 2 }))
		}, Damaged, 0},
		{"first segment truncated", first, func(t *testing.T, file string) {
			edit(t, file, func(b []byte) []byte { return b[:len(b)-5] })
		}, Damaged, 0},
		{"first segment empty", first, func(t *testing.T, file string) {
			edit(t, file, func([]byte) []byte { return nil })
		}, Damaged, 0},
		{"segment missing", func(f []string) string { return f[1] }, func(t *testing.T, file string) {
			if err := os.Remove(file); err != nil {
				t.Fatal(err)
			}
		}, Missing, 0},
		{"foreign name", last, func(t *testing.T, file string) {
			if err := os.WriteFile(file+".bak", nil, fileMode); err != nil {
				t.Fatal(err)
			}
		}, Foreign, 0},
		{"segment renamed to another sequence number", first, func(t *testing.T, file string) {
			files := segments(t, filepath.Dir(file))
			if err := os.Rename(files[1], file); err != nil {
				t.Fatal(err)
			}
		}, Missing, 0},
		{"content of another segment", first, func(t *testing.T, file string) {
			files := segments(t, filepath.Dir(file))
			other, err := os.ReadFile(files[1])
			if err != nil {
				t.Fatal(err)
			}
			edit(t, file, func([]byte) []byte { return other })
		}, Foreign, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := t.TempDir()
			fill(t, path, entries)
			test.damage(t, test.file(segments(t, path)))
			l, err := Open(Config{Path: path, Owner: owner, SegmentBytes: 256, Existing: true})
			if test.kind != 0 {
				checkRefused(t, err, test.kind)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			checkContent(t, l, entries-test.lost)
			extend(t, path, l, entries-test.lost)
		})
	}
}

func checkRefused(t *testing.T, err error, kind Kind) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != kind {
		t.Fatalf("got error %v, want kind %v", err, kind)
	}
	if e.File == "" {
		t.Errorf("%v names no file", err)
	}
}

func checkContent(t *testing.T, l *Log, n uint64) {
	t.Helper()
	entries := l.Entries()
	if uint64(len(entries)) != n {
		t.Fatalf("%d entries, want %d", len(entries), n)
	}
	for i, e := range entries {
		if e.Index != uint64(i)+1 || e.Term != e.Index {
			t.Errorf("entry %d is %v", i+1, e)
		}
	}
	if term, _ := l.State(); term < n {
		t.Errorf("term %d, want at least %d", term, n)
	}
}

// extend writes one more entry, closes the log and checks its content after reopening.
func extend(t *testing.T, path string, l *Log, n uint64) {
	t.Helper()
	if err := l.Save(n+1, 3, []*kcwpb.Entry{entry(n+1, n+1)}); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	checkContent(t, open(t, path), n+1)
}

func TestLogOfAnotherReplica(t *testing.T) {
	path := t.TempDir()
	fill(t, path, 3)
	_, err := Open(Config{Path: path, Owner: owner + 1})
	checkRefused(t, err, Foreign)
}

func TestLostLog(t *testing.T) {
	_, err := Open(Config{Path: t.TempDir(), Owner: owner, Existing: true})
	checkRefused(t, err, Missing)
}

func TestConflictReplacesSuffix(t *testing.T) {
	path := t.TempDir()
	fill(t, path, 20)
	l := open(t, path)
	if err := l.Save(30, 0, []*kcwpb.Entry{entry(15, 30), entry(16, 30)}); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l = open(t, path)
	entries := l.Entries()
	if len(entries) != 16 || entries[13].Term != 14 || entries[14].Term != 30 || entries[15].Term != 30 {
		t.Errorf("entries %v", entries)
	}
	if term, vote := l.State(); term != 30 || vote != 0 {
		t.Errorf("term %d and vote %d, want 30 and none", term, vote)
	}
}

func TestCompactAndReset(t *testing.T) {
	path := t.TempDir()
	fill(t, path, 40)
	l := open(t, path)
	before := len(segments(t, path))
	if err := l.Compact(30); err != nil {
		t.Fatal(err)
	}
	if after := len(segments(t, path)); after >= before {
		t.Errorf("%d segments after compaction, %d before", after, before)
	}
	_ = l.Close()
	l = open(t, path)
	entries := l.Entries()
	if first := entries[0].Index; first > 31 || entries[len(entries)-1].Index != 40 {
		t.Errorf("entries from %d to %d", first, entries[len(entries)-1].Index)
	}
	if err := l.Reset(100, 50); err != nil {
		t.Fatal(err)
	}
	if err := l.Save(50, 1, []*kcwpb.Entry{entry(101, 50)}); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	l = open(t, path)
	if entries := l.Entries(); len(entries) != 1 || entries[0].Index != 101 {
		t.Errorf("entries %v after the reset", entries)
	}
}

// After a failed write the log rejects all later ones.
func TestFailedWriteStops(t *testing.T) {
	l := open(t, t.TempDir())
	if err := l.file.Close(); err != nil {
		t.Fatal(err)
	}
	first := l.Save(1, 1, nil)
	checkRefused(t, first, Storage)
	if second := l.Save(1, 1, []*kcwpb.Entry{entry(1, 1)}); !errors.Is(second, first) {
		t.Errorf("later write gave %v, want the first failure", second)
	}
}

// Save returns nil only after a sync. After a failed sync it returns an error, and so do
// all later calls.
func TestSaveSyncs(t *testing.T) {
	l := open(t, t.TempDir())
	synced := map[string]int64{}
	var failure error
	l.sync = func(file *os.File) error {
		info, err := file.Stat()
		if err != nil {
			return err
		}
		synced[file.Name()] = info.Size()
		return failure
	}
	for i := uint64(1); i <= 20; i++ {
		if err := l.Save(1, 1, []*kcwpb.Entry{entry(i, 1)}); err != nil {
			t.Fatal(err)
		}
		if info, err := l.file.Stat(); err != nil || info.Size() != synced[l.file.Name()] {
			t.Fatalf("entry %d: %d bytes written, %d synced, %v", i, info.Size(), synced[l.file.Name()], err)
		}
	}
	failure = errors.New("no sync")
	first := l.Save(2, 1, nil)
	failure = nil
	if second := l.Save(2, 1, nil); !errors.Is(first, second) || kindOf(second) != Storage {
		t.Errorf("a failed sync gave %v, then %v", first, second)
	}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func FuzzSegment(f *testing.F) {
	path := f.TempDir()
	fill(f, path, 3)
	data, err := os.ReadFile(segments(f, path)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Add([]byte(nil))
	huge := append([]byte(nil), data...)
	binary.LittleEndian.PutUint32(huge[8:], 1<<31)
	f.Add(huge)
	f.Fuzz(func(t *testing.T, data []byte) {
		first, size, err := replayAlone(data)
		if err != nil {
			return
		}
		second, secondSize, err := replayAlone(data[:size])
		if err != nil || secondSize != size || len(second.entries) != len(first.entries) {
			t.Fatalf("%d bytes and %d entries, then %d and %d, %v", size, len(first.entries), secondSize, len(second.entries), err)
		}
	})
}

// replayAlone replays data as the only segment of a log.
func replayAlone(data []byte) (*content, int64, error) {
	c := &content{}
	size, err := c.replay(&segment{sequence: 1}, data, owner, true)
	return c, size, err
}
