package kcwsettings

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Unreadable means that the file could not be opened or read.
	Unreadable Kind = iota + 1
	// Malformed means that the file is not in INI syntax.
	Malformed
	// Invalid means that sections, keys or values violate the rules of the
	// settings struct; Error.Problems lists every violation.
	Invalid
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Unreadable:
		return "unreadable"
	case Malformed:
		return "malformed"
	case Invalid:
		return "invalid"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Problem is one error in a settings file.
type Problem struct {
	// Section is the header as written, without brackets.
	Section string
	// Key is empty if the problem concerns the section as a whole.
	Key string
	// Line counts from one. It is zero if a section or key is missing.
	Line   int
	Reason string
}

// Error is returned by this package.
type Error struct {
	Op       string
	Kind     Kind
	Path     string
	Problems []Problem
	Err      error
}

// Error returns the cause, or else the problems, one per line, each with file and
// line in front.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("kcwsettings: %s %s: %s: %v", e.Op, e.Path, e.Kind, e.Err)
	}
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.describe(e.Path))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.Err }

func (p Problem) describe(path string) string {
	var b strings.Builder
	b.WriteString(path)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	fmt.Fprintf(&b, ": [%s]", p.Section)
	if p.Key != "" {
		b.WriteString(" " + p.Key)
	}
	b.WriteString(": " + p.Reason)
	return b.String()
}
