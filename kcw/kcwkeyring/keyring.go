// Package kcwkeyring checks the bearer keys of callers, operators and processes. A
// Keyring holds only SHA-256 hashes and compares them in constant time.
package kcwkeyring

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

// minKeyBytes is the minimum length of a key.
const minKeyBytes = 16

// bearerPrefix begins the value of an Authorization header that holds a key.
const bearerPrefix = "Bearer "

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindInvalid means that a key is too short or a hash is malformed.
	KindInvalid Kind = iota + 1
	// KindRead means that a key file cannot be read or created.
	KindRead
)

// Error is returned by this package. It never holds a key.
type Error struct {
	Op   string
	Kind Kind
	Name string
	Err  error
}

// Error returns the operation, the name of the key and the cause.
func (e *Error) Error() string {
	text := "kcwkeyring: " + e.Op
	if e.Name != "" {
		text += " " + e.Name
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config lists the keys that a Keyring accepts, by the name of their holder.
type Config struct {
	// Keys holds keys in clear text. New hashes them and does not keep them.
	Keys map[string]string
	// Hashes holds the SHA-256 of keys in hexadecimal.
	Hashes map[string]string
}

// Keyring finds the holders of keys by hash. It is immutable and safe for
// concurrent use.
type Keyring struct {
	holders []holder
}

type holder struct {
	name string
	hash [sha256.Size]byte
}

// New returns a Keyring of the keys in cfg. It returns an *Error if a key is
// shorter than 16 bytes or a hash is not 32 bytes in hexadecimal.
func New(cfg Config) (*Keyring, error) {
	k := &Keyring{}
	for name, key := range cfg.Keys {
		if len(key) < minKeyBytes {
			return nil, &Error{Op: "new", Kind: KindInvalid, Name: name, Err: eris.Errorf("a key needs at least %d bytes", minKeyBytes)}
		}
		k.holders = append(k.holders, holder{name: name, hash: sha256.Sum256([]byte(key))})
	}
	for name, text := range cfg.Hashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return nil, &Error{Op: "new", Kind: KindInvalid, Name: name, Err: eris.New("a hash needs 64 hexadecimal digits")}
		}
		k.holders = append(k.holders, holder{name: name, hash: [sha256.Size]byte(raw)})
	}
	return k, nil
}

// Holder returns the name of the holder of key, and whether there is one. Its
// running time does not depend on which hash matches.
func (k *Keyring) Holder(key string) (string, bool) {
	hash := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.holders {
		equal := subtle.ConstantTimeCompare(hash[:], k.holders[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.holders[found].name, true
}

// Admits reports whether the bearer key in header belongs to a holder.
func (k *Keyring) Admits(header http.Header) bool {
	key, ok := Bearer(header)
	if !ok {
		return false
	}
	_, ok = k.Holder(key)
	return ok
}

// Hash returns the SHA-256 of key, by which contracts list keys.
func Hash(key string) []byte {
	hash := sha256.Sum256([]byte(key))
	return hash[:]
}

// Equal compares two hashes in constant time.
func Equal(a, b []byte) bool {
	return subtle.ConstantTimeCompare(a, b) == 1
}

// Bearer returns the key in the Authorization header, and whether there is one.
func Bearer(header http.Header) (string, bool) {
	value := header.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return strings.TrimSpace(value[len(bearerPrefix):]), true
}

// ReadKey returns the key in the file at path, which is the first line without
// surrounding white space. It returns an *Error if the file can't be read or the key
// is too short.
func ReadKey(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "read", Kind: KindRead, Err: eris.Wrap(err, "key file")}
	}
	return parseKey(raw, path)
}

// parseKey returns the key in the text of the key file at path.
func parseKey(raw []byte, path string) (string, error) {
	line, _, _ := strings.Cut(string(raw), "\n")
	key := strings.TrimSpace(line)
	if len(key) < minKeyBytes {
		return "", &Error{Op: "read", Kind: KindInvalid, Name: path, Err: eris.Errorf("a key needs at least %d bytes", minKeyBytes)}
	}
	return key, nil
}

// keyFileMode is the mode of a created key file, and sharedModes are the permissions that a
// private key file must not give: write to the group, and any to others.
const (
	keyFileMode = 0o600
	sharedModes = 0o027
)

// ReadOrCreateKey returns the key in the file at path, as ReadKey does. If there is no file,
// it creates one with a random key that only this process's user can read. Otherwise the
// file must belong to that user or to the superuser, who alone may write it, and others must
// not be able to read it, so that no other user chooses or knows the key. The error is an
// *Error.
func ReadOrCreateKey(path string) (string, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err == nil {
		return writeKey(file)
	}
	if !errors.Is(err, fs.ErrExist) {
		return "", &Error{Op: "create", Kind: KindRead, Name: path, Err: eris.Wrap(err, "key file")}
	}
	if file, err = os.Open(path); err != nil {
		return "", &Error{Op: "read", Kind: KindRead, Name: path, Err: eris.Wrap(err, "key file")}
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return "", &Error{Op: "read", Kind: KindRead, Name: path, Err: eris.Wrap(err, "key file")}
	}
	owner, isKnown := info.Sys().(*syscall.Stat_t)
	if !isKnown || owner.Uid != 0 && int(owner.Uid) != os.Geteuid() || info.Mode().Perm()&sharedModes != 0 {
		return "", &Error{Op: "read", Kind: KindInvalid, Name: path, Err: eris.New("other users may read or replace the key")}
	}
	raw, err := io.ReadAll(file)
	if err != nil {
		return "", &Error{Op: "read", Kind: KindRead, Name: path, Err: eris.Wrap(err, "key file")}
	}
	return parseKey(raw, path)
}

// writeKey writes a random key to file, closes the file and returns the key. If it fails, it
// removes the file, since a part of a key would make later calls fail.
func writeKey(file *os.File) (string, error) {
	key := rand.Text()
	_, err := file.WriteString(key + "\n")
	if err = cmp.Or(err, file.Close()); err != nil {
		err = errors.Join(err, os.Remove(file.Name()))
		return "", &Error{Op: "create", Kind: KindRead, Name: file.Name(), Err: eris.Wrap(err, "key file")}
	}
	return key, nil
}
