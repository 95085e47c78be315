package kcwlisten

// streamBytes is the memory that a request over HTTP/2 takes: its fields, of at most some kB, its
// goroutine and its buffers. On the wire, compressed, it may have some dozens of bytes.
const streamBytes = 24 << 10

// frameBytes is the memory that another frame takes while its answer waits, as that to a ping does
// until the client reads.
const frameBytes = 256

const (
	// preface begins a connection over HTTP/2, RFC 9113, section 3.4.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// frameHeaderBytes is the size of the header of a frame, of which the first three bytes are the
	// length of the rest and the next one is the type, section 4.1. HeadersType is that of a frame
	// that begins a request, section 6.2.
	frameHeaderBytes = 9
	typeIndex        = 3
	headersType      = 1
)

// frameScanner finds the frames of a connection over HTTP/2.
type frameScanner struct {
	// matched counts the bytes of the preface that have come, negative if others came.
	matched int
	// header counts the bytes of a frame's header, and rest those of the frame that are to come.
	header, rest int
}

// isHTTP2 reports whether the preface has come.
func (s *frameScanner) isHTTP2() bool { return s.matched == len(preface) }

// scan returns the cost of the frames that begin in data, which follows what was scanned before.
func (s *frameScanner) scan(data []byte) (cost int64) {
	for len(data) > 0 && s.matched >= 0 {
		switch {
		case !s.isHTTP2() && data[0] != preface[s.matched]:
			s.matched = -1
			return 0
		case !s.isHTTP2():
			s.matched++
		case s.header == frameHeaderBytes && s.rest > 0:
			skipped := min(s.rest, len(data))
			s.rest -= skipped
			data = data[skipped:]
			if s.rest == 0 {
				s.header = 0
			}
			continue
		default:
			if s.header == frameHeaderBytes {
				s.header = 0
			}
			if s.header < typeIndex {
				s.rest = s.rest<<8 | int(data[0])
			}
			if s.header == typeIndex {
				cost += frameBytes
				if data[0] == headersType {
					cost += streamBytes
				}
			}
			s.header++
		}
		data = data[1:]
	}
	return cost
}
