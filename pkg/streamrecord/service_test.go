package streamrecord

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
)

// membershipList is a membership list that tests can modify; view is the membership.View
// of one instance.
type membershipList struct {
	mu      sync.Mutex
	members []membership.Member
}

type view struct {
	*membershipList
	self string
}

func (v view) Self() membership.Member {
	m, _ := v.Member(v.self)
	return m
}

func (v view) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(v.members), func(m membership.Member) bool {
		return m.State != membership.Alive && m.State != membership.Suspect
	})
}

func (v view) Member(id string) (membership.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.members, func(m membership.Member) bool { return m.ID == id })
	if i < 0 {
		return membership.Member{}, false
	}
	return v.members[i], v.members[i].State != membership.Dead
}

func (t *membershipList) setState(id string, state membership.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.members {
		if t.members[i].ID == id {
			t.members[i].State = state
		}
	}
}

type group struct {
	*quicktest.C
	membershipList *membershipList
	services       map[string]*Service
}

// newGroup starts one service per data centre, with the given byte limits.
func newGroup(tb testing.TB, limits []int64, dataCentres ...string) *group {
	g := &group{C: quicktest.New(tb), membershipList: &membershipList{}, services: map[string]*Service{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i, dc := range dataCentres {
		g.membershipList.members = append(g.membershipList.members, membership.Member{
			ID: fmt.Sprint("n", i+1), DataCentre: dc, PeerAddress: testnet.UnusedAddress(tb),
		})
	}
	for i, m := range slices.Clone(g.membershipList.members) {
		ctx, cancel := context.WithCancel(context.Background())
		counters := &rpc.Counters{}
		s := New(view{membershipList: g.membershipList, self: m.ID}, rpc.NewDialer(nil, counters), limits[i%len(limits)], nil, log)
		server := rpc.NewServer(nil, counters, log)
		g.Assert(s.Register(server.Mux()), quicktest.IsNil)
		g.Assert(server.Listen(ctx, m.PeerAddress), quicktest.IsNil)
		g.Assert(s.Start(ctx), quicktest.IsNil)
		g.services[m.ID] = s
		g.Cleanup(func() { cancel(); _ = s.Stop(ctx) })
	}
	return g
}

// ownStream opens a replicated stream that n1 owns.
func (g *group) ownStream(stream string) *Stream {
	st, err := g.services["n1"].BecomeOwner(Record{
		StreamID: stream, Organisation: "o", Request: []byte("{}"), Term: Term{Epoch: 1, Owner: "n1"},
	})
	g.Assert(err, quicktest.IsNil)
	st.Replicate()
	return st
}

func (g *group) appendTokens(st *Stream, from, to int) {
	for p := from; p < to; p++ {
		g.Assert(st.Append(p, fmt.Sprint("t", p)), quicktest.IsNil)
	}
}

// copies returns the number of tokens at each instance except n1 that has a copy.
func (g *group) copies(stream string) map[string]int {
	n := map[string]int{}
	for id, s := range g.services {
		s.mu.Lock()
		if r, ok := s.store.Get(stream); ok && id != "n1" {
			n[id] = len(r.Tokens)
		}
		s.mu.Unlock()
	}
	return n
}

func (g *group) waitReadable(st *Stream, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g.Assert(st.WaitReadable(ctx, n), quicktest.IsNil)
}

const ampleLimit = int64(1 << 20)

// Guards against tokens that are readable before another instance has them, and
// against a holder in the owner's data centre while another data centre is reachable.
func TestTokensAreHeldBeforeRead(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit}, "a", "a", "b", "a")
	st := g.ownStream("s")
	go g.appendTokens(st, 0, 200)
	watch := st.Watch()
	for p := range 200 {
		token, err := st.Read(context.Background(), watch, p)
		g.Assert(err, quicktest.IsNil)
		g.Assert(token.Text, quicktest.Equals, fmt.Sprint("t", p))
		copies := g.copies("s")
		g.Assert(copies, quicktest.HasLen, 1)
		g.Assert(copies["n3"] > p, quicktest.IsTrue, quicktest.Commentf("%d tokens of %d", copies["n3"], p))
	}
}

// Guards against streams that stop or lose their copy when the holder has no room,
// has lost the record, or leaves.
func TestHolderChanges(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit, ampleLimit, 700}, "a", "a", "b")
	st := g.ownStream("s")
	g.appendTokens(st, 0, 100)
	g.waitReadable(st, 100)
	g.Assert(g.copies("s")["n2"], quicktest.Equals, 100)

	n2 := g.services["n2"]
	n2.mu.Lock()
	n2.store.Drop("s", st.term)
	n2.mu.Unlock()
	g.appendTokens(st, 100, 101)
	g.waitReadable(st, 101)
	g.Assert(g.copies("s")["n2"], quicktest.Equals, 101)

	// A leaving holder is kept while no other instance has room.
	g.membershipList.setState("n3", membership.Dead)
	g.membershipList.setState("n2", membership.Leaving)
	time.Sleep(3 * maintenanceInterval)
	g.appendTokens(st, 101, 102)
	g.waitReadable(st, 102)
	g.Assert(g.copies("s")["n2"], quicktest.Equals, 102)
}

