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

var threeDataCentres = []string{"a", "b", "c"}

// Guards against missing, repeated or changed tokens without any failure.
func TestAnswerIsWhole(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 2, tokenInterval: time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(50))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 51)
	c.Assert(tokens, quicktest.DeepEquals, standin.ExpectedTokens("prompt", Seed(s.StreamID()), 50))
}

// Guards against lost or mixed tokens when the engine dies at the start, in
// the middle and at the end of an answer.
func TestEngineKilled(t *testing.T) {
	for _, killAt := range []int{1, 25, 48} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeDataCentres, engineCount: 3, tokenInterval: 5 * time.Millisecond, attemptChains: true,
		})
		s, err := c.nodes[0].service.Open(context.Background(), newRequest(50))
		c.Assert(err, quicktest.IsNil)
		tokens := c.readTokens(s, nil, killAt)
		c.leasedEngine().kill()
		c.readComplete(s, tokens, 50)
	}
}

// Guards against tokens of a frozen engine that come after the recovery.
func TestEngineFrozenAndBack(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeDataCentres, engineCount: 3, tokenInterval: 20 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 20)
	frozen := c.leasedEngine()
	frozen.Freeze()
	tokens = c.readTokens(s, tokens, 40)
	frozen.Unfreeze()
	c.readComplete(s, tokens, 100)
}

// Guards against the loss of a stream when its owner fails, alone and together
// with the engine.
func TestOwnerLost(t *testing.T) {
	for _, engineToo := range []bool{false, true} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeDataCentres, engineCount: 3, tokenInterval: 5 * time.Millisecond, attemptChains: true,
		})
		s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
		c.Assert(err, quicktest.IsNil)
		tokens := c.readTokens(s, nil, 20)
		if engineToo {
			c.leasedEngine().kill()
		}
		c.nodes[0].kill()
		for _, n := range c.nodes[1:] {
			s, err = n.service.Resume(context.Background(), "o", s.StreamID(), len(tokens)-1)
			c.Assert(err, quicktest.IsNil)
			tokens = c.readTokens(s, tokens, len(tokens)+20)
		}
		c.readComplete(s, tokens, 100)
	}
}

// Guards against a stream that stays without a copy after its holder failed.
func TestHolderLost(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 5 * time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(300))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 20)
	holder := c.nodes[1]
	if c.nodes[2].records.Stats().Records > 0 {
		holder = c.nodes[2]
	}
	holder.kill()
	tokens = c.readTokens(s, tokens, 100)
	for _, n := range c.nodes[1:] {
		if n != holder {
			c.Assert(n.records.Stats().Records, quicktest.Equals, 1)
		}
	}
	c.readComplete(s, tokens, 300)
}

// Guards against a new attempt at another engine when only the connection is silent.
func TestEngineConnectionSilent(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 20 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	c.links.between("n1", c.leasedEngine().address).silence()
	c.readComplete(s, tokens, 100)
	counts := c.leasedEngine().Counts()
	c.Assert(counts.Resumed, quicktest.Equals, 1)
	c.Assert(len(c.slots.leases), quicktest.Equals, 1)
}

// Guards against a move to another holder when only the connection is silent.
func TestHolderConnectionSilent(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 1, tokenInterval: 10 * time.Millisecond})
	owner := c.nodes[0]
	s, err := owner.service.Open(context.Background(), newRequest(200))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	holder := c.copyHolder(owner)
	c.links.forEach(func(from, _ string, l *link) {
		if from == owner.id && l.target != c.backends[0].address {
			l.silence()
		}
	})
	c.readComplete(s, tokens, 200)
	for _, n := range c.nodes[1:] {
		c.Assert(n.records.Stats().Records == 1, quicktest.Equals, n == holder)
	}
}

// Guards against tokens that a frozen owner sends after another instance took
// the stream over.
func TestFrozenOwnerSendsNothing(t *testing.T) {
	for _, resumeAt := range []int{1, 2} {
		c := newCluster(t, clusterOptions{
			dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 5 * time.Millisecond, attemptChains: true,
		})
		frozenSession, err := c.nodes[0].service.Open(context.Background(), newRequest(400))
		c.Assert(err, quicktest.IsNil)
		tokens := c.readTokens(frozenSession, nil, 20)
		c.setFrozen(c.nodes[0], true)
		s, err := c.nodes[resumeAt].service.Resume(context.Background(), "o", frozenSession.StreamID(), len(tokens)-1)
		c.Assert(err, quicktest.IsNil)
		answer := c.readTokens(s, tokens, 200)
		c.setFrozen(c.nodes[0], false)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for position := len(tokens); ; position++ {
			e, err := frozenSession.Next(ctx)
			if err != nil {
				c.Assert(err, quicktest.Equals, ErrTakenOver)
				break
			}
			c.Assert(e.Text, quicktest.Equals, answer[position])
		}
		_, err = c.nodes[0].service.Resume(context.Background(), "o", frozenSession.StreamID(), 399)
		c.Assert(err, quicktest.Not(quicktest.IsNil))
		c.readComplete(s, answer, 400)
	}
}

// Guards against two generations of one request when instances with different
// holders open the same idempotency key concurrently.
func TestSameKeyAtTwoInstances(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: []string{"a", "b", "a", "b"}, engineCount: 3, tokenInterval: 5 * time.Millisecond, attemptChains: true,
		linkDelay: 2 * time.Millisecond,
	})
	const keys = 10
	opened := make(chan Session, 4*keys)
	for i := range 4 * keys {
		r := newRequest(300)
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
		streams[(<-opened).StreamID()] = true
	}
	c.Assert(streams, quicktest.HasLen, keys)
	c.waitFor(func() bool { return c.nodes[0].service.RunningCount()+c.nodes[1].service.RunningCount() == keys })
	r := newRequest(300)
	r.IdempotencyKey = "a"
	for _, n := range c.nodes {
		s, err := n.service.Open(context.Background(), r)
		c.Assert(err, quicktest.IsNil)
		c.readComplete(s, nil, 300)
	}
	r.Prompt = "another"
	_, err := c.nodes[0].service.Open(context.Background(), r)
	c.Assert(err, quicktest.Equals, ErrKeyReused)
	c.waitFor(func() bool {
		return c.backends[0].Running()+c.backends[1].Running()+c.backends[2].Running() == 0
	})
}

