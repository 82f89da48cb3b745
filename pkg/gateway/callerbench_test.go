package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// BenchmarkSmallCall measures one call with a small body over a kept connection, from the caller's connection to
// a server and back.
func BenchmarkSmallCall(b *testing.B) {
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	defer dialer.Close()
	s := settings.DefaultGateway()
	s.Instance.DataCentre = "local"
	g := New(s, testProtocol{}, upstream.NewClient(nil), dialer, slog.New(slog.DiscardHandler))
	g.HandleUsageTotals(usage.Totals{Reporting: 1, Connected: 1, Settled: true}, usage.Report{})
	f := &fixture{Gateway: g}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		respondDone(w, r)
	}))
	defer server.Close()
	config, err := json.Marshal(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	g.HandlePublication(1, config)
	g.HandleAnnouncements([]directory.Server{{
		ID: "a", Service: "app", Address: server.Listener.Addr().String(), DataCentre: "local", StartedMS: 1, Sequence: 1, State: directory.Ready, Slots: 6,
	}})
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	balancer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	f.serveListeners(callers, balancer)
	defer f.callerServer.Close()
	defer f.readinessServer.Close()
	conn, err := net.Dial("tcp", callers.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: i%d\r\nContent-Length: 3\r\n\r\nask", i)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err, response)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
