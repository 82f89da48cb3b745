package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
)

// startServer starts a server that gives the same response to every request, or drops
// the connection if status is 0. It returns the server's address and request count.
func startServer(t *testing.T, status int, body string) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if status == 0 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.URL, requests
}

// startMalformedServer starts a server whose response to every request has a malformed field name.
func startMalformedServer(t *testing.T, body string) (address string) {
	return "http://" + testnet.Serve(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
}

const (
	notRunBody   = `{"error":{"outcome":"not_run","code":"unavailable","message":"no leader"}}`
	unknownBody  = `{"error":{"outcome":"unknown","code":"unknown","message":"no answer"}}`
	conflictBody = `{"error":{"outcome":"not_run","code":"conflict","message":"the base is version 1, in force is version 2","field":"base","version":2}}`
)

// Guards against an exit status that reports a change as not made although it may
// have been, and against a dropped response that is not retried.
func TestClientOutcomes(t *testing.T) {
	dropping, droppingRequests := startServer(t, 0, "")
	accepting, acceptingRequests := startServer(t, 200, `{"outcome":"accepted"}`)
	withoutLeader, _ := startServer(t, 503, notRunBody)
	undecided, _ := startServer(t, 504, unknownBody)
	conflicting, _ := startServer(t, 409, conflictBody)
	nonJSON, _ := startServer(t, 502, "bad gateway")
	malformed := startMalformedServer(t, `{"outcome":"accepted"}`)
	unreachable := "http://" + testnet.UnusedAddress(t)
	cases := []struct {
		name      string
		method    string
		addresses []string
		want      subcommands.ExitStatus
	}{
		{"dropped response, then accepted", "PUT", []string{unreachable, dropping, accepting}, subcommands.ExitSuccess},
		{"no leader", "PUT", []string{withoutLeader, unreachable}, exitUnavailable},
		{"unknown outcome, then no leader", "PUT", []string{undecided, withoutLeader}, exitOutcomeUnknown},
		{"dropped response, then no leader", "PUT", []string{dropping, withoutLeader}, exitOutcomeUnknown},
		{"response without JSON", "PUT", []string{nonJSON}, exitOutcomeUnknown},
		{"malformed response", "PUT", []string{malformed}, exitOutcomeUnknown},
		{"malformed response to a read", "GET", []string{malformed}, exitUnavailable},
		{"dropped response to a read", "GET", []string{dropping}, exitUnavailable},
		{"dropped response, then conflict", "PUT", []string{dropping, conflicting, accepting}, exitRefused},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			timeout := 300 * time.Millisecond
			if test.want == subcommands.ExitSuccess || test.want == exitRefused {
				timeout = 30 * time.Second // These end with a final response, not at the timeout.
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			client := &client{addresses: test.addresses}
			_, err := client.call(ctx, test.method, "/v1/config", nil)
			got := subcommands.ExitSuccess
			if err != nil {
				got = exitStatus(err)
			}
			qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
	qt.Assert(t, droppingRequests.Load(), qt.Not(qt.Equals), int64(0))
	qt.Assert(t, acceptingRequests.Load(), qt.Equals, int64(1))
}
