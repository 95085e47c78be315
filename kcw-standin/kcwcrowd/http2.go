package kcwcrowd

import (
	"bytes"
	"io"
	"net"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// streams is how many requests a client of HTTP/2 sends on a connection, about as many as a server
	// of net/http takes at once, and firstStream the number of the first.
	streams     = 200
	firstStream = 1
	// frameBytes is the largest frame that every server takes.
	frameBytes = 16 << 10
	// shortField is the size in bytes of a field that is sent in a block without compression.
	shortField = 8
)

// HTTP2Kinds returns kinds of clients over HTTP/2 without TLS.
func HTTP2Kinds() []Kind {
	return []Kind{
		{"HTTP/2, idle", manyClients, true, false, func(conn net.Conn, _ *Target) error {
			return newHTTP2Client(conn, nil).err
		}},
		{"HTTP/2, head that stops", headClients, true, false, func(conn net.Conn, target *Target) error {
			c := newHTTP2Client(conn, target)
			c.openHead(firstStream, LegalHeadBytes)
			return c.err
		}},
		{"HTTP/2, bodies that stop", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			c := newHTTP2Client(conn, target)
			for n := uint32(0); n < streams; n++ {
				c.request(firstStream+2*n, "POST", 0, false)
				c.data(firstStream+2*n, frameBytes)
			}
			return c.err
		}},
		{"HTTP/2, short fields, bodies that stop", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			c := newHTTP2Client(conn, target)
			for n := uint32(0); n < streams; n++ {
				c.request(firstStream+2*n, "POST", LegalHeadBytes/4, false)
			}
			return c.err
		}},
		{"HTTP/2, answers without a window", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			c := newHTTP2Client(conn, target, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			for n := uint32(0); n < streams; n++ {
				c.request(firstStream+2*n, "GET", LegalHeadBytes/4, true)
			}
			return c.err
		}},
		{"HTTP/2, pings, answers not read", headClients, false, false, func(conn net.Conn, _ *Target) error {
			c := newHTTP2Client(conn, nil)
			for n := 0; n < pipelined; n++ {
				c.note(c.framer.WritePing(false, [8]byte{}))
			}
			return c.err
		}},
	}
}

// http2Client writes frames to a connection. It keeps the first error.
type http2Client struct {
	target  *Target
	framer  *http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
	err     error
}

func newHTTP2Client(conn net.Conn, target *Target, settings ...http2.Setting) *http2Client {
	c := &http2Client{target: target, framer: http2.NewFramer(conn, nil)}
	c.encoder = hpack.NewEncoder(&c.block)
	_, c.err = io.WriteString(conn, http2.ClientPreface)
	c.note(c.framer.WriteSettings(settings...))
	return c
}

func (c *http2Client) note(err error) {
	if c.err == nil {
		c.err = err
	}
}

// encode returns the header block of a request with fields of extraBytes in all beside those of
// the target.
func (c *http2Client) encode(method string, extraBytes int) []byte {
	c.block.Reset()
	fields := []hpack.HeaderField{
		{Name: ":method", Value: method}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: Host}, {Name: ":path", Value: c.target.Path},
	}
	for line := range strings.Lines(c.target.Fields) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		fields = append(fields, hpack.HeaderField{Name: strings.ToLower(name), Value: value})
	}
	for sent := 0; sent < extraBytes; sent += shortField {
		// A sensitive field is not compressed.
		fields = append(fields, hpack.HeaderField{Name: "n", Value: Text(shortField - 3), Sensitive: true})
	}
	for _, field := range fields {
		// A bytes.Buffer takes all that is written.
		_ = c.encoder.WriteField(field)
	}
	return c.block.Bytes()
}

// request sends the head of a request.
func (c *http2Client) request(stream uint32, method string, extraBytes int, isWhole bool) {
	c.note(c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: c.encode(method, extraBytes), EndStream: isWhole, EndHeaders: true,
	}))
}

// openHead sends the head of a request without its end.
func (c *http2Client) openHead(stream uint32, extraBytes int) {
	block := c.encode("POST", extraBytes)
	c.note(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block}))
}

// data sends a part of a body.
func (c *http2Client) data(stream uint32, size int) {
	c.note(c.framer.WriteData(stream, false, make([]byte, size)))
}
