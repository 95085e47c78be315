package kcwserve

import (
	"runtime/debug"
	"syscall"
	"time"

	"kingcupwick.example/kcw/kcwlisten"
)

// Share is the share that the clients of one server may use of the resources of their process.
type Share struct {
	// Descriptors is a fraction of the descriptors of the process, ConnsPerMB a number of
	// connections per MB of its memory, and Memory a fraction of its memory.
	Descriptors, ConnsPerMB, Memory float64
}

const (
	// reservedDescriptors are those that clients don't get: for the log, the store, listeners
	// and connections that the process opens itself.
	reservedDescriptors = 200
	// minConns is the least number of connections that a server accepts.
	minConns = 32
	// maxAhead is more requests than a client sends ahead that has not decided to flood the
	// server. HTTP libraries of callers send none ahead.
	maxAhead = 8
	megabyte = 1 << 20
)

// Host is what a process may use.
type Host struct {
	// MemoryMB is the memory in MiB. Zero selects half of the machine's memory.
	MemoryMB float64
	// MaxDescriptors bounds the open files. Zero selects the limit that the process has.
	MaxDescriptors int
}

// Bound returns the configuration of the bounds of a server that has the given share.
func (h Host) Bound(share Share, bodyTimeout time.Duration) kcwlisten.Config {
	conns := min(share.Descriptors*float64(h.descriptors()-reservedDescriptors), share.ConnsPerMB*h.megabytes())
	return kcwlisten.Config{
		MaxConns: max(minConns, int(conns)), MaxHeldBytes: h.Bytes(share.Memory),
		MaxAhead: maxAhead, BodyTimeout: bodyTimeout,
	}
}

// Bytes returns a fraction of the memory in bytes.
func (h Host) Bytes(fraction float64) int64 { return int64(fraction * h.megabytes() * megabyte) }

const (
	// memoryFraction is the fraction of the memory that is the garbage collector's limit,
	// and reservedMB the least memory that it leaves to the program's own pages and to
	// garbage beyond the limit.
	memoryFraction = 0.9
	reservedMB     = 32
)

// LimitMemory sets the garbage collector's memory limit.
func (h Host) LimitMemory() {
	megabytes := h.megabytes()
	limit := min(memoryFraction*megabytes, max(megabytes-reservedMB, megabytes/2))
	debug.SetMemoryLimit(int64(limit * megabyte))
}

func (h Host) megabytes() float64 {
	if h.MemoryMB > 0 {
		return h.MemoryMB
	}
	const unknown = 1024
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return unknown
	}
	return float64(info.Totalram) * float64(info.Unit) / 2 / megabyte
}

func (h Host) descriptors() int {
	if h.MaxDescriptors > 0 {
		return h.MaxDescriptors
	}
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	// More than a million is as good as no limit.
	return int(min(limit.Cur, 1<<20))
}
