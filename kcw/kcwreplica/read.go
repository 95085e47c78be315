package kcwreplica

import "time"

// pendingRead is a read that waits until a quorum has answered its round. Its
// round is zero if no entry of the term was committed when the read was requested.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Confirm starts a round that proves that this replica is still the leader. Once a
// quorum has answered it, Ready returns a Read with this id. All pending reads are
// dropped when the replica steps down. The error's Kind is NotLeader.
func (r *Replica) Confirm(id uint64, now time.Time) error {
	r.checkQuorum(now)
	if r.role != leader {
		return fail("confirm", NotLeader, "another replica leads, or none")
	}
	read := pendingRead{id: id}
	if r.hasCommitted() {
		read.index = r.log.commit
		read.round = r.leading.round + 1
	}
	r.leading.reads = append(r.leading.reads, read)
	if read.round != 0 {
		r.startRound(now)
	}
	return nil
}

// hasCommitted reports whether an entry of the leader's term is committed. Then
// the commit index also covers all that earlier leaders committed.
func (r *Replica) hasCommitted() bool {
	return r.log.commit >= r.leading.noopIndex
}

// startReads starts a round for the reads that were requested before the first
// commit of the term.
func (r *Replica) startReads(now time.Time) {
	if !r.hasCommitted() {
		return
	}
	started := false
	for i := range r.leading.reads {
		read := &r.leading.reads[i]
		if read.round == 0 {
			read.index = r.log.commit
			read.round = r.leading.round + 1
			started = true
		}
	}
	if started {
		r.startRound(now)
	}
}

func (r *Replica) releaseReads(confirmed uint64) {
	reads := r.leading.reads
	for len(reads) > 0 && reads[0].round != 0 && reads[0].round <= confirmed {
		r.out.Reads = append(r.out.Reads, Read{ID: reads[0].id, Index: reads[0].index})
		reads = reads[1:]
	}
	r.leading.reads = reads
}
