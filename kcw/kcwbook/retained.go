package kcwbook

import (
	"bytes"
	"hash/maphash"
	"slices"
)

// claimsPerChunk is the capacity of one chunk of a retention queue.
const claimsPerChunk = 4096

// chunk holds the records of consecutively closed claims. data and starts are
// append-only, so that images can share them.
type chunk struct {
	data   []byte
	starts []uint32
	// replaced is a bitmap of the claims whose request has a newer claim, nil if
	// there are none. A bitmap of an older generation is shared with an image and
	// copied before it is modified.
	replaced   *[claimsPerChunk / 64]uint64
	generation uint64
}

// record returns the bytes from the start of the record at position; they include
// the records after it.
func (c *chunk) record(position int) []byte {
	return c.data[c.starts[position]:]
}

func (c *chunk) isReplaced(position int) bool {
	return c.replaced != nil && c.replaced[position/64]&(1<<(position%64)) != 0
}

func (c *chunk) markReplaced(position int, generation uint64) {
	if c.replaced == nil {
		c.replaced = new([claimsPerChunk / 64]uint64)
	} else if c.generation != generation {
		shared := *c.replaced
		c.replaced = &shared
	}
	c.generation = generation
	c.replaced[position/64] |= 1 << (position % 64)
}

// claimKey identifies a claim.
type claimKey struct {
	slot    int
	request string
}

// retentionQueue is a queue of closed claims, oldest first, with an index. Records
// are numbered consecutively from one.
type retentionQueue struct {
	chunks []chunk
	// base is the number of the first record of the first chunk, and head the
	// position of the oldest claim in it.
	base uint64
	head int
	// index maps the hash of a claim's key to the low 32 bits of its record's
	// number. collisions holds the numbers of claims whose hash was already in the
	// index. The seed differs among replicas but does not affect results, because
	// keys are compared in full.
	index      map[uint32]uint32
	collisions map[claimKey]uint64
	seed       maphash.Seed
	// last holds the number of each account's newest record by the account's slot.
	// The links in the records lead from there to the older ones.
	last []uint64
}

func newRetentionQueue() retentionQueue {
	return retentionQueue{base: 1, index: make(map[uint32]uint32), collisions: make(map[claimKey]uint64), seed: maphash.MakeSeed()}
}

// locate returns the chunk and the position of the record with the number.
func (r *retentionQueue) locate(number uint64) (*chunk, int) {
	i := number - r.base
	return &r.chunks[i/claimsPerChunk], int(i % claimsPerChunk)
}

func (r *retentionQueue) record(number uint64) []byte {
	c, position := r.locate(number)
	return c.record(position)
}

// hash returns the hash of a claim's key in the index.
func (r *retentionQueue) hash(slot int, request string) uint32 {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return uint32((maphash.String(r.seed, request) ^ uint64(slot)*goldenRatio) * goldenRatio >> 32)
}

// find returns the number of the claim with the key, zero if there is none.
func (r *retentionQueue) find(slot int, request string) uint64 {
	if low, found := r.index[r.hash(slot, request)]; found {
		number := r.base + uint64(low-uint32(r.base))
		var text [uuidTextBytes]byte
		foundSlot, foundRequest, _ := decodeIdentity(r.record(number), &text)
		if foundSlot == uint64(slot) && string(foundRequest) == request {
			return number
		}
	}
	if len(r.collisions) == 0 {
		return 0
	}
	return r.collisions[claimKey{slot, request}]
}

// push adds c, a closed claim of the account at slot, as the newest claim. Its key
// must not be in the index.
func (r *retentionQueue) push(s *state, c *claim, slot int) {
	end := len(r.chunks) - 1
	if end < 0 || len(r.chunks[end].starts) == claimsPerChunk {
		r.chunks = append(r.chunks, chunk{starts: make([]uint32, 0, claimsPerChunk)})
		end++
	}
	if slot >= len(r.last) {
		r.last = append(r.last, make([]uint64, slot+1-len(r.last))...)
	}
	newest := &r.chunks[end]
	number := r.base + uint64(end*claimsPerChunk+len(newest.starts))
	var link uint64
	if r.last[slot] != 0 {
		link = number - r.last[slot]
	}
	r.last[slot] = number
	newest.starts = append(newest.starts, uint32(len(newest.data)))
	newest.data = s.appendRecord(newest.data, c, slot, link)
	if len(newest.starts) == claimsPerChunk {
		newest.data = bytes.Clone(newest.data)
	}
	key := r.hash(slot, c.request)
	if _, found := r.index[key]; found {
		r.collisions[claimKey{slot, c.request}] = number
		return
	}
	r.index[key] = uint32(number)
}

// removeFromIndex removes the claim with the number and the key from the index.
func (r *retentionQueue) removeFromIndex(number uint64, slot int, request string) {
	key := r.hash(slot, request)
	if low, found := r.index[key]; found && low == uint32(number) {
		delete(r.index, key)
		return
	}
	delete(r.collisions, claimKey{slot, request})
}

// markReplaced removes the claim with the key, if there is one, from the index and
// marks its record as replaced.
func (r *retentionQueue) markReplaced(slot int, request string, generation uint64) {
	number := r.find(slot, request)
	if number == 0 {
		return
	}
	r.removeFromIndex(number, slot, request)
	c, position := r.locate(number)
	c.markReplaced(position, generation)
}

// oldest returns the number of the oldest claim, zero if there is none.
func (r *retentionQueue) oldest() uint64 {
	if len(r.chunks) == 0 || r.head >= len(r.chunks[0].starts) {
		return 0
	}
	return r.base + uint64(r.head)
}

// pop removes the oldest claim, which must exist and must not be in the index.
func (r *retentionQueue) pop() {
	r.head++
	if r.head == claimsPerChunk {
		r.chunks[0] = chunk{}
		r.chunks = r.chunks[1:]
		r.base += claimsPerChunk
		r.head = 0
	}
}

// records returns the records of the account at slot that are not replaced.
func (r *retentionQueue) records(slot int) [][]byte {
	var list [][]byte
	if slot >= len(r.last) {
		return nil
	}
	for number := r.last[slot]; number >= r.base+uint64(r.head); {
		c, position := r.locate(number)
		record := c.record(position)
		if !c.isReplaced(position) {
			list = append(list, record)
		}
		var text [uuidTextBytes]byte
		_, _, rest := decodeIdentity(record, &text)
		link := rest.uvarint()
		if link == 0 {
			break
		}
		number -= link
	}
	return list
}

// queueImage is the image of a retention queue.
type queueImage struct {
	chunks []chunk
	head   int
}

// image returns an image of the current claims.
func (r *retentionQueue) image() queueImage {
	return queueImage{chunks: slices.Clone(r.chunks), head: r.head}
}
