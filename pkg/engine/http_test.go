package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newTestEngine returns a client of an engine that is simulated by h.
func newTestEngine(c *quicktest.C, h http.HandlerFunc) Engine {
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	return NewHTTP(server.Listener.Addr().String(), server.Client())
}

// reasonOf returns the reason of an *Error, or an empty reason for other errors.
func reasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// TestEvents checks that events are decoded correctly, and that invalid data from
// an engine is not returned as a token.
func TestEvents(t *testing.T) {
	c := quicktest.New(t)
	longText := strings.Repeat("x", 5000)
	for _, test := range []struct {
		name, body string
		want       []Event
	}{
		{"tokens", "data: {\"position\":3,\"text\":\"a\"}\n\ndata:{\"position\":4,\"text\":\"b\"}\r\n\r\n",
			[]Event{{Kind: Token, Position: 3, Text: "a"}, {Kind: Token, Position: 4, Text: "b"}}},
		{"heartbeat", ": heartbeat\n\ndata: {\"position\":0}\n\n", []Event{{Kind: Heartbeat}, {Kind: Token}}},
		{"end", "data: {\"position\":2,\"finish_reason\":\"stop\"}\n\n",
			[]Event{{Kind: Finished, Position: 2, FinishReason: "stop"}}},
		{"other fields", "event: x\nid: 1\ndata: {\"position\":0,\"text\":\"a\"}\n\n", []Event{{Kind: Token, Text: "a"}}},
		{"long token", "data: {\"position\":0,\"text\":\"" + longText + "\"}\n\n", []Event{{Kind: Token, Text: longText}}},
		{"no JSON", "data: {\n\n", nil},
		{"negative position", "data: {\"position\":-1,\"text\":\"a\"}\n\n", nil},
		{"too long", "data: " + strings.Repeat("x", 2*maxLineBytes) + "\n\n", nil},
	} {
		e := newTestEngine(c, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.body)) })
		s, err := e.Start(context.Background(), Request{})
		c.Assert(err, quicktest.IsNil)
		for _, want := range test.want {
			got, err := s.Next(context.Background())
			c.Assert(err, quicktest.IsNil, quicktest.Commentf(test.name))
			c.Check(got, quicktest.Equals, want, quicktest.Commentf(test.name))
		}
		_, err = s.Next(context.Background())
		c.Check(reasonOf(err), quicktest.Equals, MayHaveRun, quicktest.Commentf(test.name))
		s.Close()
	}
}

// TestReasons checks the reason of each failure. It decides whether a caller may
// be told that the work did not run.
func TestReasons(t *testing.T) {
	c := quicktest.New(t)
	for status, want := range map[int]Reason{
		429: Refused, 503: Refused, 404: UnknownStream, 410: UnknownStream, 412: Fenced,
		400: BadRequest, 500: MayHaveRun, 302: MayHaveRun,
	} {
		e := newTestEngine(c, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, err := e.Start(context.Background(), Request{})
		c.Check(reasonOf(err), quicktest.Equals, want, quicktest.Commentf("status %d", status))
	}
	_, err := NewHTTP("127.0.0.1:1", http.DefaultClient).Start(context.Background(), Request{})
	c.Check(reasonOf(err), quicktest.Equals, NotSent)
}

// TestContexts checks that Start and Next return when their context ends, and that
// a stream outlives the context of Start.
func TestContexts(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	defer close(release)
	unresponsive := newTestEngine(c, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := unresponsive.Start(ctx, Request{})
	c.Assert(reasonOf(err), quicktest.Equals, MayHaveRun)

	streaming := newTestEngine(c, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	ctx, cancel = context.WithCancel(context.Background())
	s, err := streaming.Start(ctx, Request{})
	c.Assert(err, quicktest.IsNil)
	cancel()
	nextCtx, cancelNext := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancelNext()
	_, err = s.Next(nextCtx)
	c.Assert(reasonOf(err), quicktest.Equals, MayHaveRun)
	c.Assert(nextCtx.Err(), quicktest.Equals, context.DeadlineExceeded)
}
