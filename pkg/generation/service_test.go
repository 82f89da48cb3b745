package generation

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
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

// Guards against a restart at another engine when only the connection is silent.
func TestEngineConnectionSilent(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeCentres, engines: 2, interval: 20 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), request(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	c.links.to("n1", c.current().address).silence()
	c.whole(s, tokens, 100)
	counts := c.current().Counts()
	c.Assert(counts.Resumed, quicktest.Equals, 1)
	c.Assert(len(c.slots.leases), quicktest.Equals, 1)
}

// Guards against a move to another holder when only the connection is silent.
func TestHolderConnectionSilent(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 1, interval: 10 * time.Millisecond})
	owner := c.nodes[0]
	s, err := owner.service.Open(context.Background(), request(200))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	holder := c.holder(owner)
	c.links.each(func(from, _ string, l *link) {
		if from == owner.id && l.target != c.backends[0].address {
			l.silence()
		}
	})
	c.whole(s, tokens, 200)
	for _, n := range c.nodes[1:] {
		c.Assert(n.store.Stats().Records == 1, quicktest.Equals, n == holder)
	}
}

// Guards against tokens that a frozen owner sends after another instance took
// the stream over.
func TestFrozenOwnerSendsNothing(t *testing.T) {
	for _, resumeAt := range []int{1, 2} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeCentres, engines: 2, interval: 5 * time.Millisecond, attemptChains: true,
		})
		old, err := c.nodes[0].service.Open(context.Background(), request(400))
		c.Assert(err, quicktest.IsNil)
		tokens := c.read(old, nil, 20)
		c.freeze(c.nodes[0], true)
		s, err := c.nodes[resumeAt].service.Resume(context.Background(), "o", old.Stream(), len(tokens)-1)
		c.Assert(err, quicktest.IsNil)
		answer := c.read(s, tokens, 200)
		c.freeze(c.nodes[0], false)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for position := len(tokens); ; position++ {
			e, err := old.Next(ctx)
			if err != nil {
				c.Assert(err, quicktest.Equals, ErrTakenOver)
				break
			}
			c.Assert(e.Text, quicktest.Equals, answer[position])
		}
		_, err = c.nodes[0].service.Resume(context.Background(), "o", old.Stream(), 399)
		c.Assert(err, quicktest.Not(quicktest.IsNil))
		c.whole(s, answer, 400)
	}
}

// Guards against two generations of one request after opens with one key at
// the same time, at instances that choose different holders.
func TestSameKeyAtTwoInstances(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: []string{"a", "b", "a", "b"}, engines: 3, interval: 5 * time.Millisecond, attemptChains: true,
		delay: 2 * time.Millisecond,
	})
	const keys = 10
	opened := make(chan Session, 4*keys)
	for i := range 4 * keys {
		r := request(300)
		r.IdempotencyKey = string(rune('a' + i%keys))
		n := c.nodes[i/keys%2]
		go func() {
			s, err := n.service.Open(context.Background(), r)
			c.Check(err, quicktest.IsNil)
			opened <- s
		}()
	}
	streams := map[string]bool{}
	for range 4 * keys {
		streams[(<-opened).Stream()] = true
	}
	c.Assert(streams, quicktest.HasLen, keys)
	c.waitFor(func() bool { return c.nodes[0].service.Running()+c.nodes[1].service.Running() == keys })
	r := request(300)
	r.IdempotencyKey = "a"
	for _, n := range c.nodes {
		s, err := n.service.Open(context.Background(), r)
		c.Assert(err, quicktest.IsNil)
		c.whole(s, nil, 300)
	}
	r.Prompt = "another"
	_, err := c.nodes[0].service.Open(context.Background(), r)
	c.Assert(err, quicktest.Equals, ErrKeyReused)
	c.waitFor(func() bool {
		return c.backends[0].Running()+c.backends[1].Running()+c.backends[2].Running() == 0
	})
}

// Guards against access of other organisations to a stream.
func TestOtherOrganisation(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 1, interval: 5 * time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), request(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 5)
	for _, n := range c.nodes {
		_, err := n.service.Resume(context.Background(), "other", s.Stream(), -1)
		c.Assert(err, quicktest.Equals, ErrNotFound)
	}
	c.whole(s, tokens, 100)
}

