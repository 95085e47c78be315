package kcwwal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// A segment is a sequence of records with this layout:
//
//	header checksum   uint32  CRC-32C of the next three fields
//	payload checksum  uint32  CRC-32C of the payload
//	length            uint32  length of the payload, in bytes
//	batch             uint64  offset of the first record of the write that
//	                          includes this one, in bytes
//	payload                   one byte for the kind, then the body
//
// All integers are little-endian. Everything before a record's batch was synced before
// the record was written. A write is torn if the file ends before the write does, or if
// the file's last sectors still hold zeros; any other invalid record is damage.
const (
	headerBytes = 20
	sectorBytes = 512
	// maxPayload is the maximum length of a record's payload, in bytes.
	maxPayload = 64 << 20

	magic = "KCWWAL02"
)

type recordKind byte

const (
	kindHeader recordKind = iota + 1
	kindState
	kindEntry
	kindReset
	kindClose
)

// header is the first record of a segment.
type header struct {
	owner    uint64
	sequence uint64
}

// pair is the body of a state record (term and vote) or of a reset record (index and
// term).
type pair struct {
	first, second uint64
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record of the given kind, whose body fill appends.
func appendRecord(buf []byte, batch int64, kind recordKind, fill func([]byte) []byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = append(buf, byte(kind))
	buf = fill(buf)
	record := buf[start:]
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(record[headerBytes:], castagnoli))
	binary.LittleEndian.PutUint32(record[8:], uint32(len(record)-headerBytes))
	binary.LittleEndian.PutUint64(record[12:], uint64(batch))
	binary.LittleEndian.PutUint32(record, crc32.Checksum(record[4:headerBytes], castagnoli))
	return buf
}

// headerSize is the size of the header record, in bytes.
var headerSize = int64(len(appendHeader(nil, header{})))

func appendHeader(buf []byte, h header) []byte {
	return appendRecord(buf, 0, kindHeader, func(b []byte) []byte {
		b = append(b, magic...)
		b = binary.LittleEndian.AppendUint64(b, h.owner)
		return binary.LittleEndian.AppendUint64(b, h.sequence)
	})
}

func appendPair(buf []byte, batch int64, kind recordKind, p pair) []byte {
	return appendRecord(buf, batch, kind, func(b []byte) []byte {
		b = binary.LittleEndian.AppendUint64(b, p.first)
		return binary.LittleEndian.AppendUint64(b, p.second)
	})
}

func appendEntry(buf []byte, batch int64, e *kcwpb.Entry) ([]byte, error) {
	var err error
	buf = appendRecord(buf, batch, kindEntry, func(b []byte) []byte {
		b, err = proto.MarshalOptions{}.MarshalAppend(b, e)
		return b
	})
	return buf, err
}

// appendClose appends a close record, which means that another segment follows.
func appendClose(buf []byte, batch int64) []byte {
	return appendRecord(buf, batch, kindClose, func(b []byte) []byte { return b })
}

// readLength returns the payload length of the record at offset. ok is false if there is
// no complete and valid record header at offset.
func readLength(data []byte, offset int) (length int, ok bool) {
	if len(data)-offset < headerBytes {
		return 0, false
	}
	h := data[offset : offset+headerBytes]
	if binary.LittleEndian.Uint32(h) != crc32.Checksum(h[4:], castagnoli) {
		return 0, false
	}
	length = int(binary.LittleEndian.Uint32(h[8:]))
	batch := binary.LittleEndian.Uint64(h[12:])
	return length, length > 0 && length <= maxPayload && batch <= uint64(offset)
}

// readRecord returns the payload of the record at offset in data, and the offset of the
// next record. ok is false if there is no complete and valid record at offset.
func readRecord(data []byte, offset int) (payload []byte, next int, ok bool) {
	length, ok := readLength(data, offset)
	if !ok || length > len(data)-offset-headerBytes {
		return nil, 0, false
	}
	payload = data[offset+headerBytes : offset+headerBytes+length]
	if binary.LittleEndian.Uint32(data[offset+4:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0, false
	}
	return payload, offset + headerBytes + length, true
}

// isTorn reports whether the invalid record at offset may be an incomplete write.
func isTorn(data []byte, offset int) bool {
	if len(data)-offset < headerBytes {
		return true
	}
	if length, ok := readLength(data, offset); ok && length > len(data)-offset-headerBytes {
		return true
	}
	sector := (len(data) - 1) / sectorBytes * sectorBytes
	for _, b := range data[max(offset, sector):] {
		if b != 0 {
			return false
		}
	}
	return !hasLaterBatch(data, offset)
}

// hasLaterBatch reports whether a valid record of a batch that starts after offset
// follows. In that case the data at offset had been synced.
func hasLaterBatch(data []byte, offset int) bool {
	for at := offset + 1; at+headerBytes < len(data); at++ {
		batch := binary.LittleEndian.Uint64(data[at+12:])
		if batch <= uint64(offset) || batch > uint64(at) {
			continue
		}
		if _, _, ok := readRecord(data, at); ok {
			return true
		}
	}
	return false
}

func parseHeader(payload []byte) (header, bool) {
	body := payload[1:]
	if recordKind(payload[0]) != kindHeader || len(body) != len(magic)+16 {
		return header{}, false
	}
	if string(body[:len(magic)]) != magic {
		return header{}, false
	}
	body = body[len(magic):]
	return header{
		owner:    binary.LittleEndian.Uint64(body),
		sequence: binary.LittleEndian.Uint64(body[8:]),
	}, true
}

func parsePair(body []byte) (pair, bool) {
	if len(body) != 16 {
		return pair{}, false
	}
	return pair{
		first:  binary.LittleEndian.Uint64(body),
		second: binary.LittleEndian.Uint64(body[8:]),
	}, true
}
