package orders

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

// Guards against an order that is sent after its deadline because the process
// was paused since the order was planned.
func TestLateOrderIsNotSent(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	s, err := NewService(settings.DefaultControl(), nil, nil, server.Client(), noop.Meter{}, slog.New(slog.DiscardHandler))
	qt.Assert(t, err, qt.IsNil)
	o := Order{BackendID: "e1", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Order: engine.Order{Fence: 1, Action: Load, Target: "x"}}
	for _, test := range []struct {
		untilDeadline time.Duration
		calls         int32
		pending       int
	}{{-time.Millisecond, 0, 0}, {time.Minute, 1, 1}} {
		s.planner.beginLease(time.Now(), o.Fence)
		s.planner.pending[o.BackendID] = pendingOrder{action: o.Action, service: o.Target, sentAt: time.Now()}
		o.Deadline = time.Now().Add(test.untilDeadline)
		s.send(context.Background(), o)
		qt.Check(t, calls.Load(), qt.Equals, test.calls)
		qt.Check(t, s.planner.pending, qt.HasLen, test.pending)
	}
}
