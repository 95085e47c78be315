package kcwservice

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// maxMessageBytes bounds one message from another process.
const maxMessageBytes = 16 << 20

// keyAuth compares the SHA-256 of each call's bearer key with keyHash in constant
// time.
type keyAuth struct {
	keyHash [sha256.Size]byte
}

func newKeyAuth(key string) *keyAuth { return &keyAuth{keyHash: sha256.Sum256([]byte(key))} }

// admits reports whether the header has the key.
func (a *keyAuth) admits(header http.Header) bool {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	return ok && subtle.ConstantTimeCompare(hash[:], a.keyHash[:]) == 1
}

// notLeader returns the answer of a replica that is not the leader and has applied
// nothing of the call. It names the leader if status has one.
func notLeader(status *kcwpb.GroupStatus) error {
	return withLeader(connect.CodeFailedPrecondition, status, errors.New("not the leader"))
}

// unavailable returns the answer to a call that failed with err and whose commands
// may still be applied. It names the leader if status has one.
func unavailable(status *kcwpb.GroupStatus, err error) error {
	return withLeader(connect.CodeUnavailable, status, err)
}

func withLeader(code connect.Code, status *kcwpb.GroupStatus, err error) error {
	e := connect.NewError(code, err)
	if status.LeaderAddress != "" {
		e.Meta().Set(kcwledger.LeaderHeader, status.LeaderAddress)
	}
	return e
}
