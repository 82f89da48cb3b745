package generation

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

// readWithReconnects reads one answer to its end. Like a caller, it reconnects to
// a random instance after an error or 1.5 s without an event.
func (c *cluster) readWithReconnects(tokens int) ([]string, string, error) {
	deadline := time.Now().Add(60 * time.Second)
	var answer []string
	stream := ""
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		n := c.nodes[rand.IntN(len(c.nodes))].service
		var s Session
		var err error
		if stream == "" {
			s, err = n.Open(ctx, newRequest(tokens))
		} else {
			s, err = n.Resume(ctx, "o", stream, len(answer)-1)
		}
		cancel()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		stream = s.StreamID()
		for err == nil {
			var e Event
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			e, err = s.Next(ctx)
			cancel()
			if err == nil && !e.Finished {
				if e.Position != len(answer) {
					return answer, stream, errors.New("a position is missing or repeated")
				}
				answer = append(answer, e.Text)
			}
		}
		s.Close()
		if errors.Is(err, io.EOF) {
			return answer, stream, nil
		}
	}
	return answer, stream, errors.New("the answer does not end")
}

// Guards against errors that only combined injected faults trigger: at random one
// instance and one engine are frozen and some connections go silent, while callers
// reconnect to any instance.
func TestChaos(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: []string{"a", "a", "b", "b", "c"}, engineCount: 4, tokenInterval: 10 * time.Millisecond, attemptChains: true,
		linkDelay: time.Millisecond,
	})
	const callers, tokens = 30, 400
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			answer, stream, err := c.readWithReconnects(tokens)
			c.Check(err, quicktest.IsNil)
			c.Check(len(answer), quicktest.Equals, tokens)
			c.Check(standin.VerifyTokens("prompt", Seed(stream), answer), quicktest.IsNil)
		})
	}
	done := make(chan struct{})
	go func() { running.Wait(); close(done) }()
	for rounds := 0; ; rounds++ {
		n, e := c.nodes[rand.IntN(len(c.nodes))], c.backends[rand.IntN(len(c.backends))]
		frozen := rand.IntN(2) == 0
		if frozen {
			c.setFrozen(n, true)
		}
		if rand.IntN(2) == 0 {
			e.Freeze()
		}
		c.links.forEach(func(from, _ string, l *link) {
			if from != n.id && rand.IntN(10) == 0 {
				l.silence()
			}
		})
		time.Sleep(rand.N(1500 * time.Millisecond))
		c.setFrozen(n, false)
		e.Unfreeze()
		select {
		case <-done:
			t.Logf("%d answers complete after %d rounds of injected faults", callers, rounds+1)
			return
		case <-time.After(rand.N(time.Second)):
		}
	}
}
