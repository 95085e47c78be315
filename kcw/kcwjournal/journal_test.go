package kcwjournal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"kingcupwick.example/kcw/kcwjournal"
	"kingcupwick.example/kcw/kcwpb"
)

func opened(request string) *kcwpb.JournalRecord {
	return &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Opened{Opened: &kcwpb.OpenClaim{Customer: "pew", Request: request, Incarnation: 1}}}
}

func settled(request string) *kcwpb.JournalRecord {
	return &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Settled{Settled: &kcwpb.SettleClaim{Customer: "pew", Request: request, Incarnation: 1}}}
}

func confirmed(request string) *kcwpb.JournalRecord {
	return &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Confirmed{Confirmed: &kcwpb.SettleClaim{Customer: "pew", Request: request, Incarnation: 1}}}
}

func open(t testing.TB, folder string) *kcwjournal.Journal {
	t.Helper()
	j, err := kcwjournal.Open(kcwjournal.Config{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func add(t testing.TB, j *kcwjournal.Journal, records ...*kcwpb.JournalRecord) {
	t.Helper()
	for _, record := range records {
		if err := j.Append(record); err != nil {
			t.Fatal(err)
		}
	}
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	add(t, j, opened("r-1"), opened("r-2"), settled("r-1"), opened("r-3"), confirmed("r-3"))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if err := j.Append(opened("r-4")); err == nil {
		t.Error("a closed journal accepted a record")
	}
	j = open(t, folder)
	live := j.Live()
	if len(live) != 2 || live[0].GetSettled().GetRequest() != "r-1" || live[1].GetOpened().GetRequest() != "r-2" {
		t.Errorf("live %v", live)
	}
}

func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	add(t, j, opened("r-1"), opened("r-2"))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "Journal")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := open(t, folder)
		if want := cut / (len(whole) / 2); len(j.Live()) != want {
			t.Errorf("cut at %d: %d records, want %d", cut, len(j.Live()), want)
		}
		add(t, j, opened("r-9"))
		_ = j.Close()
		if j = open(t, folder); len(j.Live()) != cut/(len(whole)/2)+1 {
			t.Errorf("cut at %d: the record appended after it is lost", cut)
		}
		_ = j.Close()
	}
	for i := range len(whole) / 2 {
		flipped := append([]byte(nil), whole...)
		flipped[i] ^= 4
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		var typed *kcwjournal.Error
		if _, err := kcwjournal.Open(kcwjournal.Config{Folder: folder}); !errors.As(err, &typed) || typed.Kind != kcwjournal.KindDamaged {
			t.Errorf("byte %d flipped: error %v", i, err)
		}
	}
}

func TestConcurrentAppendsAndCompaction(t *testing.T) {
	folder := t.TempDir()
	j := open(t, folder)
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 50 {
				request := fmt.Sprintf("r-%d-%d", worker, i)
				add(t, j, opened(request), settled(request))
				if err := j.Note(confirmed(request)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	big := opened("big")
	big.GetOpened().Digest = make([]byte, 60_000)
	for range 20 {
		add(t, j, big, confirmed("big"))
	}
	add(t, j, opened("kept"))
	before, _ := os.Stat(filepath.Join(folder, "Journal"))
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	after, _ := os.Stat(filepath.Join(folder, "Journal"))
	if after.Size() >= before.Size() {
		t.Errorf("compaction left %d of %d bytes", after.Size(), before.Size())
	}
	add(t, j, opened("later"))
	_ = j.Close()
	if live := open(t, folder).Live(); len(live) != 2 || live[0].GetOpened().GetRequest() != "kept" {
		t.Errorf("live %v", live)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add(make([]byte, 20))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "Journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := kcwjournal.Open(kcwjournal.Config{Folder: folder})
		if err != nil {
			return
		}
		before := len(j.Live())
		add(t, j, opened("after"))
		_ = j.Close()
		if after := len(open(t, folder).Live()); after < before {
			t.Fatalf("%d records, then %d", before, after)
		}
	})
}
