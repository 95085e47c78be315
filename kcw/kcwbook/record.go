package kcwbook

import (
	"encoding/binary"
	"encoding/hex"

	"kingcupwick.example/kcw/kcwpb"
)

// A record is a closed claim encoded in about 120 bytes without pointers:
//
//	flags       1 byte
//	closedAt    8 bytes
//	customer    uvarint, the slot of the account
//	request     16 bytes of a UUID, or uvarint length and bytes
//	link        uvarint, distance in records to the customer's previous one, or zero
//	digests     32 bytes each, if their flags are set
//	router      name
//	upstream    name
//	tokens, grantTokens, openedAt to closedAt, leaseUntil to openedAt   varint
//	incarnation, attempt                                                uvarint
//
// A name is the uvarint of its number in a table, or zero, length and bytes. The
// encoding is lossless.

// Flags of a record.
const (
	flagBilled = 1 << iota
	flagRepeatable
	flagFromGrant
	flagDigest
	flagAnswerDigest
	flagUUID
)

// Sizes in a record, in bytes.
const (
	// recordHeaderBytes is the size of the flags and the closing time.
	recordHeaderBytes = 1 + 8
	uuidBytes         = 16
	uuidTextBytes     = 36
)

// nameTable assigns numbers from one on to the first maxInternedNames texts that it
// receives. texts is append-only, so that images can share it.
type nameTable struct {
	numbers map[string]uint64
	texts   []string
}

// number returns the number of text, which it adds if it is new. It returns zero if
// the table is full.
func (n *nameTable) number(text string) uint64 {
	if number, found := n.numbers[text]; found {
		return number
	}
	if len(n.texts) >= maxInternedNames {
		return 0
	}
	n.texts = append(n.texts, text)
	n.numbers[text] = uint64(len(n.texts))
	return uint64(len(n.texts))
}

// intern returns the table's copy of text, or text if the table is full, so that
// claims share the bytes.
func (n *nameTable) intern(text string) string {
	if number := n.number(text); number != 0 {
		return n.texts[number-1]
	}
	return text
}

// appendName appends text to a record as a name.
func (n *nameTable) appendName(record []byte, text string) []byte {
	number := n.number(text)
	record = binary.AppendUvarint(record, number)
	if number == 0 {
		record = appendText(record, text)
	}
	return record
}

func appendText(record []byte, text string) []byte {
	return append(binary.AppendUvarint(record, uint64(len(text))), text...)
}

