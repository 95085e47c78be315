package kcwjournal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// headerBytes is the size of a frame's header. It holds the payload's length, the
// CRC-32C of the length field and the CRC-32C of the payload, four bytes each,
// little endian.
const headerBytes = 12

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns payload with a frame header in front.
func encodeFrame(payload []byte) []byte {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(frame, crcTable))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(payload, crcTable))
	return append(frame, payload...)
}

// scanFrames returns the records in data and the total size of their frames. It
// accepts a torn frame at the end of data, as a crash leaves it: one that is cut
// short, one whose header is invalid and followed by zeros only, or one whose
// payload has a wrong checksum and is the last. Any other damage is an error.
func scanFrames(data []byte) ([]*kcwpb.JournalRecord, int, error) {
	var records []*kcwpb.JournalRecord
	at := 0
	for at < len(data) {
		rest := data[at:]
		if len(rest) < headerBytes {
			return records, at, nil
		}
		length := int(binary.LittleEndian.Uint32(rest))
		isHeaderValid := crc32.Checksum(rest[:4], crcTable) == binary.LittleEndian.Uint32(rest[4:])
		if !isHeaderValid && isZero(rest[headerBytes:]) {
			return records, at, nil
		}
		if !isHeaderValid || length == 0 || length > maxRecordBytes {
			return nil, 0, eris.Errorf("the record at byte %d has a damaged header", at)
		}
		if len(rest) < headerBytes+length {
			return records, at, nil
		}
		payload := rest[headerBytes : headerBytes+length]
		if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(rest[8:]) {
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

// isZero reports whether data holds only zeros. A crash leaves zeros at the end of
// a file whose new size reached the disk before its content.
func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
