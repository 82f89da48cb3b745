package once

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// membershipList is a membership list that tests can modify.
type membershipList struct {
	mu      sync.Mutex
	members map[string]membership.Member
}

type memberView struct {
	*membershipList
	self membership.Member
}

func (v memberView) Self() membership.Member { return v.self }

func (v memberView) Members() []membership.Member {
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

func (v memberView) Member(id string) (membership.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[id]
	return m, ok
}

func (t *membershipList) set(m membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[m.ID] = m
}

// lossyServer processes claims but withholds its responses while dropResponses is
// set.
type lossyServer struct {
	rpcServer
	dropResponses atomic.Bool
}

func (l *lossyServer) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	response, err := l.rpcServer.Claim(ctx, r)
	if l.dropResponses.Load() {
		<-ctx.Done()
	}
	return response, err
}

type instance struct {
	*Service
	member membership.Member
	server *lossyServer
	kill   context.CancelFunc
}

func (t *membershipList) start(tb testing.TB, id, dataCentre string) *instance {
	tb.Helper()
	m := membership.Member{ID: id, DataCentre: dataCentre, PeerAddress: testnet.UnusedAddress(tb)}
	t.set(m)
	log := slog.New(slog.DiscardHandler)
	counters := &rpc.Counters{}
	dialer := rpc.NewDialer(nil, counters)
	s := New(memberView{t, m}, dialer, "a secret of the deployment", log)
	ctx, kill := context.WithCancel(tb.Context())
	peerServer := rpc.NewServer(nil, counters, log)
	i := &instance{Service: s, member: m, server: &lossyServer{rpcServer: rpcServer{s}}, kill: kill}
	qt.Assert(tb, wire.DRPCRegisterOnce(peerServer.Mux(), i.server), qt.IsNil)
	qt.Assert(tb, peerServer.Listen(ctx, m.PeerAddress), qt.IsNil)
	tb.Cleanup(func() { kill(); _ = dialer.Close() })
	return i
}

func startCluster(t testing.TB) (members *membershipList, a, b, c *instance) {
	members = &membershipList{members: map[string]membership.Member{}}
	return members, members.start(t, "a", "tanta"), members.start(t, "b", "tanta"), members.start(t, "c", "tanta")
}

var sampleAnswer = Answer{Status: 201, Headers: map[string]string{"Content-Type": "text/plain"}, Body: []byte("order 7")}

// TestReplayFromAnyInstance guards against an answer that cannot be replayed: a claim
// through any entry instance must get the stored answer, also after the loss of the
// home.
func TestReplayFromAnyInstance(t *testing.T) {
	_, a, b, c := startCluster(t)
	key := a.Mint("boutique", 1)[0]
	v := b.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{1}).Reason, qt.Equals, ReasonStarted)
	qt.Assert(t, c.Service.Claim(t.Context(), "other", key, Digest{1}).Outcome, qt.Equals, Invalid)
	qt.Assert(t, b.Complete(t.Context(), v.Claim, sampleAnswer), qt.IsNil)
	startedKey := a.Mint("boutique", 1)[0]
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", startedKey, Digest{1}).Outcome, qt.Equals, Claimed)
	for range 2 {
		replay := c.Service.Claim(t.Context(), "boutique", key, Digest{1})
		qt.Assert(t, replay.Outcome, qt.Equals, Answered)
		qt.Assert(t, *replay.Answer, qt.DeepEquals, sampleAnswer)
		qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{2}).Outcome, qt.Equals, Mismatch)
		a.kill()
	}
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", startedKey, Digest{1}).Outcome, qt.Equals, Unknown)
}

// TestRestartMakesKeysUnknown guards against keys that can be claimed again
// because the restarted home has lost their record.
func TestRestartMakesKeysUnknown(t *testing.T) {
	members, a, b, _ := startCluster(t)
	key := a.Mint("boutique", 1)[0]
	a.kill()
	members.start(t, "a", "tanta")
	v := b.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Unknown)
}

// TestPlannedStop guards against keys that a planned stop loses or makes unused: after
// a planned stop of the home, and then of its successor, unused keys must still be
// claimable and used keys must not.
func TestPlannedStop(t *testing.T) {
	members, a, b, c := startCluster(t)
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
		members.set(stopped.member)
		// The context may have ended while streams were running, before the hand-over.
		endedCtx, cancel := context.WithCancel(t.Context())
		cancel()
		qt.Assert(t, stopped.Stop(endedCtx), qt.IsNil)
		v := c.Service.Claim(t.Context(), "boutique", keys[0], Digest{1})
		qt.Assert(t, v.Outcome, qt.Equals, Answered)
		qt.Assert(t, bytes.Equal(v.Answer.Body, large.Body), qt.IsTrue)
		qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[4], Digest{1}).Reason, qt.Equals, ReasonStarted)
	}
	a.kill()
	b.kill()
	qt.Assert(t, c.Complete(t.Context(), running.Claim, sampleAnswer), qt.IsNil)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[5], Digest{1}).Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[5], Digest{1}).Reason, qt.Equals, ReasonStarted)
}

