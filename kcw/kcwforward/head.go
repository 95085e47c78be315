package kcwforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// The reasons for which a head that http.ReadResponse accepts is no head of an answer.
var (
	errJoinedHead = errors.New("an answer follows a part of a head")
	errOldCoding  = errors.New("an answer with HTTP/1.0 names a transfer coding")
	errFieldName  = errors.New("a space follows the name of a field")
	errStatus     = errors.New("the status is not from 100 to 599")
)

// The statuses of answers (RFC 9110, section 15). http.ReadResponse accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

var (
	// statusLine matches the beginning of a status line (RFC 9112, section 4).
	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)
	// transferCoding matches the field that names a transfer coding.
	transferCoding = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
)

// readHead reads the head of the next answer to request. It is stricter than
// http.ReadResponse, whose errors it returns too.
func readHead(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	if err := checkOldCoding(r); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if hasStatusLine(response) {
		return nil, errJoinedHead
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return nil, errStatus
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			// The field could be one that tells where the answer ends (RFC 9112, section 5.1).
			return nil, errFieldName
		}
	}
	return response, nil
}

// checkOldCoding returns errOldCoding if the next head is one of HTTP/1.0 with a transfer
// coding. Its framing is faulty (RFC 9112, section 6.1), and http.ReadResponse ignores the
// coding. Of a head that does not fit into the buffer of r the beginning is checked.
func checkOldCoding(r *bufio.Reader) error {
	const proto = "HTTP/1.0"
	if start, err := r.Peek(len(proto)); err != nil || string(start) != proto {
		return unexpectedEnd(err)
	}
	for size := r.Buffered(); ; size = r.Buffered() + 1 {
		head, err := r.Peek(min(size, r.Size()))
		end := headSize(head)
		if transferCoding.Match(head[:end]) {
			return errOldCoding
		}
		switch {
		case end < len(head) || len(head) == r.Size():
			return nil
		case err != nil:
			return unexpectedEnd(err)
		}
	}
}

// headSize returns the size in bytes of the head at the start of data, without the empty line
// that ends it, or that of data if the head is incomplete.
func headSize(data []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return len(data)
		}
		if line := data[at : at+end]; len(line) == 0 || string(line) == "\r" {
			return at
		}
		at += end + 1
	}
}

// unexpectedEnd returns err, and io.ErrUnexpectedEOF for io.EOF.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// hasStatusLine reports whether the reason phrase, a field or the name of a trailer field
// contains a status line. The head is then that of two answers, of which the first one broke
// off there.
func hasStatusLine(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	for name := range response.Trailer {
		if statusLine.MatchString(name) {
			return true
		}
	}
	return false
}
