package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a process that serves a part of its pages only, or that does
// not end when it is told to.
func TestRunServesAndStops(t *testing.T) {
	s := settings.DefaultControl()
	s.Instance = settings.Instance{ID: "c1", DataCentre: "dc1", Region: "west"}
	s.PeerAddress, s.OperatorAddress, s.DataFolder = freeAddress(t), freeAddress(t), t.TempDir()
	s.Members = []settings.Peer{{ID: "c1", DataCentre: "dc1", Address: s.PeerAddress}}
	s.Operators = map[string]string{"rozenn": document.HashKey("key-1")}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, s, slog.New(slog.DiscardHandler)) }()
	get := func(path string) int {
		response, err := http.Get("http://" + s.OperatorAddress + path)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for deadline := time.Now().Add(20 * time.Second); get("/readyz") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not ready within 20 s"))
	}
	for path, want := range map[string]int{
		"/healthz": http.StatusOK, "/metrics": http.StatusOK, "/console/sign-in": http.StatusOK, "/v1/config": http.StatusUnauthorized,
	} {
		qt.Assert(t, get(path), qt.Equals, want, qt.Commentf(path))
	}
	cancel()
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(2 * stopLimit):
		t.Fatal("the process does not stop")
	}
}
