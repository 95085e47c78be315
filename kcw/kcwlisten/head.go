package kcwlisten

import "bytes"

// headBytesFactor and fieldBytes are the memory that a byte and a line of a head take: the bytes
// in buffers that grow by copying and as strings, and the entry of a map with its slice. They are
// a little more than measured at heads of 60 kB in one field and in fields of 5 bytes.
const (
	headBytesFactor = 4
	fieldBytes      = 160
)

// headCost returns the memory that data takes as a part of a head.
func headCost(data []byte) int64 {
	return headBytesFactor*int64(len(data)) + fieldBytes*int64(bytes.Count(data, []byte{'\n'}))
}

// headScanner finds the end of a head that comes in pieces.
type headScanner struct {
	// hasText is set once a line was not empty, and lineBytes counts the bytes of the line
	// that is not complete, without carriage returns.
	hasText   bool
	lineBytes int
	isEnded   bool
}

// scan returns the costs of the part of data that belongs to the head, and of the rest. Empty
// lines before the head are a part of it.
func (s *headScanner) scan(data []byte) (head, rest int64) {
	end := 0
	for end < len(data) && !s.isEnded {
		switch data[end] {
		case '\n':
			s.isEnded = s.hasText && s.lineBytes == 0
			s.lineBytes = 0
		case '\r':
		default:
			s.hasText = true
			s.lineBytes++
		}
		end++
	}
	return headCost(data[:end]), headCost(data[end:])
}
