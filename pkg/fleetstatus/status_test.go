package fleetstatus

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

const (
	gatewayMetrics = `# TYPE gp_gateway_ready gauge
gp_gateway_ready{otel_scope_name="gateway"} 1
# TYPE gp_gateway_revision gauge
gp_gateway_revision{otel_scope_name="gateway"} %d
# TYPE gp_gateway_coordinators_heard gauge
gp_gateway_coordinators_heard 3
# TYPE gp_gateway_servers gauge
gp_gateway_servers 27
`
	coordinatorMetrics = `# TYPE gp_coordinator_role gauge
gp_coordinator_role 3
# TYPE gp_coordinator_revision gauge
gp_coordinator_revision 7
# TYPE gp_coordinator_followers gauge
gp_coordinator_followers 6
`
)

func serveMetrics(t *testing.T, text string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://") + "/metrics"
}

// Guards against a status that omits a process that does not answer, an old revision, or a control
// group without a leader.
func TestStatus(t *testing.T) {
	behind := serveMetrics(t, fmt.Sprintf(gatewayMetrics, 6))
	current := serveMetrics(t, fmt.Sprintf(gatewayMetrics, 7))
	leader := serveMetrics(t, coordinatorMetrics)
	unrelated := serveMetrics(t, "# TYPE go_goroutines gauge\ngo_goroutines 3\n")
	malformed := serveMetrics(t, "{{{")
	blankInName := testnet.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX Sum: 5\r\n\r\n"+gatewayMetrics, 7)
		}
	}) + "/metrics"
	got := Collect(context.Background(), []string{current, leader})
	qt.Assert(t, got[0], qt.DeepEquals, ProcessStatus{Address: current, Kind: "gateway", Revision: 7, Ready: true, ActivePeers: 3, Servers: 27})
	qt.Assert(t, got[1], qt.DeepEquals, ProcessStatus{Address: leader, Kind: "coordinator", Revision: 7, Role: "leader", ActivePeers: 6})
	qt.Assert(t, Faults(got), qt.HasLen, 0)
	got = Collect(context.Background(), []string{behind, leader, unrelated, malformed, blankInName, "127.0.0.1:1/metrics"})
	faults := strings.Join(Faults(got), "\n")
	qt.Assert(t, faults, qt.Contains, behind+" has revision 6, the newest is 7")
	for _, address := range []string{unrelated, malformed, blankInName, "127.0.0.1:1/metrics"} {
		qt.Assert(t, faults, qt.Contains, address+" does not answer")
	}
	got[1].Role = "follower"
	qt.Assert(t, strings.Join(Faults(got), "\n"), qt.Contains, "0 coordinators are leaders, expected 1")
	var out strings.Builder
	qt.Assert(t, Write(&out, got), qt.IsNil)
	qt.Assert(t, strings.Count(out.String(), "\n! "), qt.Equals, 6, qt.Commentf("%s", out.String()))
}
