// Package kcwsettings reads strict INI settings into a struct of sections.
//
// Each exported field of the struct is a section, and each exported field of
// the section's struct is a key, with the names of the fields. A section whose
// field is a map from string to struct or a slice of structs may be repeated with
// different labels, as in [Upstream "engine-1"]. The label is the map's key and is
// stored in the field tagged `setting:"label"`.
//
// Values may be string, bool, integer, float64, time.Duration, netip.Addr,
// netip.AddrPort, []netip.AddrPort and []string; lists are separated by
// commas. The tag `default:"..."` sets the value of an absent key. The tag
// `setting` holds rules separated by commas: required, min=V, max=V (V is written
// like a value of the field) and oneof=A|B.
package kcwsettings

import (
	"os"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// File is one settings file.
type File struct {
	path  string
	data  []byte
	lines *lineTable
}

// Load reads the file at path into the struct that into points to. The error is
// an *Error that lists every unknown or duplicate section or key, every missing key
// and every invalid value. Load panics if into is not a pointer to a struct of
// sections or if a tag is invalid.
func Load(path string, into any) error {
	file, err := Open(path)
	if err != nil {
		return err
	}
	return file.Decode(into)
}

// Open reads the file at path. The error is an *Error of kind Unreadable.
func Open(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "open", Kind: Unreadable, Path: path, Err: eris.Wrap(err, "read settings")}
	}
	return New(path, data), nil
}

// New returns a File with the content data; path is used in messages only.
func New(path string, data []byte) *File {
	return &File{path: path, data: data, lines: scanLines(data)}
}

// Decode decodes the settings into the struct that into points to, as Load does.
func (f *File) Decode(into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		panic("kcwsettings: into is not a pointer to a struct")
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
	}, f.data)
	if err != nil {
		return &Error{Op: "decode", Kind: Malformed, Path: f.path, Err: eris.Wrap(err, "parse settings")}
	}
	d := &decoder{lines: f.lines, seen: map[string]int{}, present: map[string]bool{}}
	d.decode(parsed.Sections(), target.Elem())
	if len(d.problems) > 0 {
		return &Error{Op: "decode", Kind: Invalid, Path: f.path, Problems: d.problems}
	}
	return nil
}

// splitHeader splits a header such as `Upstream "engine-1"` into the
// section's name and its label. The result ok is false if the label is not quoted.
func splitHeader(header string) (name, label string, ok bool) {
	name, rest, found := strings.Cut(header, " ")
	if !found {
		return header, "", true
	}
	rest = strings.TrimSpace(rest)
	if len(rest) < 3 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return name, "", false
	}
	return name, rest[1 : len(rest)-1], true
}