// Guards against a refusal that leaves work running, and against the refusal
// of a generation that already runs.
func TestRefusal(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 2, interval: 5 * time.Millisecond})
	c.slots.setRefuse(true)
	_, err := c.nodes[0].service.Open(context.Background(), request(100))
	var refusal *broker.Refusal
	c.Assert(errors.As(err, &refusal), quicktest.IsTrue)
	for _, b := range c.backends {
		c.Assert(b.Counts().Started, quicktest.Equals, 0)
	}
	c.Assert(c.nodes[0].store.Stats(), quicktest.Equals, streamrecord.Stats{})
	c.slots.setRefuse(false)
	s, err := c.nodes[0].service.Open(context.Background(), request(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	c.slots.setRefuse(true)
	c.current().kill()
	time.Sleep(500 * time.Millisecond)
	c.slots.setRefuse(false)
	c.whole(s, tokens, 100)
}

// Guards against a preempted generation that keeps its slot or starts again.
func TestPreempted(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeCentres, engines: 2, interval: 5 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), request(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	first := c.current()
	close(c.slots.leases[0].preempted)
	c.whole(s, tokens, 100)
	c.Assert(c.slots.leases, quicktest.HasLen, 2)
	c.Assert(c.slots.leases[0].usage.Result, quicktest.Equals, broker.Cancelled)
	c.waitFor(func() bool { return c.slots.leases[1].used() != nil })
	c.Assert(c.slots.leases[0].usage.Tokens+c.slots.leases[1].used().Tokens, quicktest.Equals, 100)
	c.waitFor(func() bool { return first.Counts().Cancelled == 1 })
}

// Guards against a generation that still waits for a slot, and then runs, after
// another instance took its stream over.
func TestTakenOverWhileWaiting(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 1, interval: 5 * time.Millisecond})
	waiting := make(chan struct{}, 10)
	n := c.nodes[0].service
	n.slots = blocking{waiting}
	failed := make(chan error, 1)
	go func() {
		_, err := n.Open(context.Background(), request(100))
		failed <- err
	}()
	<-waiting
	n.mu.Lock()
	stream := ""
	for stream = range n.running {
	}
	n.mu.Unlock()
	s, err := c.nodes[1].service.Resume(context.Background(), "o", stream, -1)
	c.Assert(err, quicktest.IsNil)
	c.Assert(<-failed, quicktest.Equals, ErrTakenOver)
	c.whole(s, nil, 100)
}

// blocking grants nothing.
type blocking struct{ waiting chan struct{} }

func (b blocking) Acquire(ctx context.Context, _ broker.Request) (broker.Lease, error) {
	b.waiting <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against detached streams that run for ever or end at once.
func TestDetached(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 1, interval: 5 * time.Millisecond})
	n := c.nodes[0]
	n.service.detached = 300 * time.Millisecond
	s, err := n.service.Open(context.Background(), request(1000))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	s.Close()
	time.Sleep(100 * time.Millisecond)
	s, err = n.service.Resume(context.Background(), "o", s.Stream(), 9)
	c.Assert(err, quicktest.IsNil)
	time.Sleep(400 * time.Millisecond)
	c.read(s, tokens, 60)
	s.Close()
	c.waitFor(func() bool { return n.service.Running() == 0 && c.backends[0].Running() == 0 })
}

// Guards against a stall when no other instance exists or can be reached, and
// against tokens without a copy once one can be reached again.
func TestAlone(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: []string{"a"}, engines: 1, interval: time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), request(50))
	c.Assert(err, quicktest.IsNil)
	c.whole(s, nil, 50)

	c = newCluster(t, clusterOptions{dataCentres: threeCentres, engines: 1, interval: 10 * time.Millisecond})
	s, err = c.nodes[0].service.Open(context.Background(), request(600))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 10)
	for _, m := range c.nodes[1:] {
		m.kill()
	}
	c.whole(s, tokens, 600)
}

// Guards against the use of an outdated copy at an earlier holder.
func TestOutdatedCopy(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeCentres, engines: 2, interval: 5 * time.Millisecond, attemptChains: true,
	})
	owner := c.nodes[0]
	s, err := owner.service.Open(context.Background(), request(600))
	c.Assert(err, quicktest.IsNil)
	tokens := c.read(s, nil, 20)
	first := c.holder(owner)
	c.freeze(first, true)
	tokens = c.read(s, tokens, 100)
	c.freeze(first, false)
	owner.kill()
	s, err = first.service.Resume(context.Background(), "o", s.Stream(), 99)
	c.Assert(err, quicktest.IsNil)
	c.whole(s, tokens, 600)
}
