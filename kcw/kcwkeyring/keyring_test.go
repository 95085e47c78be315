package kcwkeyring

import (
	"encoding/hex"
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
