package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// answering serves one fixed answer and counts the requests.
func answering(t *testing.T, status int, body string) (address string, count *atomic.Int64) {
	count = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		if status == 0 { // The answer is lost.
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.URL, count
}

func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return "http://" + l.Addr().String()
}

const (
	notRun   = `{"error":{"outcome":"not_run","code":"unavailable","message":"no leader"}}`
	unknown  = `{"error":{"outcome":"unknown","code":"unknown","message":"no answer"}}`
	conflict = `{"error":{"outcome":"not_run","code":"conflict","message":"the base is version 1, in force is version 2","field":"base","version":2}}`
)

// Guards against an exit status that calls a change not made although it may
// be, and against a lost answer that is not asked for again.
func TestClientOutcomes(t *testing.T) {
	lost, lostCount := answering(t, 0, "")
	good, goodCount := answering(t, 200, `{"outcome":"accepted"}`)
	busy, _ := answering(t, 503, notRun)
	late, _ := answering(t, 504, unknown)
	loser, _ := answering(t, 409, conflict)
	garbled, _ := answering(t, 502, "bad gateway")
	closed := closedAddress(t)
	cases := []struct {
		name      string
		method    string
		addresses []string
		want      subcommands.ExitStatus
	}{
		{"next address after a lost answer", "PUT", []string{closed, lost, good}, subcommands.ExitSuccess},
		{"no leader", "PUT", []string{busy, closed}, exitUnavailable},
		{"unknown, then no leader", "PUT", []string{late, busy}, exitUnknown},
		{"lost answer, then no leader", "PUT", []string{lost, busy}, exitUnknown},
		{"garbled answer", "PUT", []string{garbled}, exitUnknown},
		{"lost answer to a read", "GET", []string{lost}, exitUnavailable},
		{"conflict after a lost answer", "PUT", []string{lost, loser, good}, exitRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limit := 300 * time.Millisecond
			if c.want == subcommands.ExitSuccess || c.want == exitRefused {
				limit = 30 * time.Second // These end with an answer, not with the time.
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			client := &client{addresses: c.addresses}
			_, err := client.call(ctx, c.method, "/v1/config", nil)
			got := subcommands.ExitSuccess
			if err != nil {
				got = statusOf(err)
			}
			qt.Assert(t, got, qt.Equals, c.want, qt.Commentf("%v", err))
		})
	}
	qt.Assert(t, lostCount.Load(), qt.Not(qt.Equals), int64(0))
	qt.Assert(t, goodCount.Load(), qt.Equals, int64(1))
}
