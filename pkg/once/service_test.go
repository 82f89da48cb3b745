package once

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// table is a member table that tests change.
type table struct {
	mu      sync.Mutex
	members map[string]membership.Member
}

type view struct {
	*table
	self membership.Member
}

func (v view) Self() membership.Member { return v.self }

func (v view) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []membership.Member
	for _, m := range v.members {
		if m.State == membership.Alive {
			list = append(list, m)
		}
	}
	return list
}

func (v view) Member(id string) (membership.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[id]
	return m, ok
}

func (t *table) set(m membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[m.ID] = m
}

// lossy loses the answers to claims while lose is set.
type lossy struct {
	server
	lose atomic.Bool
}

func (l *lossy) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	response, err := l.server.Claim(ctx, r)
	if l.lose.Load() {
		<-ctx.Done()
	}
	return response, err
}

type instance struct {
	*Service
	member membership.Member
	server *lossy
	kill   context.CancelFunc
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (t *table) start(tb testing.TB, id, dataCentre string) *instance {
	tb.Helper()
	m := membership.Member{ID: id, DataCentre: dataCentre, PeerAddress: freeAddress(tb)}
	t.set(m)
	log := slog.New(slog.DiscardHandler)
	counters := &rpc.Counters{}
	dialer := rpc.NewDialer(nil, counters)
	s := New(view{t, m}, dialer, "a secret of the deployment", log)
	ctx, kill := context.WithCancel(tb.Context())
	peers := rpc.NewServer(nil, counters, log)
	i := &instance{Service: s, member: m, server: &lossy{server: server{s}}, kill: kill}
	qt.Assert(tb, wire.DRPCRegisterOnce(peers.Mux(), i.server), qt.IsNil)
	qt.Assert(tb, peers.Listen(ctx, m.PeerAddress), qt.IsNil)
	tb.Cleanup(func() { kill(); _ = dialer.Close() })
	return i
}

func cluster(t testing.TB) (tab *table, a, b, c *instance) {
	tab = &table{members: map[string]membership.Member{}}
	return tab, tab.start(t, "a", "tanta"), tab.start(t, "b", "tanta"), tab.start(t, "c", "tanta")
}

var answer = Answer{Status: 201, Headers: map[string]string{"Content-Type": "text/plain"}, Body: []byte("order 7")}

// TestReplayFromAnyInstance guards G5 through any entry instance, and the replay
// of the answer after the loss of the home.
func TestReplayFromAnyInstance(t *testing.T) {
	_, a, b, c := cluster(t)
	key := a.Mint("boutique", 1)[0]
	v := b.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{1}).Reason, qt.Equals, ReasonStarted)
	qt.Assert(t, c.Service.Claim(t.Context(), "other", key, Digest{1}).Outcome, qt.Equals, Invalid)
	qt.Assert(t, b.Complete(t.Context(), v.Claim, answer), qt.IsNil)
	unfinished := a.Mint("boutique", 1)[0]
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", unfinished, Digest{1}).Outcome, qt.Equals, Claimed)
	for range 2 {
		again := c.Service.Claim(t.Context(), "boutique", key, Digest{1})
		qt.Assert(t, again.Outcome, qt.Equals, Answered)
		qt.Assert(t, *again.Answer, qt.DeepEquals, answer)
		qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{2}).Outcome, qt.Equals, Mismatch)
		a.kill()
	}
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", unfinished, Digest{1}).Outcome, qt.Equals, Unknown)
}

// TestRestartMakesKeysUnknown guards against keys that are new again because
// the record was lost.
func TestRestartMakesKeysUnknown(t *testing.T) {
	tab, a, b, _ := cluster(t)
	key := a.Mint("boutique", 1)[0]
	a.kill()
	tab.start(t, "a", "tanta")
	v := b.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Unknown)
}

// TestPlannedStop guards G7 for keys: after a planned stop of the home, and then
// of its successor, unused keys can be used and used ones cannot.
func TestPlannedStop(t *testing.T) {
	tab, a, b, c := cluster(t)
	keys := a.Mint("boutique", 6)
	large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxStoredAnswerBytes*3/4)}
	for _, key := range keys[:4] {
		v := b.Service.Claim(t.Context(), "boutique", key, Digest{1})
		qt.Assert(t, v.Outcome, qt.Equals, Claimed)
		qt.Assert(t, b.Complete(t.Context(), v.Claim, large), qt.IsNil)
	}
	running := c.Service.Claim(t.Context(), "boutique", keys[4], Digest{1})
	for _, stopped := range []*instance{a, b} {
		stopped.member.State = membership.Leaving
		tab.set(stopped.member)
		// The time for running streams may be used up before the hand-over.
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		qt.Assert(t, stopped.Stop(ended), qt.IsNil)
		v := c.Service.Claim(t.Context(), "boutique", keys[0], Digest{1})
		qt.Assert(t, v.Outcome, qt.Equals, Answered)
		qt.Assert(t, bytes.Equal(v.Answer.Body, large.Body), qt.IsTrue)
		qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[4], Digest{1}).Reason, qt.Equals, ReasonStarted)
	}
	a.kill()
	b.kill()
	qt.Assert(t, c.Complete(t.Context(), running.Claim, answer), qt.IsNil)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[5], Digest{1}).Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[5], Digest{1}).Reason, qt.Equals, ReasonStarted)
}

