package kcwjournal

import (
	"slices"

	"kingcupwick.example/kcw/kcwpb"
)

// key names what a record is about.
type key struct {
	customer    string
	request     string
	incarnation uint64
	attempt     uint64
}

// live holds the newest record of each claim and grant that is not finished.
type live struct {
	next    uint64
	entries map[key]entry
}

// entry is a record and the place of its key's first mention.
type entry struct {
	place  uint64
	record *kcwpb.JournalRecord
}

func newLive() *live {
	return &live{entries: make(map[key]entry)}
}

// apply adds record.
func (l *live) apply(record *kcwpb.JournalRecord) {
	switch r := record.GetRecord().(type) {
	case *kcwpb.JournalRecord_Opened:
		l.put(key{r.Opened.GetCustomer(), r.Opened.GetRequest(), r.Opened.GetIncarnation(), r.Opened.GetAttempt()}, record)
	case *kcwpb.JournalRecord_Settled:
		l.put(key{r.Settled.GetCustomer(), r.Settled.GetRequest(), r.Settled.GetIncarnation(), r.Settled.GetAttempt()}, record)
	case *kcwpb.JournalRecord_Confirmed:
		delete(l.entries, key{r.Confirmed.GetCustomer(), r.Confirmed.GetRequest(), r.Confirmed.GetIncarnation(), r.Confirmed.GetAttempt()})
	case *kcwpb.JournalRecord_Drawn:
		l.put(key{customer: r.Drawn.GetCustomer(), incarnation: r.Drawn.GetIncarnation()}, record)
	case *kcwpb.JournalRecord_Released:
		delete(l.entries, key{customer: r.Released.GetCustomer(), incarnation: r.Released.GetIncarnation()})
	}
}

// put makes record the newest one of k.
func (l *live) put(k key, record *kcwpb.JournalRecord) {
	e, found := l.entries[k]
	if !found {
		l.next++
		e.place = l.next
	}
	e.record = record
	l.entries[k] = e
}

// list returns the records in the order of their first mention.
func (l *live) list() []*kcwpb.JournalRecord {
	entries := make([]entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.place < b.place {
			return -1
		}
		return 1
	})
	list := make([]*kcwpb.JournalRecord, len(entries))
	for i, e := range entries {
		list[i] = e.record
	}
	return list
}
