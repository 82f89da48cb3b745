package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// Guards against a group that does not form without a list of members, and
// against a publication that one coordinator does not show after its ack.
func TestPublishAndReadEverywhere(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 5, "five")
	for i := range g.nodes {
		g.expect(i, 5, "five")
	}
	g.publish(2, 4, "four")
	g.publish(3, 5, "other five")
	g.publish(3, 9, "nine")
	for i := range g.nodes {
		g.expect(i, 9, "nine")
	}
}

// Guards against two contents under one revision when two operators publish at
// the same time.
func TestRaceOfOneRevision(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "first")
	for revision := uint64(2); revision < 12; revision++ {
		var wait sync.WaitGroup
		for i := range g.nodes {
			wait.Go(func() { g.publish(i, revision, fmt.Sprintf("%d by %d", revision, i)) })
		}
		wait.Wait()
		contents := map[string]bool{}
		for i := range g.nodes {
			p, err := g.nodes[i].Read(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.Revision, qt.Equals, revision)
			contents[string(p.Content)] = true
		}
		qt.Assert(t, contents, qt.HasLen, 1)
	}
}

// Guards against an accepted publication that a restart of all, or a lost disk
// followed by the loss of another machine, takes back.
func TestRestartsAndLostDisks(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	g.loseDisk(2)
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	for i := 1; i <= 3; i++ {
		g.expect(i, 7, "seven")
	}
	g.publish(1, 8, "eight")
	g.eventually("the new disk of 2 counts", func() bool {
		node := g.nodes[2].group.current()
		return node != nil && node.InTouch()
	})
	g.stop(3)
	g.expect(2, 8, "eight")
	g.publish(2, 9, "nine")
	g.expect(1, 9, "nine")
}

// Guards against a machine at another address that never replaces one that is
// gone for good, and against an old holder that disturbs the group when it returns.
func TestMachineAtAnotherAddressTakesTheSlot(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 3, "three")
	g.stop(3)
	g.start(4, false)
	g.eventually("4 holds the slot of 3", func() bool { return g.members(1)[g.peer(4)] && !g.members(1)[g.peer(3)] })
	g.expect(4, 3, "three")
	g.stop(2)
	g.publish(4, 4, "four")
	g.expect(1, 4, "four")
	// The old holder finds out that its slot is gone and takes the free one.
	g.start(3, false)
	g.eventually("3 holds the slot of 2", func() bool { return g.members(1)[g.peer(3)] && !g.members(1)[g.peer(2)] })
	g.expect(3, 4, "four")
	g.publish(3, 5, "five")
	g.expect(4, 5, "five")
}

// leader returns the coordinator that leads.
func (g *testGroup) leader() (leads int) {
	g.eventually("a leader", func() bool {
		for i, s := range g.nodes {
			if node := s.group.current(); node != nil && node.Status().Role == consensus.Leader {
				leads = i
				return true
			}
		}
		return false
	})
	return leads
}

// Guards against an old holder whose messages reach the members after the leader
// that gave its slot away is gone: they would send to it instead of its successor.
func TestOldHolderAfterItsLeaderIsGone(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	leader := g.leader()
	old, other := leader%3+1, (leader+1)%3+1
	g.stop(old)
	g.start(4, false)
	g.eventually("4 holds the slot", func() bool { return g.members(other)[g.peer(4)] && !g.members(other)[g.peer(old)] })
	g.expect(4, 1, "one")
	g.stop(leader)
	g.start(old, false)
	g.publish(4, 2, "two")
	g.eventually("the old holder takes the slot of the leader", func() bool {
		members := g.members(other)
		return members[g.peer(old)] && !members[g.peer(leader)]
	})
	g.expect(old, 2, "two")
}

// Guards against a machine that takes the slot of a holder that is alive.
func TestSpareMachineWaits(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.start(4, false)
	time.Sleep(2 * silentAfter)
	qt.Assert(t, g.members(1)[g.peer(4)], qt.IsFalse)
	// It forwards publications meanwhile and does not answer reads.
	g.publish(4, 2, "two")
	g.expect(1, 2, "two")
	_, err := g.nodes[4].Read(context.Background())
	qt.Assert(t, err, qt.Equals, ErrUnsure)
}

// Guards against two machines that are promised one slot, and against a slot that
// is taken from the leader or from a holder that is heard.
func TestFreeSlot(t *testing.T) {
	status := consensus.Status{Leader: "a", Members: map[consensus.MemberID]consensus.DiskID{
		"a": "d1@1.1.1.1:1", "b": "d2@1.1.1.2:1", "c": "d3@1.1.1.3:1",
	}}
	silent := func(slots ...string) func(string) bool {
		return func(slot string) bool {
			for _, s := range slots {
				if s == slot {
					return true
				}
			}
			return false
		}
	}
	qt.Assert(t, freeSlot(status, "1.1.1.3:1", silent()), qt.Equals, "c")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent()), qt.Equals, "")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent("b", "c")), qt.Equals, "b")
	qt.Assert(t, freeSlot(status, "9.9.9.9:1", silent("a")), qt.Equals, "")
}
