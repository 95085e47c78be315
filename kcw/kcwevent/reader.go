// Package kcwevent reads server-sent events, as "HTML Living Standard, 9.2
// Server-sent events" (WHATWG) defines them. A Reader takes bytes and gives
// whole events only.
package kcwevent

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// defaultMaxBytes is the largest event read if Config leaves it open.
const defaultMaxBytes = 1 << 20

// Kind says why no event could be read.
type Kind int

// The kinds of an Error.
const (
	// KindTruncated is a stream that ended within an event.
	KindTruncated Kind = iota + 1
	// KindTooLarge is an event larger than the limit.
	KindTooLarge
	// KindRead is a failure of the underlying reader.
	KindRead
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "kcwevent: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config sets up a Reader.
type Config struct {
	// Source is where the bytes come from.
	Source io.Reader
	// MaxBytes is the size of the largest event, 1 MiB if zero.
	MaxBytes int
}

// Reader splits a stream into events. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	max    int
}

// New returns a Reader for cfg. It panics if cfg has no source.
func New(cfg Config) *Reader {
	if cfg.Source == nil {
		panic("kcwevent: no source")
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Reader{source: bufio.NewReader(cfg.Source), max: cfg.MaxBytes}
}

// Next returns the next event: raw is every byte of it with the empty line
// that ends it, data the lines of its data fields, joined by line feeds. Both
// belong to the caller. The error is io.EOF at a clean end, and otherwise an
// *Error, of KindTruncated if the stream ends within an event.
func (r *Reader) Next() (raw, data []byte, err error) {
	fields := 0
	for {
		line, err := r.line(r.max - len(raw))
		raw = append(raw, line...)
		if err == io.EOF && len(raw) == 0 {
			return nil, nil, io.EOF
		}
		if err == io.EOF {
			return nil, nil, &Error{Op: "next", Kind: KindTruncated, Err: eris.Wrap(io.ErrUnexpectedEOF, "within an event")}
		}
		if err != nil {
			return nil, nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return raw, data, nil
		}
		value, ok := dataField(text)
		if !ok {
			continue
		}
		if fields > 0 {
			data = append(data, '\n')
		}
		data = append(data, value...)
		fields++
	}
}

// line returns the next line with its end, and io.EOF if the stream ends
// before the end of the line.
func (r *Reader) line(room int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > room {
			return nil, &Error{Op: "next", Kind: KindTooLarge, Err: eris.Errorf("more than %d bytes", r.max)}
		}
		switch err {
		case nil:
			return line, nil
		case bufio.ErrBufferFull:
			continue
		case io.EOF:
			return line, io.EOF
		default:
			return nil, &Error{Op: "next", Kind: KindRead, Err: eris.Wrap(err, "stream")}
		}
	}
}

// dataField returns the value of a data line, and whether text is one.
func dataField(text []byte) ([]byte, bool) {
	if bytes.Equal(text, []byte("data")) {
		return nil, true
	}
	value, ok := bytes.CutPrefix(text, []byte("data:"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
