package kcwbook

import (
	"bytes"
	"hash/maphash"
	"slices"
)

// chunkClaims is the number of claims in one chunk of a retention queue.
const chunkClaims = 4096

// chunk holds the records of claims that were closed one after another. Data
// and starts are only appended to, so that an image shares them.
type chunk struct {
	data   []byte
	starts []uint32
	// replaced marks the claims whose request got a new claim since, nil if
	// there are none. One of an older generation is shared with an image.
	replaced   *[chunkClaims / 64]uint64
	generation uint64
}

// record returns the record at place, and more bytes.
func (c *chunk) record(place int) []byte {
	return c.data[c.starts[place]:]
}

func (c *chunk) isReplaced(place int) bool {
	return c.replaced != nil && c.replaced[place/64]&(1<<(place%64)) != 0
}

func (c *chunk) replace(place int, generation uint64) {
	if c.replaced == nil {
		c.replaced = new([chunkClaims / 64]uint64)
	} else if c.generation != generation {
		shared := *c.replaced
		c.replaced = &shared
	}
	c.generation = generation
	c.replaced[place/64] |= 1 << (place % 64)
}

// owner names a claim among all.
type owner struct {
	slot    int
	request string
}

// retained is a queue of closed claims, oldest first, with an index. The
// records have rising numbers from one on.
type retained struct {
	chunks []chunk
	// base is the number of the first record in the first chunk, and head the
	// place of the oldest claim there.
	base uint64
	head int
	// index holds the low bits of a record's number by a hash of its owner.
	// Others holds the numbers of those whose hash was taken. The seed differs
	// among replicas and decides nothing, as owners are compared in full.
	index  map[uint32]uint32
	others map[owner]uint64
	seed   maphash.Seed
	// last holds the number of the newest record of each account by its slot,
	// from which links lead back to the others.
	last []uint64
}

func newRetained() retained {
	return retained{base: 1, index: make(map[uint32]uint32), others: make(map[owner]uint64), seed: maphash.MakeSeed()}
}

// at returns the chunk and place of the record with the number.
func (r *retained) at(number uint64) (*chunk, int) {
	i := number - r.base
	return &r.chunks[i/chunkClaims], int(i % chunkClaims)
}

func (r *retained) record(number uint64) []byte {
	c, place := r.at(number)
	return c.record(place)
}

// hash returns the key of an owner in the index.
func (r *retained) hash(slot int, request string) uint32 {
	const odd = 0x9e3779b97f4a7c15
	return uint32((maphash.String(r.seed, request) ^ uint64(slot)*odd) * odd >> 32)
}

// find returns the number of the claim of an owner, zero if there is none.
func (r *retained) find(slot int, request string) uint64 {
	if low, found := r.index[r.hash(slot, request)]; found {
		number := r.base + uint64(low-uint32(r.base))
		var text [uuidText]byte
		its, name, _ := identity(r.record(number), &text)
		if its == uint64(slot) && string(name) == request {
			return number
		}
	}
	if len(r.others) == 0 {
		return 0
	}
	return r.others[owner{slot, request}]
}

// push adds c, a closed claim of the account at slot, as the newest claim. The
// owner must have none in the index.
func (r *retained) push(s *state, c *claim, slot int) {
	end := len(r.chunks) - 1
	if end < 0 || len(r.chunks[end].starts) == chunkClaims {
		r.chunks = append(r.chunks, chunk{starts: make([]uint32, 0, chunkClaims)})
		end++
	}
	if slot >= len(r.last) {
		r.last = append(r.last, make([]uint64, slot+1-len(r.last))...)
	}
	newest := &r.chunks[end]
	number := r.base + uint64(end*chunkClaims+len(newest.starts))
	var link uint64
	if r.last[slot] != 0 {
		link = number - r.last[slot]
	}
	r.last[slot] = number
	newest.starts = append(newest.starts, uint32(len(newest.data)))
	newest.data = s.appendRecord(newest.data, c, slot, link)
	if len(newest.starts) == chunkClaims {
		newest.data = bytes.Clone(newest.data)
	}
	key := r.hash(slot, c.request)
	if _, taken := r.index[key]; taken {
		r.others[owner{slot, c.request}] = number
		return
	}
	r.index[key] = uint32(number)
}

// drop takes the claim of an owner with its number out of the index.
func (r *retained) drop(number uint64, slot int, request string) {
	key := r.hash(slot, request)
	if low, found := r.index[key]; found && low == uint32(number) {
		delete(r.index, key)
		return
	}
	delete(r.others, owner{slot, request})
}

// replace ends the claim of an owner, if there is one, before its retention.
func (r *retained) replace(slot int, request string, generation uint64) {
	number := r.find(slot, request)
	if number == 0 {
		return
	}
	r.drop(number, slot, request)
	c, place := r.at(number)
	c.replace(place, generation)
}

// oldest returns the number of the oldest claim, zero if there is none.
func (r *retained) oldest() uint64 {
	if len(r.chunks) == 0 || r.head >= len(r.chunks[0].starts) {
		return 0
	}
	return r.base + uint64(r.head)
}

// pop removes the oldest claim, which must be out of the index. There must be
// one.
func (r *retained) pop() {
	r.head++
	if r.head == chunkClaims {
		r.chunks[0] = chunk{}
		r.chunks = r.chunks[1:]
		r.base += chunkClaims
		r.head = 0
	}
}

// records returns the records of the account at slot that are not replaced.
func (r *retained) records(slot int) [][]byte {
	var list [][]byte
	if slot >= len(r.last) {
		return nil
	}
	for number := r.last[slot]; number >= r.base+uint64(r.head); {
		c, place := r.at(number)
		record := c.record(place)
		if !c.isReplaced(place) {
			list = append(list, record)
		}
		var text [uuidText]byte
		_, _, rest := identity(record, &text)
		link := rest.uvarint()
		if link == 0 {
			break
		}
		number -= link
	}
	return list
}

// frozen is a retention queue in an image.
type frozen struct {
	chunks []chunk
	head   int
}

// image returns the claims of now.
func (r *retained) image() frozen {
	return frozen{chunks: slices.Clone(r.chunks), head: r.head}
}
