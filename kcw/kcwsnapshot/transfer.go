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

// Chunk returns the chunk of the snapshot at index that starts at offset and holds at
// most size bytes. The error's Kind is Missing if the snapshot is no longer stored.
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

// Receive stores one chunk of a snapshot that another replica sends. It returns the
// offset of the next chunk that it needs, and whether the snapshot is complete and on
// disk. A chunk at another offset is ignored. A chunk of another snapshot discards what
// was received before. If the checksum of the complete snapshot is wrong, the snapshot
// is discarded and must be sent again from the start. The error's Kind is Full or Storage.
func (s *Store) Receive(chunk *kcwpb.SnapshotChunk) (next int64, done bool, err error) {
	if s.incoming == nil || !sameSnapshot(s.incoming, chunk) {
		if err := s.startReceiving(chunk); err != nil {
			return 0, false, err
		}
	}
	if chunk.Offset != s.incoming.Offset {
		return s.incoming.Offset, false, nil
	}
	if _, err := s.writeAt(s.file, chunk.Data, chunk.Offset); err != nil {
		path := s.file.Name()
		s.discardIncoming()
		return 0, false, failWrite("receive", path, chunk.Offset, err)
	}
	s.incoming.Offset += int64(len(chunk.Data))
	if !chunk.Last {
		return s.incoming.Offset, false, nil
	}
	return s.finishReceiving()
}

func (s *Store) finishReceiving() (int64, bool, error) {
	meta, file := s.incoming, s.file
	sum := crc32.New(castagnoli)
	_, err := io.Copy(sum, io.NewSectionReader(file, 0, meta.Offset))
	if err != nil || sum.Sum32() != meta.Checksum {
		s.discardIncoming()
		return 0, false, nil
	}
	s.incoming, s.file = nil, nil
	if err := s.finish(file, meta); err != nil {
		return 0, false, err
	}
	return meta.Offset, true, nil
}

func (s *Store) startReceiving(chunk *kcwpb.SnapshotChunk) error {
	s.discardIncoming()
	path := filepath.Join(s.path, partialName)
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

func (s *Store) discardIncoming() {
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
