package kcwtool

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

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

func (t *Tool) checkCommand() *ffcli.Command {
	return t.command("check", "<kind> <file>", "check a settings or contract file; kinds: contract, ctl", t.flags("check"),
		func(_ context.Context, args []string) error {
			err := check(args[0], args[1])
			if err != nil {
				return err
			}
			fmt.Fprintln(t.cfg.Err, args[1]+": ok")
			return nil
		})
}

func check(kind, path string) error {
	switch kind {
	case "contract":
		_, err := readContract(path)
		return err
	case "ctl":
		return checkSettings(path, &Settings{})
	}
	return usage("check", "unknown kind %q", kind)
}

func checkSettings(path string, into any) error {
	if _, err := os.Stat(path); err != nil {
		return &Error{Op: "check", Kind: Usage, Err: err}
	}
	if err := kcwsettings.Load(path, into); err != nil {
		return &Error{Op: "check", Kind: Usage, Err: err}
	}
	return nil
}
