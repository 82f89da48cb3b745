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

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func startEngine(c *quicktest.C, o EngineOptions) (*Engine, engine.Engine) {
	o.Models = []string{"m"}
	e := NewEngine(o, discardLogger)
	server := httptest.NewServer(e)
	c.Cleanup(server.Close)
	return e, engine.NewHTTP(server.Listener.Addr().String(), server.Client())
}

func readOutput(c *quicktest.C, s engine.Stream) (tokens []string, reason string) {
	for {
		event, err := s.Next(context.Background())
		c.Assert(err, quicktest.IsNil)
		switch event.Kind {
		case engine.Token:
			tokens = append(tokens, event.Text)
		case engine.Finished:
			return tokens, event.FinishReason
		}
	}
}

// Guards against a VerifyTokens that accepts wrong output: it must detect a missing,
// repeated, mixed or swapped token, and another prompt.
func TestVerifyTokens(t *testing.T) {
	c := quicktest.New(t)
	answer := ExpectedTokens("p", 7, 10)
	c.Assert(VerifyTokens("p", 7, answer), quicktest.IsNil)
	otherSeedAnswer := ExpectedTokens("p", 8, 10)
	for name, altered := range map[string][]string{
		"missing":  append(append([]string{}, answer[:4]...), answer[5:]...),
		"repeated": append(append([]string{}, answer[:5]...), answer[4:]...),
		"mixed":    append(append([]string{}, answer[:5]...), otherSeedAnswer[5:]...),
		"swapped":  {answer[0], answer[2], answer[1]},
	} {
		c.Check(VerifyTokens("p", 7, altered), quicktest.Not(quicktest.IsNil), quicktest.Commentf(name))
	}
	c.Check(VerifyTokens("q", 7, answer), quicktest.Not(quicktest.IsNil))
}

// Guards against a stand-in that differs from real engines in how it continues
// after a prefix, resumes, cancels and refuses.
func TestEngineProtocol(t *testing.T) {
	c := quicktest.New(t)
	e, client := startEngine(c, EngineOptions{Slots: 1, TokenInterval: time.Millisecond})
	ctx := context.Background()
	want := ExpectedTokens("p", 7, 20)
	request := engine.Request{StreamID: "s.1", Model: "m", Prompt: "p", Prefix: want[:5], MaxTokens: 20, Seed: 7}
	stream, err := client.Start(ctx, request)
	c.Assert(err, quicktest.IsNil)
	tokens, reason := readOutput(c, stream)
	c.Assert(tokens, quicktest.DeepEquals, want[5:])
	c.Assert(reason, quicktest.Equals, "length")
	stream, err = client.Resume(ctx, "s.1", 12)
	c.Assert(err, quicktest.IsNil)
	tokens, _ = readOutput(c, stream)
	c.Assert(tokens, quicktest.DeepEquals, want[12:])
	_, err = client.Resume(ctx, "other", 0)
	c.Assert(err, quicktest.ErrorMatches, "unknown_stream.*")

	longRequest := engine.Request{StreamID: "s.2", Model: "m", Prompt: "p", MaxTokens: 100000}
	stream, err = client.Start(ctx, longRequest)
	c.Assert(err, quicktest.IsNil)
	longRequest.StreamID = "s.3"
	_, err = client.Start(ctx, longRequest)
	c.Assert(err, quicktest.ErrorMatches, "refused.*")
	load, err := client.LoadReport(ctx)
	c.Assert(err, quicktest.IsNil)
	c.Assert(load, quicktest.Equals, engine.LoadReport{Slots: 1, Running: 1})
	c.Assert(client.Cancel(ctx, "s.2"), quicktest.IsNil)
	_, reason = readOutput(c, stream)
	c.Assert(reason, quicktest.Equals, "cancelled")
	for e.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an engine that accepts outdated fencing numbers without
// IgnoreFencing, or refuses them with it.
func TestFencing(t *testing.T) {
	c := quicktest.New(t)
	for _, ignoreFencing := range []bool{false, true} {
		_, client := startEngine(c, EngineOptions{Slots: 1, IgnoreFencing: ignoreFencing})
		ctx := context.Background()
		c.Assert(client.Order(ctx, engine.Order{Fence: 5, Action: "load", Target: "n"}), quicktest.IsNil)
		err := client.Order(ctx, engine.Order{Fence: 4, Action: "unload", Target: "m"})
		if ignoreFencing {
			c.Assert(err, quicktest.IsNil)
		} else {
			c.Assert(err, quicktest.ErrorMatches, "fenced.*")
		}
	}
}

// Guards against announcements that end when one entry instance is unreachable,
// and against a planned stop that interrupts a generation or sends no leave notice.
func TestAnnounceAndLeave(t *testing.T) {
	c := quicktest.New(t)
	var mu sync.Mutex
	var latest announcement
	leaveNotices := 0
	entryServer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == "/v1/backends/leave" {
			leaveNotices++
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&latest)
	}))
	defer entryServer.Close()
	e := NewEngine(EngineOptions{
		ID: "e", Address: "127.0.0.1:0", DataCentre: "a", Models: []string{"m"}, Slots: 2,
		TokenInterval: 5 * time.Millisecond, EntryAddresses: []string{"127.0.0.1:1", entryServer.Listener.Addr().String()},
	}, discardLogger)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	var announced announcement
	for announced.Address == "" {
		time.Sleep(time.Millisecond)
		mu.Lock()
		announced = latest
		mu.Unlock()
	}
	c.Assert(announced.Pools, quicktest.DeepEquals, []string{"m"})
	stream, err := engine.NewHTTP(announced.Address, http.DefaultClient).Start(context.Background(), engine.Request{
		StreamID: "s.1", Model: "m", Prompt: "p", MaxTokens: 50, Seed: 7,
	})
	c.Assert(err, quicktest.IsNil)
	stop()
	tokens, _ := readOutput(c, stream)
	c.Assert(VerifyTokens("p", 7, tokens), quicktest.IsNil)
	c.Assert(tokens, quicktest.HasLen, 50)
	c.Assert(<-done, quicktest.IsNil)
	c.Assert(leaveNotices, quicktest.Equals, 1)
}
