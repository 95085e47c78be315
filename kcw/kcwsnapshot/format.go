package kcwsnapshot

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// A snapshot file consists of the content and a trailer:
//
//	meta      a SnapshotChunk without data; its offset is the content's length
//	          in bytes, its checksum the content's CRC-32C
//	length    uint32, length of meta in bytes
//	checksum  uint32, CRC-32C of meta
//	magic     eight bytes
//
// Integers are little-endian.
const (
	magic = "KCWSNAP1"
	// tailBytes is the size of the trailer after meta, in bytes.
	tailBytes = 8 + len(magic)
	// maxMeta is the maximum length of meta, in bytes.
	maxMeta = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendTrailer(buf []byte, meta *kcwpb.SnapshotChunk) ([]byte, error) {
	data, err := proto.Marshal(meta)
	if err != nil {
		return nil, err
	}
	buf = append(buf, data...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(data)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(data, castagnoli))
	return append(buf, magic...), nil
}

// readTrailer returns the meta of the snapshot in r, whose file size is size bytes.
func readTrailer(r io.ReaderAt, size int64) (*kcwpb.SnapshotChunk, error) {
	if size < int64(tailBytes) {
		return nil, errors.New("too short for a trailer")
	}
	tail := make([]byte, tailBytes)
	if _, err := r.ReadAt(tail, size-int64(tailBytes)); err != nil {
		return nil, err
	}
	if string(tail[8:]) != magic {
		return nil, errors.New("no trailer")
	}
	length := int64(binary.LittleEndian.Uint32(tail))
	start := size - int64(tailBytes) - length
	if length > maxMeta || start < 0 {
		return nil, errors.New("trailer out of bounds")
	}
	data := make([]byte, length)
	if _, err := r.ReadAt(data, start); err != nil {
		return nil, err
	}
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(tail[4:]) {
		return nil, errors.New("wrong checksum of the trailer")
	}
	meta := &kcwpb.SnapshotChunk{}
	if err := proto.Unmarshal(data, meta); err != nil {
		return nil, err
	}
	if meta.Offset != start {
		return nil, errors.New("wrong length")
	}
	return meta, nil
}

// check reads the whole file at path, which must hold the snapshot at index, and
// returns its meta. The error's Kind is
// Missing, Storage or Damaged.
func check(path string, index uint64) (*kcwpb.SnapshotChunk, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fail("check", Missing, path, 0, err)
	}
	if err != nil {
		return nil, fail("check", Storage, path, 0, err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, fail("check", Storage, path, 0, err)
	}
	meta, err := readTrailer(file, info.Size())
	if err != nil {
		return nil, fail("check", Damaged, path, info.Size(), err)
	}
	if meta.Index != index {
		return nil, failText("check", Damaged, path, 0, "snapshot of another index")
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.LimitReader(file, meta.Offset)); err != nil {
		return nil, fail("check", Storage, path, 0, err)
	}
	if sum.Sum32() != meta.Checksum {
		return nil, failText("check", Damaged, path, 0, "wrong checksum of the content")
	}
	return meta, nil
}