// packUUID returns the bytes of a UUID in its canonical text, and false for any
// other text.
func packUUID(text string) (packed [uuidBytes]byte, ok bool) {
	if len(text) != uuidTextBytes {
		return packed, false
	}
	var digits [2 * uuidBytes]byte
	n := 0
	for i := range len(text) {
		c := text[i]
		isHyphen := i == 8 || i == 13 || i == 18 || i == 23
		isDigit := (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')
		if isHyphen != (c == '-') || isHyphen == isDigit {
			return packed, false
		}
		if isDigit {
			digits[n] = c
			n++
		}
	}
	_, err := hex.Decode(packed[:], digits[:])
	return packed, err == nil
}

// unpackUUID writes the canonical text of packed to text.
func unpackUUID(text *[uuidTextBytes]byte, packed []byte) {
	hex.Encode(text[0:8], packed[0:4])
	hex.Encode(text[9:13], packed[4:6])
	hex.Encode(text[14:18], packed[6:8])
	hex.Encode(text[19:23], packed[8:10])
	hex.Encode(text[24:36], packed[10:16])
	text[8], text[13], text[18], text[23] = '-', '-', '-', '-'
}

// appendRecord appends the record of c, a closed claim of the account at slot, to
// data.
func (s *state) appendRecord(data []byte, c *claim, slot int, link uint64) []byte {
	packed, isUUID := packUUID(c.request)
	data = append(data, c.flags(isUUID))
	data = binary.BigEndian.AppendUint64(data, uint64(c.closedAt))
	data = binary.AppendUvarint(data, uint64(slot))
	if isUUID {
		data = append(data, packed[:]...)
	} else {
		data = appendText(data, c.request)
	}
	data = binary.AppendUvarint(data, link)
	if c.hasDigest {
		data = append(data, c.digest[:]...)
	}
	if c.hasAnswerDigest {
		data = append(data, c.answerDigest[:]...)
	}
	data = s.routerNames.appendName(data, c.router)
	data = s.upstreams.appendName(data, c.upstream)
	for _, n := range [...]int64{c.tokens, c.grantTokens, c.closedAt - c.openedAt, c.leaseUntil - c.openedAt} {
		data = binary.AppendVarint(data, n)
	}
	data = binary.AppendUvarint(data, c.incarnation)
	return binary.AppendUvarint(data, c.attempt)
}

// flags returns the first byte of the record of c.
func (c *claim) flags(isUUID bool) byte {
	var flags byte
	for _, f := range [...]struct {
		set  bool
		flag byte
	}{
		{c.state == kcwpb.ClaimState_CLAIM_STATE_BILLED, flagBilled},
		{c.repeatable, flagRepeatable},
		{c.fromGrant, flagFromGrant},
		{c.hasDigest, flagDigest},
		{c.hasAnswerDigest, flagAnswerDigest},
		{isUUID, flagUUID},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags
}

// cursor reads the fields of a record one after another.
type cursor struct {
	flags byte
	rest  []byte
}

// recordClosedAt returns the closing time of a record.
func recordClosedAt(record []byte) int64 {
	return int64(binary.BigEndian.Uint64(record[1:recordHeaderBytes]))
}

func (r *cursor) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	r.rest = r.rest[size:]
	return n
}

func (r *cursor) varint() int64 {
	n, size := binary.Varint(r.rest)
	r.rest = r.rest[size:]
	return n
}

func (r *cursor) bytes(size uint64) []byte {
	data := r.rest[:size]
	r.rest = r.rest[size:]
	return data
}

// name reads a name, which may refer to texts by its number.
func (r *cursor) name(texts []string) string {
	if number := r.uvarint(); number != 0 {
		return texts[number-1]
	}
	return string(r.bytes(r.uvarint()))
}

// decodeIdentity reads the slot and the request of a record, and returns a cursor
// at the link. It uses text as the buffer of a request that is a UUID.
func decodeIdentity(record []byte, text *[uuidTextBytes]byte) (slot uint64, request []byte, r cursor) {
	r = cursor{flags: record[0], rest: record[recordHeaderBytes:]}
	slot = r.uvarint()
	if r.flags&flagUUID == 0 {
		return slot, r.bytes(r.uvarint()), r
	}
	unpackUUID(text, r.bytes(uuidBytes))
	return slot, text[:], r
}

// decoder converts records to claims.
type decoder struct {
	// accounts are in the order of their slots.
	accounts  []*account
	routers   []string
	upstreams []string
}

func (s *state) decoder() decoder {
	return decoder{accounts: s.order, routers: s.routerNames.texts, upstreams: s.upstreams.texts}
}

// claim returns the claim of a record.
func (d decoder) claim(record []byte) *claim {
	var text [uuidTextBytes]byte
	slot, request, r := decodeIdentity(record, &text)
	c := &claim{
		customer:   d.accounts[slot].customer,
		request:    string(request),
		state:      kcwpb.ClaimState_CLAIM_STATE_NOT_RUN,
		closedAt:   recordClosedAt(record),
		repeatable: r.flags&flagRepeatable != 0,
		fromGrant:  r.flags&flagFromGrant != 0,
	}
	if r.flags&flagBilled != 0 {
		c.state = kcwpb.ClaimState_CLAIM_STATE_BILLED
	}
	r.uvarint()
	if r.flags&flagDigest != 0 {
		c.setDigest(r.bytes(digestSize))
	}
	if r.flags&flagAnswerDigest != 0 {
		c.setAnswerDigest(r.bytes(digestSize))
	}
	c.router = r.name(d.routers)
	c.upstream = r.name(d.upstreams)
	c.tokens = r.varint()
	c.grantTokens = r.varint()
	c.openedAt = c.closedAt - r.varint()
	c.leaseUntil = c.openedAt + r.varint()
	c.incarnation = r.uvarint()
	c.attempt = r.uvarint()
	return c
}