// TestRollingRestartOfTwo guards against the loss of keys in a data centre with
// two instances: the successor must hand the record back to its restarted home,
// also when the membership list shows the restart only during the stop.
func TestRollingRestartOfTwo(t *testing.T) {
	members := &membershipList{members: map[string]membership.Member{}}
	a, b := members.start(t, "a", "tanta"), members.start(t, "b", "tanta")
	keys := a.Mint("boutique", 2)
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave := func(i *instance) {
		i.member.State = membership.Leaving
		members.set(i.member)
	}
	leave(a)
	qt.Assert(t, a.Stop(t.Context()), qt.IsNil)
	a.kill()
	restarted := members.start(t, "a", "tanta")
	alive := restarted.member
	leave(restarted)
	leave(b)
	time.AfterFunc(300*time.Millisecond, func() { members.set(alive) })
	qt.Assert(t, b.Stop(t.Context()), qt.IsNil)
	b.kill()
	qt.Assert(t, restarted.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Reason, qt.Equals, ReasonStarted)
	qt.Assert(t, restarted.Service.Claim(t.Context(), "boutique", keys[1], Digest{1}).Outcome, qt.Equals, Claimed)
}

// TestLeavingSuccessorDecides guards against keys that become unknown because the
// instance that holds their record has announced that it is leaving. It still
// serves requests.
func TestLeavingSuccessorDecides(t *testing.T) {
	members, a, b, c := startCluster(t)
	key := a.Mint("boutique", 1)[0]
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", c.Mint("boutique", 1)[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave := func(i *instance) {
		i.member.State = membership.Leaving
		members.set(i.member)
	}
	leave(a)
	leave(c)
	qt.Assert(t, a.Stop(t.Context()), qt.IsNil)
	a.kill()
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", b.Mint("boutique", 1)[0], Digest{1}).Outcome, qt.Equals, Claimed)
	leave(b)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", key, Digest{1}).Outcome, qt.Equals, Claimed)
}

// TestClaimWaitsForHandOver guards against the outcome Unknown for a claim that
// arrives during a planned stop.
func TestClaimWaitsForHandOver(t *testing.T) {
	_, a, b, c := startCluster(t)
	key := a.Mint("boutique", 1)[0]
	a.mu.Lock()
	records := a.store.BeginHandOver()
	a.mu.Unlock()
	result := make(chan Verdict, 1)
	go func() { result <- c.Service.Claim(t.Context(), "boutique", key, Digest{1}) }()
	time.Sleep(2 * handOverWait)
	successor := a.handOver(t.Context(), a.localRecordID, records[a.localRecordID])
	a.mu.Lock()
	a.store.EndHandOver(a.localRecordID, successor)
	a.mu.Unlock()
	close(a.handOverDone)
	qt.Assert(t, (<-result).Outcome, qt.Equals, Claimed)
	qt.Assert(t, b.Service.Claim(t.Context(), "boutique", key, Digest{1}).Reason, qt.Equals, ReasonStarted)
}

// TestLostClaimAnswer guards against a wrong NotRun after a claim whose response
// was lost: it may be returned only if the home accepts the release.
func TestLostClaimAnswer(t *testing.T) {
	_, a, b, c := startCluster(t)
	keys := a.Mint("boutique", 2)
	a.server.dropResponses.Store(true)
	v := b.Service.Claim(t.Context(), "boutique", keys[0], Digest{1})
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: NotRun, Reason: ReasonClaimLost})
	a.server.dropResponses.Store(false)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[0], Digest{1}).Outcome, qt.Equals, Claimed)
	qt.Assert(t, c.Service.Claim(t.Context(), "boutique", keys[1], Digest{1}).Outcome, qt.Equals, Claimed)
	a.server.dropResponses.Store(true)
	v = b.Service.Claim(t.Context(), "boutique", keys[1], Digest{1})
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: Unknown, Reason: ReasonHomeUnreachable})
}

// TestOtherDataCentre guards against the failure of claims that arrive in another
// data centre, where the home of the key is not in the membership list.
func TestOtherDataCentre(t *testing.T) {
	members, a, _, _ := startCluster(t)
	remote := members.start(t, "z", "mansoura")
	key := a.Mint("boutique", 1)[0]
	contacts := &membershipList{members: map[string]membership.Member{}}
	for _, m := range remote.view.Members() {
		if m.ID != "a" {
			contacts.set(m)
		}
	}
	remote.view = memberView{contacts, remote.member}
	v := remote.Service.Claim(t.Context(), "boutique", key, Digest{1})
	qt.Assert(t, v.Outcome, qt.Equals, Claimed)
	qt.Assert(t, remote.Complete(t.Context(), v.Claim, sampleAnswer), qt.IsNil)
	qt.Assert(t, remote.Service.Claim(t.Context(), "boutique", key, Digest{1}).Outcome, qt.Equals, Answered)
}
