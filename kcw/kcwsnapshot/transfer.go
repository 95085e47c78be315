package kcwsnapshot

import (
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Chunk returns the part of the snapshot at index that begins at offset, of at
// most size bytes. The error's Kind is Missing if the snapshot is no longer
// kept.
func (s *Store) Chunk(index uint64, offset int64, size int) (*kcwpb.SnapshotChunk, error) {
	meta := s.meta(index)
	path := filepath.Join(s.path, fileName(index))
	if meta == nil {
		return nil, failText("read", Missing, path, offset, "not kept")
	}
	if offset < 0 || offset > meta.Offset || size <= 0 {
		return nil, failText("read", Invalid, path, offset, "outside of the snapshot")
	}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fail("read", Missing, path, offset, err)
	}
	if err != nil {
		return nil, fail("read", Storage, path, offset, err)
	}
	defer file.Close()
	data := make([]byte, min(int64(size), meta.Offset-offset))
	if _, err := file.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, fail("read", Storage, path, offset, err)
	}
	return &kcwpb.SnapshotChunk{
		Index: index, Term: meta.Term, Membership: meta.Membership,
		Offset: offset, Data: data,
		Last: offset+int64(len(data)) == meta.Offset, Checksum: meta.Checksum,
	}, nil
}

// Receive takes one chunk of a snapshot that another replica sends. It returns
// the offset that it needs next, and whether the snapshot is whole and on the
// disk. A chunk at any other offset than the one needed is passed over; a
// chunk of another snapshot begins anew. A snapshot whose checksum is wrong in
// the end is dropped and begins anew.
func (s *Store) Receive(chunk *kcwpb.SnapshotChunk) (next int64, done bool, err error) {
	if s.incoming == nil || !sameSnapshot(s.incoming, chunk) {
		if err := s.begin(chunk); err != nil {
			return 0, false, err
		}
	}
	if chunk.Offset != s.incoming.Offset {
		return s.incoming.Offset, false, nil
	}
	if _, err := s.file.WriteAt(chunk.Data, chunk.Offset); err != nil {
		path := s.file.Name()
		s.dropIncoming()
		return 0, false, failWrite("receive", path, chunk.Offset, err)
	}
	s.incoming.Offset += int64(len(chunk.Data))
	if !chunk.Last {
		return s.incoming.Offset, false, nil
	}
	return s.complete()
}

func (s *Store) complete() (int64, bool, error) {
	meta, file := s.incoming, s.file
	sum := crc32.New(castagnoli)
	_, err := io.Copy(sum, io.NewSectionReader(file, 0, meta.Offset))
	if err != nil || sum.Sum32() != meta.Checksum {
		s.dropIncoming()
		return 0, false, nil
	}
	s.incoming, s.file = nil, nil
	if err := s.finish(file, meta); err != nil {
		return 0, false, err
	}
	return meta.Offset, true, nil
}

func (s *Store) begin(chunk *kcwpb.SnapshotChunk) error {
	s.dropIncoming()
	path := filepath.Join(s.path, partial)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return failWrite("receive", path, 0, err)
	}
	s.file = file
	s.incoming = &kcwpb.SnapshotChunk{
		Index: chunk.Index, Term: chunk.Term,
		Membership: chunk.Membership, Checksum: chunk.Checksum,
	}
	return nil
}

func (s *Store) dropIncoming() {
	if s.file == nil {
		return
	}
	_ = s.file.Close()
	_ = os.Remove(s.file.Name())
	s.incoming, s.file = nil, nil
}

func sameSnapshot(a, b *kcwpb.SnapshotChunk) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Checksum == b.Checksum &&
		proto.Equal(a.Membership, b.Membership)
}
