package broker

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
)

// Guards against counters that are registered but not exported.
func TestRegisterMetrics(t *testing.T) {
	c := newCluster(t, "a")
	c.announce("a", 2, "b0")
	n := c.instances["a-0"]
	metrics, err := telemetry.New()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n.RegisterMetrics(metrics.Meter("broker")), qt.IsNil)
	lease := n.acquire(t, time.Second)
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	lease.Release(Usage{Outcome: OK})
	for _, name := range []string{"broker_decisions_local_total", "broker_requests_moved_total", `pool="m",rank="urgent"`} {
		qt.Assert(t, strings.Contains(w.Body.String(), name), qt.IsTrue, qt.Commentf("%s in %s", name, w.Body.String()))
	}
}
