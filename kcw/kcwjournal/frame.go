package kcwjournal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// headerBytes is the size of a frame's header: the payload's length, the CRC-32C
// of that length and the CRC-32C of the payload, four bytes each, little endian.
const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode returns payload as a frame.
func encode(payload []byte) []byte {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(frame, castagnoli))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(payload, castagnoli))
	return append(frame, payload...)
}

// scan returns the records in data and the size of the frames that hold them.
// A torn frame may end data: one that is cut short, that has only zeros from
// its header on, or whose payload has a wrong checksum with nothing behind it.
// Other damage is an error.
func scan(data []byte) ([]*kcwpb.JournalRecord, int, error) {
	var records []*kcwpb.JournalRecord
	at := 0
	for at < len(data) {
		rest := data[at:]
		if len(rest) < headerBytes {
			return records, at, nil
		}
		length := int(binary.LittleEndian.Uint32(rest))
		whole := crc32.Checksum(rest[:4], castagnoli) == binary.LittleEndian.Uint32(rest[4:])
		if !whole && isZero(rest[headerBytes:]) {
			return records, at, nil
		}
		if !whole || length == 0 || length > maxRecordBytes {
			return nil, 0, eris.Errorf("the record at byte %d has a damaged header", at)
		}
		if len(rest) < headerBytes+length {
			return records, at, nil
		}
		payload := rest[headerBytes : headerBytes+length]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
			if len(rest) == headerBytes+length {
				return records, at, nil
			}
			return nil, 0, eris.Errorf("the record at byte %d has a wrong checksum", at)
		}
		record := new(kcwpb.JournalRecord)
		if err := proto.Unmarshal(payload, record); err != nil {
			return nil, 0, eris.Wrapf(err, "the record at byte %d", at)
		}
		records = append(records, record)
		at += headerBytes + length
	}
	return records, at, nil
}

// isZero says whether data holds only zeros, as a file does whose size was
// stored before its content.
func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
