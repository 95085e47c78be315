// Package kcwprefix computes the hash of the beginning of a chat request. Requests that
// share the prefix of a prompt have the same hash, by which they are sent to the engine
// that has the prefix cached. The hash is the same in every process and on every
// machine, so that all routers compute the same engines for a prefix without
// communicating.
package kcwprefix

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Config determines which part of a request is hashed.
type Config struct {
	// Messages is the number of leading messages that are hashed.
	Messages int
	// Bytes is the largest number of bytes of each message that are hashed.
	Bytes int
}

// Hasher computes hashes of chat requests. It is safe for concurrent use.
type Hasher struct {
	cfg Config
}

// New returns a Hasher. It panics if Messages or Bytes is not positive.
func New(cfg Config) *Hasher {
	if cfg.Messages < 1 || cfg.Bytes < 1 {
		panic("kcwprefix: Messages and Bytes must be positive")
	}
	return &Hasher{cfg: cfg}
}

// Sum returns the xxHash64 (Collet, xxHash, 2012) of the model's name and the first
// messages of a chat request, whose messages are given as a JSON array. White space
// between JSON tokens doesn't affect the hash. Sum returns 0, which means no prefix, if
// messages is not a JSON array with at least one message.
func (h *Hasher) Sum(model string, messages json.RawMessage) uint64 {
	decoder := json.NewDecoder(bytes.NewReader(messages))
	if first, err := decoder.Token(); err != nil || first != json.Delim('[') {
		return 0
	}
	digest := xxhash.New()
	writePart(digest, []byte(model))
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
		writePart(digest, compact.Bytes()[:min(compact.Len(), h.cfg.Bytes)])
		count++
	}
	if count == 0 {
		return 0
	}
	return max(digest.Sum64(), 1)
}

// writePart adds a part and its length to the digest. The length keeps different
// splits of the same bytes into parts from having the same hash.
func writePart(digest *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	digest.Write(length[:])
	digest.Write(part)
}
