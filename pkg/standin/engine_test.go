package standin

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func start(c *quicktest.C, o EngineOptions) (*Engine, engine.Engine) {
	o.Models = []string{"m"}
	e := NewEngine(o, quiet)
	server := httptest.NewServer(e)
	c.Cleanup(server.Close)
	return e, engine.NewHTTP(server.Listener.Addr().String(), server.Client())
}

func read(c *quicktest.C, s engine.Stream) (tokens []string, reason string) {
	for {
		e, err := s.Next(context.Background())
		c.Assert(err, quicktest.IsNil)
		switch e.Kind {
		case engine.Token:
			tokens = append(tokens, e.Text)
		case engine.Finished:
			return tokens, e.FinishReason
		}
	}
}

// Guards against a check of answers that cannot fail: each change of an answer
// must be found.
func TestVerify(t *testing.T) {
	c := quicktest.New(t)
	answer := Expected("p", 7, 10)
	c.Assert(Verify("p", 7, answer), quicktest.IsNil)
	other := Expected("p", 8, 10)
	for name, changed := range map[string][]string{
		"missing":  append(append([]string{}, answer[:4]...), answer[5:]...),
		"repeated": append(append([]string{}, answer[:5]...), answer[4:]...),
		"mixed":    append(append([]string{}, answer[:5]...), other[5:]...),
		"swapped":  {answer[0], answer[2], answer[1]},
	} {
		c.Check(Verify("p", 7, changed), quicktest.Not(quicktest.IsNil), quicktest.Commentf(name))
	}
	c.Check(Verify("q", 7, answer), quicktest.Not(quicktest.IsNil))
}

// Guards against an engine that does not go on from a prefix, resume, cancel
// or refuse as engines do.
func TestEngineProtocol(t *testing.T) {
	c := quicktest.New(t)
	e, client := start(c, EngineOptions{Slots: 1, Interval: time.Millisecond})
	ctx := context.Background()
	want := Expected("p", 7, 20)
	r := engine.Request{Stream: "s.1", Model: "m", Prompt: "p", Prefix: want[:5], MaxTokens: 20, Seed: 7}
	s, err := client.Start(ctx, r)
	c.Assert(err, quicktest.IsNil)
	tokens, reason := read(c, s)
	c.Assert(tokens, quicktest.DeepEquals, want[5:])
	c.Assert(reason, quicktest.Equals, "length")
	s, err = client.Resume(ctx, "s.1", 12)
	c.Assert(err, quicktest.IsNil)
	tokens, _ = read(c, s)
	c.Assert(tokens, quicktest.DeepEquals, want[12:])
	_, err = client.Resume(ctx, "other", 0)
	c.Assert(err, quicktest.ErrorMatches, "unknown_stream.*")

	long := engine.Request{Stream: "s.2", Model: "m", Prompt: "p", MaxTokens: 100000}
	s, err = client.Start(ctx, long)
	c.Assert(err, quicktest.IsNil)
	long.Stream = "s.3"
	_, err = client.Start(ctx, long)
	c.Assert(err, quicktest.ErrorMatches, "refused.*")
	load, err := client.Load(ctx)
	c.Assert(err, quicktest.IsNil)
	c.Assert(load, quicktest.Equals, engine.Load{Slots: 1, Running: 1})
	c.Assert(client.Cancel(ctx, "s.2"), quicktest.IsNil)
	_, reason = read(c, s)
	c.Assert(reason, quicktest.Equals, "cancelled")
	for e.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stand-in that does not tell engines that check the fencing
// number from those that ignore it.
func TestFencing(t *testing.T) {
	c := quicktest.New(t)
	for _, ignore := range []bool{false, true} {
		_, client := start(c, EngineOptions{Slots: 1, IgnoreFencing: ignore})
		ctx := context.Background()
		c.Assert(client.Order(ctx, engine.Order{Fence: 5, Action: "load", Target: "n"}), quicktest.IsNil)
		err := client.Order(ctx, engine.Order{Fence: 4, Action: "unload", Target: "m"})
		if ignore {
			c.Assert(err, quicktest.IsNil)
		} else {
			c.Assert(err, quicktest.ErrorMatches, "fenced.*")
		}
	}
}

// Guards against announcements that stop with one entry instance, and against
// a stop that interrupts a generation or is not announced.
func TestAnnounceAndLeave(t *testing.T) {
	c := quicktest.New(t)
	var mu sync.Mutex
	var last announcement
	left := 0
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/v1/backends/leave" {
			left++
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&last)
	}))
	defer entry.Close()
	e := NewEngine(EngineOptions{
		ID: "e", Address: "127.0.0.1:0", DataCentre: "a", Models: []string{"m"}, Slots: 2,
		Interval: 5 * time.Millisecond, AnnounceTo: []string{"127.0.0.1:1", entry.Listener.Addr().String()},
	}, quiet)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	var first announcement
	for first.Address == "" {
		time.Sleep(time.Millisecond)
		mu.Lock()
		first = last
		mu.Unlock()
	}
	c.Assert(first.Pools, quicktest.DeepEquals, []string{"m"})
	s, err := engine.NewHTTP(first.Address, http.DefaultClient).Start(context.Background(), engine.Request{
		Stream: "s.1", Model: "m", Prompt: "p", MaxTokens: 50, Seed: 7,
	})
	c.Assert(err, quicktest.IsNil)
	stop()
	tokens, _ := read(c, s)
	c.Assert(Verify("p", 7, tokens), quicktest.IsNil)
	c.Assert(tokens, quicktest.HasLen, 50)
	c.Assert(<-done, quicktest.IsNil)
	c.Assert(left, quicktest.Equals, 1)
}
