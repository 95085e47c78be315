package kcwupstream

import (
	"io"
	"net"
	"syscall"

	"kingcupwick.example/kcw/kcwtcpinfo"
)

// callConn is the connection of a call. Unlike that of the kernel, its end is not that of the
// upstream's answer if the connection was reset.
type callConn struct{ *net.TCPConn }

// Read returns syscall.ECONNRESET in place of io.EOF if the connection was reset. The kernel
// reports a reset once: if the write of the request has got it, a read returns io.EOF.
func (c callConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF && c.isReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// isReset reports whether the connection was reset, or closed by this process: net/http closes it
// once the write of the request has failed.
func (c callConn) isReset() bool {
	info, err := kcwtcpinfo.Of(c.TCPConn)
	return err != nil || info.State == kcwtcpinfo.Close
}

// forCall returns conn as the connection of a call.
func forCall(conn net.Conn, err error) (net.Conn, error) {
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return callConn{tcp}, nil
	}
	return conn, err
}