// Guards against access to a stream by other organisations.
func TestOtherOrganisation(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 1, tokenInterval: 5 * time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 5)
	for _, n := range c.nodes {
		_, err := n.service.Resume(context.Background(), "other", s.StreamID(), -1)
		c.Assert(err, quicktest.Equals, ErrNotFound)
	}
	c.readComplete(s, tokens, 100)
}

// Guards against a refusal that leaves work running, and against the refusal
// of a generation that already runs.
func TestRefusal(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 5 * time.Millisecond})
	c.slots.setRefuseAll(true)
	_, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	var refusal *broker.Refusal
	c.Assert(errors.As(err, &refusal), quicktest.IsTrue)
	for _, b := range c.backends {
		c.Assert(b.Counts().Started, quicktest.Equals, 0)
	}
	c.Assert(c.nodes[0].records.Stats(), quicktest.Equals, streamrecord.Stats{})
	c.slots.setRefuseAll(false)
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	c.slots.setRefuseAll(true)
	c.leasedEngine().kill()
	time.Sleep(500 * time.Millisecond)
	c.slots.setRefuseAll(false)
	c.readComplete(s, tokens, 100)
}

// Guards against a preempted generation that keeps its slot or starts again.
func TestPreempted(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 5 * time.Millisecond, attemptChains: true,
	})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(100))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	preemptedEngine := c.leasedEngine()
	close(c.slots.leases[0].preempted)
	c.readComplete(s, tokens, 100)
	c.Assert(c.slots.leases, quicktest.HasLen, 2)
	c.Assert(c.slots.leases[0].usage.Outcome, quicktest.Equals, broker.Cancelled)
	c.waitFor(func() bool { return c.slots.leases[1].reportedUsage() != nil })
	c.Assert(c.slots.leases[0].usage.Tokens+c.slots.leases[1].reportedUsage().Tokens, quicktest.Equals, 100)
	c.waitFor(func() bool { return preemptedEngine.Counts().Cancelled == 1 })
}

// Guards against a generation that keeps waiting for a slot, and then runs, after
// another instance took its stream over.
func TestTakenOverWhileWaiting(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 1, tokenInterval: 5 * time.Millisecond})
	waiting := make(chan struct{}, 10)
	n := c.nodes[0].service
	n.slots = blockingSlots{waiting}
	failed := make(chan error, 1)
	go func() {
		_, err := n.Open(context.Background(), newRequest(100))
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
	c.readComplete(s, nil, 100)
}

// blockingSlots is a broker that never grants a slot. It signals each request.
type blockingSlots struct{ waiting chan struct{} }

func (b blockingSlots) Acquire(ctx context.Context, _ broker.Request) (broker.Lease, error) {
	b.waiting <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a stream without a caller that never ends, and against one that
// ends before the detached timeout.
func TestDetached(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 1, tokenInterval: 5 * time.Millisecond})
	n := c.nodes[0]
	n.service.detachedTimeout = 300 * time.Millisecond
	s, err := n.service.Open(context.Background(), newRequest(1000))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	s.Close()
	time.Sleep(100 * time.Millisecond)
	s, err = n.service.Resume(context.Background(), "o", s.StreamID(), 9)
	c.Assert(err, quicktest.IsNil)
	time.Sleep(400 * time.Millisecond)
	c.readTokens(s, tokens, 60)
	s.Close()
	c.waitFor(func() bool { return n.service.RunningCount() == 0 && c.backends[0].Running() == 0 })
}

// Guards against a stall when no other instance exists or is reachable.
func TestAlone(t *testing.T) {
	c := newCluster(t, clusterOptions{dataCentres: []string{"a"}, engineCount: 1, tokenInterval: time.Millisecond})
	s, err := c.nodes[0].service.Open(context.Background(), newRequest(50))
	c.Assert(err, quicktest.IsNil)
	c.readComplete(s, nil, 50)

	c = newCluster(t, clusterOptions{dataCentres: threeDataCentres, engineCount: 1, tokenInterval: 10 * time.Millisecond})
	s, err = c.nodes[0].service.Open(context.Background(), newRequest(600))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 10)
	for _, m := range c.nodes[1:] {
		m.kill()
	}
	c.readComplete(s, tokens, 600)
}

// Guards against a takeover from the outdated copy of an earlier holder.
func TestOutdatedCopy(t *testing.T) {
	c := newCluster(t, clusterOptions{
		dataCentres: threeDataCentres, engineCount: 2, tokenInterval: 5 * time.Millisecond, attemptChains: true,
	})
	owner := c.nodes[0]
	s, err := owner.service.Open(context.Background(), newRequest(600))
	c.Assert(err, quicktest.IsNil)
	tokens := c.readTokens(s, nil, 20)
	first := c.copyHolder(owner)
	c.setFrozen(first, true)
	tokens = c.readTokens(s, tokens, 100)
	c.setFrozen(first, false)
	owner.kill()
	s, err = first.service.Resume(context.Background(), "o", s.StreamID(), 99)
	c.Assert(err, quicktest.IsNil)
	c.readComplete(s, tokens, 600)
}
