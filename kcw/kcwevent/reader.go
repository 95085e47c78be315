// Package kcwevent splits a stream of server-sent events into single events. The
// format is that of the HTML Living Standard (WHATWG), section 9.2, "Server-sent
// events". A Reader returns only complete events.
package kcwevent

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// defaultMaxBytes is the largest size of an event if Config.MaxBytes is not set.
const defaultMaxBytes = 1 << 20

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindTruncated means that the stream ended within an event.
	KindTruncated Kind = iota + 1
	// KindTooLarge means that an event is larger than Config.MaxBytes.
	KindTooLarge
	// KindRead means that the underlying reader failed.
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

// Config configures a Reader.
type Config struct {
	// Source is the stream to read. It is required.
	Source io.Reader
	// MaxBytes bounds the size of an event, 1 MiB if zero.
	MaxBytes int
}

// Reader splits a stream into events. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	max    int
}

// New returns a Reader for cfg. It panics if cfg has no Source.
func New(cfg Config) *Reader {
	if cfg.Source == nil {
		panic("kcwevent: no source")
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Reader{source: bufio.NewReader(cfg.Source), max: cfg.MaxBytes}
}

// Next returns the next event. Raw holds all its bytes, including the empty line that
// ends it; data holds the values of its data fields, joined by line feeds. The caller
// may keep and modify both. The error is io.EOF if the stream ends after an event, and
// otherwise an *Error, which is of KindTruncated if the stream ends within an event.
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

// line returns the next line including its line feed, or the rest of the stream and
// io.EOF if it ends without one. For a line longer than maxBytes the error is of
// KindTooLarge.
func (r *Reader) line(maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxBytes {
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

// dataField returns the value of a line that holds a data field, and reports whether
// text is such a line.
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
