package kcwcrowd

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Target is a port and a path that clients send to, with the lines of header fields that an
// ordinary request has there, each ended by CRLF.
type Target struct {
	Name, Address, Path, Fields string
}

// Head returns the beginning of a request's head, without the empty line that ends it.
func (t *Target) Head(method string) string {
	return method + " " + t.Path + " HTTP/1.1\r\nHost: " + Host + "\r\n" + t.Fields
}

// Host is the host that all requests name.
const Host = "h.example"

// Kind is a kind of client that does not behave as callers do.
type Kind struct {
	Name string
	// Clients is how many of them send at once.
	Clients int
	// Reads is whether the client reads what comes. Otherwise it reads a byte now and then.
	Reads bool
	// Callers is whether the kind is meant for ports of callers only.
	Callers bool
	// Send sends on a new connection and returns when all is sent or the connection is closed.
	Send func(conn net.Conn, target *Target) error
}

// Sizes of what the clients send, in bytes. LongHeadBytes is above the head that ordinary callers
// may send on the known deployments, and below what a server reads without such a limit.
const (
	LegalBodyBytes = 3 << 20
	LegalHeadBytes = 15 << 10
	LongHeadBytes  = 60 << 10
	pipelined      = 20000
	// chunkBytes is the size of the pieces of a body, and slowPause the time between two
	// bytes of a slow client.
	chunkBytes = 4 << 10
	slowPause  = 100 * time.Millisecond
	// tinyChunks chunks of one byte are sent in one write, tinyWrites such writes, and then a chunk
	// after each tinyPause.
	tinyChunks, tinyWrites = 10000, 50
	tinyPause              = time.Second
)

// Numbers of clients.
const (
	bodyClients, tinyClients, headClients, manyClients = 60, 300, 500, 1200
)

// Kinds returns the kinds of clients over HTTP/1.1.
func Kinds() []Kind {
	var bodies atomic.Int64
	kinds := []Kind{
		{"body in one piece", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			return sendBody(conn, target, LegalBodyBytes)
		}},
		{"body in small pieces", bodyClients, true, true, func(conn net.Conn, target *Target) error {
			_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", target.Head("POST"), LegalBodyBytes)
			for sent := 0; sent+chunkBytes < LegalBodyBytes && err == nil; sent += chunkBytes {
				_, err = io.WriteString(conn, Text(chunkBytes))
			}
			return err
		}},
		{"bodies of all sizes", 4 * bodyClients, true, false, func(conn net.Conn, target *Target) error {
			// Together they take what memory the large ones leave.
			const sizes = 11
			return sendBody(conn, target, LegalBodyBytes>>(bodies.Add(1)%sizes))
		}},
		{"body in chunks", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; sent+chunkBytes < LegalBodyBytes && err == nil; sent += chunkBytes {
				err = sendChunk(conn)
			}
			return err
		}},
		{"body without end", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+"Transfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				err = sendChunk(conn)
			}
			return err
		}},
		{"body over the limit", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			const tooLarge = 1 << 40
			_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", target.Head("POST"), int64(tooLarge))
			for err == nil {
				_, err = io.WriteString(conn, Text(chunkBytes))
			}
			return err
		}},
		{"body half-closed", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			err := sendBody(conn, target, LegalBodyBytes)
			if err == nil {
				err = conn.(*net.TCPConn).CloseWrite()
			}
			return err
		}},
		{"body announced only", headClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := fmt.Fprintf(conn, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", target.Head("POST"), LegalBodyBytes)
			return err
		}},
		{"chunk extensions", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; sent+chunkBytes < LegalBodyBytes && err == nil; sent += chunkBytes {
				_, err = fmt.Fprintf(conn, "1;%s\r\nb\r\n", Text(chunkBytes/2))
			}
			return err
		}},
		{"pipelined", 100, false, false, func(conn net.Conn, target *Target) error {
			return sendAhead(conn, target, pipelined)
		}},
		{"requests ahead, leaving", bodyClients, true, false, func(conn net.Conn, target *Target) error {
			const ahead = 8
			err := sendAhead(conn, target, ahead)
			_ = conn.Close()
			return err
		}},
		{"body in chunks of one byte", tinyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+"Transfer-Encoding: chunked\r\n\r\n")
			const chunk = "1\r\nb\r\n"
			chunks := strings.Repeat(chunk, tinyChunks)
			for sent := 0; sent < tinyWrites && err == nil; sent++ {
				_, err = io.WriteString(conn, chunks)
			}
			// The body goes on, so that no limit on its pauses ends it.
			for err == nil {
				time.Sleep(tinyPause)
				_, err = io.WriteString(conn, chunk)
			}
			return err
		}},
		{"connection without a byte", manyClients, true, false, func(net.Conn, *Target) error { return nil }},
		{"head that stops", manyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("GET"))
			return err
		}},
		{"head byte by byte", manyClients, true, false, func(conn net.Conn, target *Target) error {
			return sendSlowly(conn, target.Head("GET")+"\r\n")
		}},
		{"body byte by byte", manyClients, true, false, func(conn net.Conn, target *Target) error {
			_, err := fmt.Fprintf(conn, "%sContent-Length: 2000\r\n\r\n", target.Head("POST"))
			if err != nil {
				return err
			}
			return sendSlowly(conn, Text(1999))
		}},
		{"answer read slowly", manyClients, false, false, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("GET")+"\r\n")
			return err
		}},
	}
	kinds = append(kinds, HeadKinds("short fields", false, shortFields)...)
	return append(kinds, HeadKinds("one field repeated", false, repeatedField)...)
}

