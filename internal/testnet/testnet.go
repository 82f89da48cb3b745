// Package testnet provides loopback addresses and servers for tests.
package testnet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// calls counts the calls of UnusedAddress.
var calls atomic.Int64

// UnusedAddress returns a loopback IP address and port on which no server listens, and which nothing
// else takes before the test does: Linux gives ports of 127.0.0.1 to outgoing connections, those to
// other loopback addresses included, and other calls and processes get other IP addresses.
func UnusedAddress(tb testing.TB) string {
	tb.Helper()
	pid, call := os.Getpid(), calls.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>8&0x7f, pid&0xff, 1+call%254))
	if err != nil {
		tb.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		tb.Fatal(err)
	}
	return listener.Addr().String()
}

// Serve calls handle for each connection to a new listener, and closes the connection afterwards. It returns the
// address of the listener, which is closed at the end of the test.
func Serve(tb testing.TB, handle func(net.Conn)) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// AwaitUnread waits until a connection has bytes that have not been read, and leaves them there. The kernel resets a
// connection that is closed with unread bytes.
func AwaitUnread(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(peekErr, syscall.EAGAIN)
	})
	return errors.Join(err, peekErr)
}