// TestRollingRestartOfTwo guards the keys of a data centre with two instances:
// the successor must hand a record back to its restarted home, also when the
// member table tells of the restart only during the stop.
func TestRollingRestartOfTwo(t *testing.T) {
	tab := &table{members: map[string]membership.Member{}}
	a, b := tab.start(t, "a", "tanta"), tab.start(t, "b", "tanta")
	keys := a.Mint("boutique", 2)
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave := func(i *instance) {
		i.member.State = membership.Leaving
		tab.set(i.member)
	}
	leave(a)
	qt.Assert(t, a.Stop(t.Context()), qt.IsNil)
	a.kill()
	restarted := tab.start(t, "a", "tanta")
	alive := restarted.member
	leave(restarted)
	leave(b)
	time.AfterFunc(300*time.Millisecond, func() { tab.set(alive) })
	qt.Assert(t, b.Stop(t.Context()), qt.IsNil)
	b.kill()
	qt.Assert(t, restarted.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Reason, qt.Equals, ReasonStarted)
	qt.Assert(t, restarted.Service.Claim(t.Context(), "boutique", keys[1], Digest{1}).Outcome, qt.Equals, Claimed)
}

// TestLeavingSuccessorDecides guards keys whose record is at an instance that
// has announced that it is leaving and still serves.
func TestLeavingSuccessorDecides(t *testing.T) {
	tab, a, b, c := cluster(t)
	key := a.Mint("boutique", 1)[0]
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", c.Mint("boutique", 1)[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave := func(i *instance) {
		i.member.State = membership.Leaving
		tab.set(i.member)
	}
	leave(a)
	leave(c)
	qt.Assert(t, a.Stop(t.Context()), qt.IsNil)
	a.kill()
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", b.Mint("boutique", 1)[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave(b)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{1}).Outcome, qt.Equals, Claimed)
}

// TestClaimWaitsForHandOver guards against "unknown" for a call that comes
// during a planned stop.
func TestClaimWaitsForHandOver(t *testing.T) {
	_, a, b, c := cluster(t)
	key := a.Mint("boutique", 1)[0]
	a.mu.Lock()
	moving := a.keeper.BeginHandOver()
	a.mu.Unlock()
	result := make(chan Verdict, 1)
	go func() { result <- c.Service.Claim(t.Context(), "boutique", key, Digest{1}) }()
	time.Sleep(2 * moveWait)
	successor := a.handOver(t.Context(), a.own, moving[a.own])
	a.mu.Lock()
	a.keeper.EndHandOver(a.own, successor)
	a.mu.Unlock()
	close(a.settled)
	qt.Assert(t, (<-result).Outcome, qt.Equals, Claimed)
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", key, Digest{1}).Reason, qt.Equals, ReasonStarted)
}

// TestLostClaimAnswer guards "not run" after a claim whose answer was lost: it
// may be told only when the home accepts the release.
func TestLostClaimAnswer(t *testing.T) {
	_, a, b, c := cluster(t)
	keys := a.Mint("boutique", 2)
	a.server.lose.Store(true)
	v := b.Service.Claim(t.Context(), "boutique", keys[0], Digest{1})
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: NotRun, Reason: ReasonClaimLost})
	a.server.lose.Store(false)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[1], Digest{1}).Outcome, qt.Equals, Claimed)
	a.server.lose.Store(true)
	v = b.Service.Claim(t.Context(), "boutique", keys[1], Digest{1})
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: Unknown, Reason: ReasonHomeUnreachable})
}

// TestOtherDataCentre guards keys whose home is not a contact of the data
// centre in which the call arrives.
func TestOtherDataCentre(t *testing.T) {
	tab, a, _, _ := cluster(t)
	far := tab.start(t, "z", "mansoura")
	key := a.Mint("boutique", 1)[0]
	contacts := &table{members: map[string]membership.Member{}}
	for _, m := range far.view.Members() {
		if m.ID != "a" {
			contacts.set(m)
		}
	}
	far.view = view{contacts, far.member}
	v := far.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Claimed)
	qt.Assert(t, far.Complete(t.Context(), v.Claim, answer), qt.IsNil)
	qt.Assert(t, far.Service.Claim(t.Context(), "boutique", key, Digest{1}).Outcome, qt.Equals, Answered)
}