// HeadKinds returns the kinds of clients whose heads have the fields that fill returns for a size
// in bytes: at LegalHeadBytes and at LongHeadBytes, in heads that stop and before bodies that stop.
// Callers is whether heads of LongHeadBytes are tried at ports of callers only too.
func HeadKinds(name string, callers bool, fill func(bytes int) string) []Kind {
	var kinds []Kind
	for _, size := range []int{LegalHeadBytes, LongHeadBytes} {
		isForCallers := callers || size == LegalHeadBytes
		fields := fill(size)
		prefix := fmt.Sprintf("%s, %d kB, ", name, size>>10)
		kinds = append(kinds, Kind{prefix + "unfinished", headClients, true, isForCallers, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+fields)
			return err
		}}, Kind{prefix + "open body", headClients, true, isForCallers, func(conn net.Conn, target *Target) error {
			_, err := io.WriteString(conn, target.Head("POST")+fields+"Content-Length: 10\r\n\r\nx")
			return err
		}})
	}
	return kinds
}

// DocumentKind returns a kind of clients that send whole requests with the given method and body,
// each on a connection of its own.
func DocumentKind(name, method, body string) Kind {
	return Kind{name, bodyClients, true, true, func(conn net.Conn, target *Target) error {
		_, err := fmt.Fprintf(conn, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", target.Head(method), len(body), body)
		return err
	}}
}

// Named returns the kind with the given name. It panics if there is none.
func Named(name string) Kind {
	for _, kind := range Kinds() {
		if kind.Name == name {
			return kind
		}
	}
	panic("kcwcrowd: no kind has the name " + name)
}

// Repeated returns as many copies of an element as fit into the given number of bytes, as the
// elements of a JSON array.
func Repeated(element string, bytes int) string {
	return "[" + strings.Repeat(element+",", bytes/(len(element)+1)) + element + "]"
}

// Text returns a text of n bytes.
func Text(n int) string { return strings.Repeat("x", n) }

// sendBody sends a body of the given size in one piece, without its last byte.
func sendBody(conn net.Conn, target *Target, size int) error {
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", target.Head("POST"), size, Text(size-1))
	return err
}

func sendChunk(conn net.Conn) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", chunkBytes, Text(chunkBytes))
	return err
}

// sendAhead sends requests without waiting for answers.
func sendAhead(conn net.Conn, target *Target, requests int) error {
	const batch = 100
	request := target.Head("GET") + "\r\n"
	for sent := 0; sent < requests; sent += batch {
		if _, err := io.WriteString(conn, strings.Repeat(request, min(batch, requests-sent))); err != nil {
			return err
		}
	}
	return nil
}

// sendSlowly sends the text byte by byte.
func sendSlowly(conn net.Conn, text string) error {
	for n := range len(text) {
		if _, err := conn.Write([]byte{text[n]}); err != nil {
			return err
		}
		time.Sleep(slowPause)
	}
	return nil
}

// shortFields returns different fields that are as short as can be, repeatedField the same field
// many times.
func shortFields(size int) string {
	var text strings.Builder
	for n := 0; text.Len() < size; n++ {
		text.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return text.String()
}

func repeatedField(size int) string {
	const field = "a:\r\n"
	return strings.Repeat(field, size/len(field))
}
