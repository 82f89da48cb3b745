package generation

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

var threeCentres = []string{"a", "b", "c"}

// Guards against missing, repeated or changed tokens without any failure.
func TestAnswerIsWhole(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 2, interval: time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), request(50))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 51)
	c.Assert(tokens, quicktest.DeepEquals, standin.Expected("prompt", Seed(s.Stream()), 50))
}

// Guards against lost or mixed tokens when the engine dies at the start, in
// the middle and at the end of an answer.
func TestEngineKilled(t *testing.T) {
	for _, at := range []int{1, 25, 48} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeCentres, engines: 3, interval: 5 * time.Millisecond, attemptChains: true,
		})
		s, err := c.nodes[0].service.Open(context.Background(), request(50))
		c.Assert(err, quicktest.IsNil)
		tokens := c.read(s, nil, at)
		c.current().kill()
		c.whole(s, tokens, 50)
	}
}

// Guards against tokens of a frozen engine that come after the recovery.
func TestEngineFrozenAndBack(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeCentres, engines: 3, interval: 20 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), request(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 20)
	frozen := c.current()
	frozen.Freeze()
	tokens = c.read(s, tokens, 40)
	frozen.Unfreeze()
	c.whole(s, tokens, 100)
}

// Guards against loss of the stream with its owner, alone and together with
// the engine.
func TestOwnerLost(t *testing.T) {
	for _, engineToo := range []bool{false, true} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeCentres, engines: 3, interval: 5 * time.Millisecond, attemptChains: true,
		})
		s, err := c.nodes[0].service.Open(context.Background(), request(100))
		c.Assert(err, quicktest.IsNil)
		tokens := c.read(s, nil, 20)
		if engineToo {
			c.current().kill()
		}
		c.nodes[0].kill()
		for _, n := range c.nodes[1:] {
			s, err = n.service.Resume(context.Background(), "o", s.Stream(), len(tokens)-1)
			c.Assert(err, quicktest.IsNil)
			tokens = c.read(s, tokens, len(tokens)+20)
		}
		c.whole(s, tokens, 100)
	}
}

// Guards against loss of the copy with its holder.
func TestHolderLost(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 2, interval: 5 * time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), request(300))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 20)
	holder := c.nodes[1]
	if c.nodes[2].store.Stats().Records > 0 {
		holder = c.nodes[2]
	}
	holder.kill()
	tokens = c.read(s, tokens, 100)
	for _, n := range c.nodes[1:] {
		if n != holder {
			c.Assert(n.store.Stats().Records, quicktest.Equals, 1)
		}
	}
	c.whole(s, tokens, 300)
}
