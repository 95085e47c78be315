// Package kcwprefix holds the hash of a chat request's beginning, by which
// requests that share a prompt's prefix find the engine that has it cached. It is
// the same in every process and on every machine, so that routers agree on the
// homes of a prefix without telling each other.
package kcwprefix

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Config holds what counts as the beginning of a request.
type Config struct {
	// Messages is the number of leading messages that are hashed.
	Messages int
	// Bytes bounds what is hashed of each message.
	Bytes int
}

// Hasher hashes the beginnings of chat requests. It is safe for concurrent use.
type Hasher struct {
	cfg Config
}

// New returns a hasher. It panics if a bound is not positive.
func New(cfg Config) *Hasher {
	if cfg.Messages < 1 || cfg.Bytes < 1 {
		panic("kcwprefix: Messages and Bytes must be positive")
	}
	return &Hasher{cfg: cfg}
}

// Sum returns the hash, by xxHash64 (Collet, xxHash, 2012), of the model's name
// and the first messages of a chat request, given as its JSON array. White space
// between the JSON tokens makes no difference. It returns zero, which stands for
// no prefix, if messages is not an array with a message in it.
func (h *Hasher) Sum(model string, messages json.RawMessage) uint64 {
	decoder := json.NewDecoder(bytes.NewReader(messages))
	if open, err := decoder.Token(); err != nil || open != json.Delim('[') {
		return 0
	}
	digest := xxhash.New()
	write(digest, []byte(model))
	count := 0
	for count < h.cfg.Messages && decoder.More() {
		var message json.RawMessage
		if err := decoder.Decode(&message); err != nil {
			return 0
		}
		var compact bytes.Buffer
		if err := json.Compact(&compact, message); err != nil {
			return 0
		}
		write(digest, compact.Bytes()[:min(compact.Len(), h.cfg.Bytes)])
		count++
	}
	if count == 0 {
		return 0
	}
	return max(digest.Sum64(), 1)
}

// write adds one part with its length, so that parts can't run into each other.
func write(digest *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	digest.Write(length[:])
	digest.Write(part)
}
