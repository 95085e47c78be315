package kcwtool

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	ledgersetup "kingcupwick.example/kcw-ledger/kcwsetup"
	routersetup "kingcupwick.example/kcw-router/kcwsetup"
	standinsetup "kingcupwick.example/kcw-standin/kcwsetup"
	"kingcupwick.example/kcw/kcwsettings"
)

func (t *Tool) hashKeyCommand() *ffcli.Command {
	return t.command("hash-key", "<file>", "print the hash of the key in a file, or in the input for -, as contracts hold it", t.flags("hash-key"),
		func(_ context.Context, args []string) error {
			key, err := t.inputKey(args[0])
			if err != nil {
				return err
			}
			sum := sha256.Sum256([]byte(key))
			return t.write([]byte(hex.EncodeToString(sum[:]) + "\n"))
		})
}

// inputKey returns the key in the file at path, or in the input if path is "-".
func (t *Tool) inputKey(path string) (string, error) {
	if path != "-" {
		return readKey(path)
	}
	data, err := io.ReadAll(t.cfg.In)
	if err != nil {
		return "", &Error{Op: "hash-key", Kind: Failed, Err: err}
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", usage("hash-key", "the input is empty")
	}
	return key, nil
}

// checkers holds, for each kind of file, the function that checks such a file.
var checkers = map[string]func(path string) error{
	"contract": func(path string) error { _, err := readContract(path); return err },
	"ctl":      func(path string) error { return kcwsettings.Load(path, &Settings{}) },
	"ledger":   func(path string) error { _, err := ledgersetup.Load(path); return err },
	"router":   func(path string) error { _, err := routersetup.Load(path); return err },
	"standin":  func(path string) error { _, err := standinsetup.Load(path); return err },
}

func (t *Tool) checkCommand() *ffcli.Command {
	return t.command("check", "<kind> <file>", "check a settings or contract file; kinds: contract, ctl, ledger, router, standin", t.flags("check"),
		func(_ context.Context, args []string) error {
			check := checkers[args[0]]
			if check == nil {
				return usage("check", "unknown kind %q", args[0])
			}
			if err := check(args[1]); err != nil {
				return &Error{Op: "check", Kind: Usage, Err: err}
			}
			fmt.Fprintln(t.cfg.Err, args[1]+": ok")
			return nil
		})
}
