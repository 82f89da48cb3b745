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

func serve(c *quicktest.C, h http.HandlerFunc) Engine {
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	return NewHTTP(server.Listener.Addr().String(), server.Client())
}

func reason(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// Guards against events that are read wrongly and against bad input of an
// engine that is taken for a token.
func TestEvents(t *testing.T) {
	c := quicktest.New(t)
	long := strings.Repeat("x", 5000)
	for _, row := range []struct {
		name, body string
		want       []Event
	}{
		{"tokens", "data: {\"position\":3,\"text\":\"a\"}\n\ndata:{\"position\":4,\"text\":\"b\"}\r\n\r\n",
			[]Event{{Kind: Token, Position: 3, Text: "a"}, {Kind: Token, Position: 4, Text: "b"}}},
		{"heartbeat", ": heartbeat\n\ndata: {\"position\":0}\n\n", []Event{{Kind: Heartbeat}, {Kind: Token}}},
		{"end", "data: {\"position\":2,\"finish_reason\":\"stop\"}\n\n",
			[]Event{{Kind: Finished, Position: 2, FinishReason: "stop"}}},
		{"other fields", "event: x\nid: 1\ndata: {\"position\":0,\"text\":\"a\"}\n\n", []Event{{Kind: Token, Text: "a"}}},
		{"long token", "data: {\"position\":0,\"text\":\"" + long + "\"}\n\n", []Event{{Kind: Token, Text: long}}},
		{"no JSON", "data: {\n\n", nil},
		{"negative position", "data: {\"position\":-1,\"text\":\"a\"}\n\n", nil},
		{"too long", "data: " + strings.Repeat("x", 2*maxLineBytes) + "\n\n", nil},
	} {
		e := serve(c, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(row.body)) })
		s, err := e.Start(context.Background(), Request{})
		c.Assert(err, quicktest.IsNil)
		for _, want := range row.want {
			got, err := s.Next(context.Background())
			c.Assert(err, quicktest.IsNil, quicktest.Commentf(row.name))
			c.Check(got, quicktest.Equals, want, quicktest.Commentf(row.name))
		}
		_, err = s.Next(context.Background())
		c.Check(reason(err), quicktest.Equals, Broken, quicktest.Commentf(row.name))
		s.Close()
	}
}

// Guards against a wrong reason, which decides whether a caller may be told
// that nothing ran.
func TestReasons(t *testing.T) {
	c := quicktest.New(t)
	for status, want := range map[int]Reason{
		429: Refused, 503: Refused, 404: UnknownStream, 410: UnknownStream, 412: Fenced,
		400: BadRequest, 500: Broken, 302: Broken,
	} {
		e := serve(c, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, err := e.Start(context.Background(), Request{})
		c.Check(reason(err), quicktest.Equals, want, quicktest.Commentf("status %d", status))
	}
	_, err := NewHTTP("127.0.0.1:1", http.DefaultClient).Start(context.Background(), Request{})
	c.Check(reason(err), quicktest.Equals, NotSent)
}

// Guards against calls that outlive their context, and streams that end with it.
func TestContexts(t *testing.T) {
	c := quicktest.New(t)
	block := make(chan struct{})
	defer close(block)
	silent := serve(c, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-block:
		case <-r.Context().Done():
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := silent.Start(ctx, Request{})
	c.Assert(reason(err), quicktest.Equals, Broken)

	open := serve(c, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	ctx, cancel = context.WithCancel(context.Background())
	s, err := open.Start(ctx, Request{})
	c.Assert(err, quicktest.IsNil)
	cancel()
	next, cancelNext := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancelNext()
	_, err = s.Next(next)
	c.Assert(reason(err), quicktest.Equals, Broken)
	c.Assert(next.Err(), quicktest.Equals, context.DeadlineExceeded)
}
