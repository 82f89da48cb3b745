package main

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

// Guards against a process that serves only some of its endpoints, or that does not
// exit after its context is cancelled.
func TestRunServesAndStops(t *testing.T) {
	s := settings.DefaultControl()
	s.Instance = settings.Instance{ID: "c1", DataCentre: "dc1", Region: "west"}
	s.PeerAddress, s.OperatorAddress, s.DataFolder = testnet.UnusedAddress(t), testnet.UnusedAddress(t), t.TempDir()
	s.Members = []settings.Peer{{ID: "c1", DataCentre: "dc1", Address: s.PeerAddress}}
	s.Operators = map[string]string{"rozenn": document.HashKey("key-1")}
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- run(ctx, s, slog.New(slog.DiscardHandler)) }()
	statusOf := func(path string) int {
		response, err := http.Get("http://" + s.OperatorAddress + path)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for deadline := time.Now().Add(20 * time.Second); statusOf("/readyz") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not ready within 20 s"))
	}
	for path, wantStatus := range map[string]int{
		"/healthz": http.StatusOK, "/metrics": http.StatusOK, "/console/sign-in": http.StatusOK, "/v1/config": http.StatusUnauthorized,
	} {
		qt.Assert(t, statusOf(path), qt.Equals, wantStatus, qt.Commentf(path))
	}
	cancel()
	select {
	case err := <-runResult:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(2 * stopTimeout):
		t.Fatal("run did not return after its context was cancelled")
	}
}
