package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Replays the end of a network partition: probes detect that an unreachable server can
// be reached again, without a request to it, and keep the connection for later requests.
func TestLostServerIsProbed(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	address := testnet.UnusedAddress(t)
	f.HandleAnnouncements([]directory.Server{{
		ID: "a1", Service: "app", Address: address, DataCentre: "local", StartedMS: 1, Sequence: 1, State: directory.Ready, Slots: 6,
	}})
	allUnreachable := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.pool("app").AllUnreachable(time.Now())
	}
	f.mu.Lock()
	f.pool("app").RecordUnreachable("a1", time.Now())
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.runProbes(ctx)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, allUnreachable(), qt.IsTrue)
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	for deadline := time.Now().Add(2 * time.Second); allUnreachable(); time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	qt.Assert(t, f.client.IdleConnections(address), qt.Equals, 1)
}
