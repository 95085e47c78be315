package kcwjournal

import (
	"slices"

	"kingcupwick.example/kcw/kcwpb"
)

// key identifies a claim, or a grant if request is empty.
type key struct {
	customer    string
	request     string
	incarnation uint64
	attempt     uint64
}

// live holds the latest record of each claim and grant that is not finished.
type live struct {
	lastOrder uint64
	entries   map[key]entry
}

// entry is the latest record of a key and the key's rank by first record.
type entry struct {
	order  uint64
	record *kcwpb.JournalRecord
}

func newLive() *live {
	return &live{entries: make(map[key]entry)}
}

// apply updates the live records by record.
func (l *live) apply(record *kcwpb.JournalRecord) {
	switch r := record.GetRecord().(type) {
	case *kcwpb.JournalRecord_Opened:
		l.set(key{r.Opened.GetCustomer(), r.Opened.GetRequest(), r.Opened.GetIncarnation(), r.Opened.GetAttempt()}, record)
	case *kcwpb.JournalRecord_Settled:
		l.set(key{r.Settled.GetCustomer(), r.Settled.GetRequest(), r.Settled.GetIncarnation(), r.Settled.GetAttempt()}, record)
	case *kcwpb.JournalRecord_Confirmed:
		delete(l.entries, key{r.Confirmed.GetCustomer(), r.Confirmed.GetRequest(), r.Confirmed.GetIncarnation(), r.Confirmed.GetAttempt()})
	case *kcwpb.JournalRecord_Drawn:
		l.set(key{customer: r.Drawn.GetCustomer(), incarnation: r.Drawn.GetIncarnation()}, record)
	case *kcwpb.JournalRecord_Released:
		delete(l.entries, key{customer: r.Released.GetCustomer(), incarnation: r.Released.GetIncarnation()})
	}
}

// set makes record the latest one of k.
func (l *live) set(k key, record *kcwpb.JournalRecord) {
	e, found := l.entries[k]
	if !found {
		l.lastOrder++
		e.order = l.lastOrder
	}
	e.record = record
	l.entries[k] = e
}

// list returns the records in the order of their keys' first records.
func (l *live) list() []*kcwpb.JournalRecord {
	entries := make([]entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.order < b.order {
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
