package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newEndlessEngine returns the client of an engine that answers each request with a head and then
// repeats some bytes until its connection is closed.
func newEndlessEngine(t *testing.T, head, bytes string) Engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, head)
				for chunk := strings.Repeat(bytes, 1+4096/len(bytes)); err == nil; {
					_, err = io.WriteString(c, chunk)
				}
			}()
		}
	}()
	return NewHTTP(l.Addr().String(), NewClient(nil))
}

// Guards against a generation that waits for ever, or fills the memory, when its engine sends a head
// or a body without end.
func TestEngineThatSendsWithoutEnd(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, sent := range map[string][2]string{
		"status line":       {"", "x"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Some: thing\r\n"},
		"event":             {events + "data: ", "x"},
		"lines of no event": {events, "retry: 1\n"},
		"blank lines":       {events, "\n"},
		"error":             {"HTTP/1.1 500 Error\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			startedAt := time.Now()
			stream, err := newEndlessEngine(t, sent[0], sent[1]).Start(ctx, Request{})
			if err == nil {
				defer stream.Close()
				_, err = stream.Next(ctx)
			}
			var typed *Error
			qt.Assert(t, errors.As(err, &typed), qt.IsTrue)
			qt.Assert(t, typed.Reason, qt.Equals, MayHaveRun)
			qt.Assert(t, time.Since(startedAt) < 3*time.Second, qt.IsTrue)
		})
	}
	// A load report is one JSON value of bounded size.
	_, err := newEndlessEngine(t, "HTTP/1.1 200 OK\r\n\r\n{\"x\":\"", "x").LoadReport(t.Context())
	qt.Assert(t, err, qt.IsNotNil)
}
