package kcwreplica

import (
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// entryOverhead is the size of an entry without its data, in bytes.
const entryOverhead = 24

// entryLog holds the part of the replicated log after index base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*kcwpb.Entry
	// stable is the last index that is on this replica's disk.
	stable uint64
	commit uint64
	// delivered is the last committed index that Ready has returned for
	// application.
	delivered uint64
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

// termAt returns the term of the entry at index, and false if the log has no such
// entry.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	termAtIndex, ok := l.termAt(index)
	return ok && termAtIndex == term
}

// between returns the entries after from up to and including to.
func (l *entryLog) between(from, to uint64) []*kcwpb.Entry {
	if to <= from {
		return nil
	}
	return l.entries[from-l.base : to-l.base : to-l.base]
}

// entriesAfter returns entries after index from and their total size in bytes.
// The size is at most limit, unless the first entry alone exceeds it.
func (l *entryLog) entriesAfter(from uint64, limit int) ([]*kcwpb.Entry, int) {
	to, size := from, 0
	for to < l.last() {
		next := entrySize(l.entries[to-l.base])
		if to > from && size+next > limit {
			break
		}
		size += next
		to++
	}
	return l.between(from, to), size
}

func entrySize(e *kcwpb.Entry) int {
	return len(e.Data) + entryOverhead
}

func (l *entryLog) append(e *kcwpb.Entry) {
	l.entries = append(l.entries, e)
}

// truncateAfter removes the entries after index. The backing array is not reused,
// since messages and callers share it.
func (l *entryLog) truncateAfter(index uint64) {
	if index < l.commit {
		panic("kcwreplica: a committed entry conflicts with the leader's log")
	}
	l.entries = l.entries[: index-l.base : index-l.base]
	l.stable = min(l.stable, index)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.termAt(index)
	if !ok {
		return
	}
	l.entries = append([]*kcwpb.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset empties the log, which then continues after a snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, commit: index, delivered: index}
}

// lastWithTermAtMost returns the largest index up to index whose entry has at
// most the given term, and that entry's term. It lets the leader skip a whole
// term of conflicting entries at a time (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014, section 5.3).
func (l *entryLog) lastWithTermAtMost(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		termAtIndex, _ := l.termAt(index)
		if termAtIndex <= term {
			return index, termAtIndex
		}
		index--
	}
	termAtBase, _ := l.termAt(l.base)
	return l.base, termAtBase
}

// config is a membership and the index from which it is in force.
type config struct {
	index      uint64
	membership *kcwpb.Membership
}

func parseMembership(e *kcwpb.Entry) *kcwpb.Membership {
	membership := &kcwpb.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		panic("kcwreplica: malformed membership entry: " + err.Error())
	}
	return membership
}
