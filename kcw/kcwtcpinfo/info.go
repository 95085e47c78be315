// Package kcwtcpinfo reads the state of TCP connections from the kernel.
package kcwtcpinfo

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a connection in Linux, net/tcp_states.h. Close is that of one that was reset or closed,
// and CloseWait that of one whose peer alone has sent its end.
const (
	Close     = 7
	CloseWait = 8
)

// Of returns the state of a connection (TCP_INFO, tcp(7)). The error is that of the system call, or
// syscall.EINVAL if the connection has no socket.
func Of(conn net.Conn) (*unix.TCPInfo, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return nil, err
	}
	return info, infoErr
}
