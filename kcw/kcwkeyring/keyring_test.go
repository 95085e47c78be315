package kcwkeyring

import (
	"encoding/hex"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"testing"
)

const (
	keyA = "key-of-the-first-process"
	keyB = "key-of-the-second-process"
)

func TestHolder(t *testing.T) {
	k, err := New(Config{Keys: map[string]string{"a": keyA}, Hashes: map[string]string{"b": hex.EncodeToString(Hash(keyB))}})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		key, name string
		ok        bool
	}{
		{keyA, "a", true},
		{keyB, "b", true},
		{keyA + "x", "", false},
		{"", "", false},
	} {
		name, ok := k.Holder(test.key)
		if name != test.name || ok != test.ok {
			t.Errorf("Holder(%q) = %q, %v", test.key, name, ok)
		}
	}
}

func TestBearer(t *testing.T) {
	for _, test := range []struct {
		value, key string
		ok         bool
	}{
		{"Bearer abc", "abc", true},
		{"bearer abc", "abc", true},
		{"Basic abc", "", false},
		{"Bearer ", "", false},
		{"", "", false},
	} {
		key, ok := Bearer(http.Header{"Authorization": {test.value}})
		if key != test.key || ok != test.ok {
			t.Errorf("Bearer(%q) = %q, %v", test.value, key, ok)
		}
	}
}

func TestInvalid(t *testing.T) {
	for _, cfg := range []Config{
		{Keys: map[string]string{"a": "short"}},
		{Hashes: map[string]string{"a": "zz"}},
		{Hashes: map[string]string{"a": "abcd"}},
	} {
		if _, err := New(cfg); err == nil {
			t.Errorf("New(%v) gave no error", cfg)
		}
	}
}

func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(" "+keyA+" \nmore\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := ReadKey(path)
	if err != nil || key != keyA {
		t.Errorf("ReadKey = %q, %v", key, err)
	}
	if _, err := ReadKey(path + "x"); err == nil {
		t.Error("ReadKey of a missing file gave no error")
	}
}

// TestReadOrCreateKey checks that a key file is created once, and that a file which other
// users may read or replace is refused.
func TestReadOrCreateKey(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "created")
	created, err := ReadOrCreateKey(path)
	if err != nil || len(created) < minKeyBytes {
		t.Fatalf("ReadOrCreateKey = %q, %v", created, err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the file has mode %v, %v", info.Mode(), err)
	}
	if again, err := ReadOrCreateKey(path); err != nil || again != created {
		t.Errorf("the second call gave %q, %v", again, err)
	}
	if other, err := ReadOrCreateKey(path + "2"); err != nil || other == created {
		t.Errorf("another file got the key %q, %v", other, err)
	}
	for _, test := range []struct {
		mode os.FileMode
		text string
		kind Kind
	}{
		{0o600, keyA, 0},
		{0o440, keyA, 0},
		{0o660, keyA, KindInvalid},
		{0o644, keyA, KindInvalid},
		{0o602, keyA, KindInvalid},
		{0o600, "short", KindInvalid},
	} {
		path := filepath.Join(folder, "given")
		_ = os.Remove(path)
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, test.mode); err != nil {
			t.Fatal(err)
		}
		key, err := ReadOrCreateKey(path)
		var typed *Error
		switch {
		case test.kind == 0 && (err != nil || key != test.text):
			t.Errorf("mode %v: got %q, %v", test.mode, key, err)
		case test.kind != 0 && (!errors.As(err, &typed) || typed.Kind != test.kind):
			t.Errorf("mode %v, %q: got %v", test.mode, test.text, err)
		}
	}
	var typed *Error
	if _, err := ReadOrCreateKey(filepath.Join(folder, "missing", "key")); !errors.As(err, &typed) || typed.Kind != KindRead {
		t.Errorf("a missing folder gave %v", err)
	}
}

// A key file that could not be written, as on a full disk, must not be left behind: it would
// make every later start fail.
func TestUnwrittenKeyFileIsRemoved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, nil, keyFileMode); err != nil {
		t.Fatal(err)
	}
	unwritable, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writeKey(unwritable); err == nil {
		t.Fatal("the key was written to a file that is open for reading")
	}
	if key, err := ReadOrCreateKey(path); err != nil || len(key) < minKeyBytes {
		t.Errorf("the next call gave a key of %d bytes, %v", len(key), err)
	}
}
