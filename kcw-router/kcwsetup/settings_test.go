package kcwsetup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const minimal = `[Host]
Name = r
Zone = z
Address = 127.0.0.1:1
InternalAddress = 127.0.0.1:2
AdminAddress = 127.0.0.1:3
MEMORY
[Ledger]
Addresses = 127.0.0.1:4
[Keys]
RouterKeyFile = k
[Upstream "u"]
Service = s
Zone = z
Address = 127.0.0.1:5
`

// TestMemory checks that a router does not start with less memory than a request inside its limits
// and its stored answers need.
func TestMemory(t *testing.T) {
	for _, test := range []struct{ memory, more, want string }{
		{"", "", ""},
		{"MemoryMB = 512", "", ""},
		{"MemoryMB = 64", "", "MaxBodyBytes"},
		{"MemoryMB = 128", "", "[Answers] MaxBytes"},
		{"MemoryMB = 128", "[Answers]\nMaxBytes = 8388608\n", ""},
		{"MemoryMB = 512", "[Limits]\nMaxBodyBytes = 67108864\n", "MaxBodyBytes"},
	} {
		path := filepath.Join(t.TempDir(), "router.ini")
		if err := os.WriteFile(path, []byte(strings.Replace(minimal, "MEMORY", test.memory, 1)+test.more), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s %s: error %v, want %q", test.memory, test.more, err, test.want)
		}
	}
}