// Guards against records that exceed the message size and so break the connection
// that all streams share: one large record, and many that are sent again to a new
// holder.
func TestLargeRecords(t *testing.T) {
	g := newGroup(t, []int64{64 << 20}, "a", "b", "c")
	r := Record{StreamID: "large", Organisation: "o", Term: Term{Epoch: 1, Owner: "n1"}, Request: make([]byte, 4<<20)}
	_, err := g.services["n1"].BecomeOwner(r)
	g.Assert(err, quicktest.Equals, ErrTooLarge)
	r.Request = r.Request[:MaxRecordBytes-2000]
	large, err := g.services["n1"].BecomeOwner(r)
	g.Assert(err, quicktest.IsNil)
	large.Replicate()
	g.appendTokens(large, 0, 10)
	g.Assert(large.Append(10, string(make([]byte, 2000))), quicktest.Equals, ErrTooLarge)
	g.waitReadable(large, 10)

	var streams []*Stream
	text := string(make([]byte, 20000))
	for i := range 600 {
		st := g.ownStream(fmt.Sprint("s", i))
		g.Assert(st.Append(0, text), quicktest.IsNil)
		streams = append(streams, st)
	}
	for _, st := range streams {
		g.waitReadable(st, 1)
	}
	g.membershipList.setState("n3", membership.Dead)
	time.Sleep(2 * maintenanceInterval)
	for _, st := range append(streams, large) {
		r, _ := st.Record()
		g.appendTokens(st, len(r.Tokens), len(r.Tokens)+1)
		g.waitReadable(st, len(r.Tokens)+1)
		g.Assert(g.copies(st.ID())["n2"], quicktest.Equals, len(r.Tokens)+1)
	}
}

// Guards against copies that stay in the owner's data centre after another data
// centre can be reached again.
func TestHolderReturns(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit}, "a", "a", "b")
	g.membershipList.setState("n3", membership.Dead)
	st := g.ownStream("s")
	g.appendTokens(st, 0, 10)
	g.waitReadable(st, 10)
	g.Assert(g.copies("s"), quicktest.DeepEquals, map[string]int{"n2": 10})
	g.membershipList.setState("n3", membership.Alive)
	for p := 10; g.copies("s")["n3"] == 0; p++ {
		g.Assert(p < 1000, quicktest.IsTrue)
		g.appendTokens(st, p, p+1)
		g.waitReadable(st, p+1)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an owner that continues after another instance took its stream
// over, when the holder is a third instance.
func TestStaleOwnerIsRefused(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit}, "a", "b", "c", "d", "e")
	st := g.ownStream("s")
	g.appendTokens(st, 0, 5)
	engine := EngineLocation{Address: "192.0.2.1:80", StreamID: "s.1.2", Attempt: 2}
	g.Assert(st.SetEngine(engine), quicktest.IsNil)
	g.appendTokens(st, 5, 10)
	g.waitReadable(st, 10)
	for _, id := range []string{"n2", "n3", "n4", "n5"} {
		s := g.services[id]
		s.mu.Lock()
		if r, ok := s.store.Get("s"); ok {
			g.Check(r.Engine, quicktest.Equals, engine)
		}
		s.mu.Unlock()
	}
	newOwned, err := g.services["n2"].TakeOver(context.Background(), "s", "o", 10)
	g.Assert(err, quicktest.IsNil)
	for id, s := range g.services {
		s.mu.Lock()
		reason := s.store.Open(Record{StreamID: "s", Organisation: "o", Term: st.term}, time.Now())
		s.mu.Unlock()
		g.Assert(reason, quicktest.Equals, StaleEpoch, quicktest.Commentf("at %s", id))
	}
	newOwned.Replicate()
	<-st.Lost()
	g.Assert(st.Append(10, "x"), quicktest.Equals, ErrTakenOver)
	g.Assert(newOwned.Append(10, "t10"), quicktest.IsNil)
	g.waitReadable(newOwned, 11)
	_, err = g.services["n3"].TakeOver(context.Background(), "s", "o", 12)
	g.Assert(err, quicktest.Equals, ErrStaleCopy)
	_, err = g.services["n3"].TakeOver(context.Background(), "s", "other", 0)
	g.Assert(err, quicktest.Equals, ErrNotFound)
	g.Assert(newOwned.Err(), quicktest.IsNil)
}

// Guards against a stream that cannot be found because its owner is leaving.
func TestTakeOverFromLeavingOwner(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit}, "a", "b")
	g.membershipList.setState("n2", membership.Dead)
	st := g.ownStream("s1-n1")
	g.appendTokens(st, 0, 10)
	g.waitReadable(st, 10)
	g.membershipList.setState("n2", membership.Alive)
	g.membershipList.setState("n1", membership.Leaving)
	taken, err := g.services["n2"].TakeOver(context.Background(), "s1-n1", "o", 10)
	g.Assert(err, quicktest.IsNil)
	g.Assert(taken.Epoch(), quicktest.Equals, uint64(2))
	<-st.Lost()
}

// Guards against a claim granted to several instances, and against one that cannot
// be replaced.
func TestClaim(t *testing.T) {
	g := newGroup(t, []int64{ampleLimit}, "a", "b", "c")
	claimants := map[string]bool{}
	for _, s := range g.services {
		claimant, err := s.Claim(context.Background(), "s", "")
		g.Assert(err, quicktest.IsNil)
		claimants[claimant] = true
	}
	g.Assert(claimants, quicktest.HasLen, 1)
	for claimant := range claimants {
		for id, s := range g.services {
			if id != claimant {
				got, err := s.Claim(context.Background(), "s", claimant)
				g.Assert(err, quicktest.IsNil)
				g.Assert(got, quicktest.Equals, id)
				return
			}
		}
	}
}
