package testnet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a server that cannot listen because an outgoing connection took its port, or because
// two servers got the same one.
func TestUnusedAddressesStayUnused(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	connections := 0
	for range 50 {
		unused := UnusedAddress(t)
		address, err := net.ResolveTCPAddr("tcp", unused)
		qt.Assert(t, err, qt.IsNil)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: address.Port}}
		if conn, err := dialer.Dial("tcp", server.Addr().String()); err == nil {
			defer conn.Close()
			connections++
		}
		listener, err := net.Listen("tcp", unused)
		qt.Assert(t, err, qt.IsNil)
		defer listener.Close()
		conn, err := net.Dial("tcp", unused)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		qt.Assert(t, conn.LocalAddr().(*net.TCPAddr).IP.String(), qt.Equals, "127.0.0.1")
	}
	qt.Assert(t, connections > 0, qt.IsTrue)
}
