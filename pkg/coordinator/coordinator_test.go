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

// Guards against a group that does not form from the seeds alone, and against a
// coordinator that does not return a publication after it was accepted.
func TestPublishAndReadEverywhere(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 5, "five")
	for i := range g.coordinators {
		g.expectPublication(i, 5, "five")
	}
	g.publish(2, 4, "four")
	g.publish(3, 5, "other five")
	g.publish(3, 9, "nine")
	for i := range g.coordinators {
		g.expectPublication(i, 9, "nine")
	}
}

// Guards against two different contents of one revision when operators publish at the
// same time.
func TestRaceOfOneRevision(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "first")
	for revision := uint64(2); revision < 12; revision++ {
		var wait sync.WaitGroup
		for i := range g.coordinators {
			wait.Go(func() { g.publish(i, revision, fmt.Sprintf("%d by %d", revision, i)) })
		}
		wait.Wait()
		contents := map[string]bool{}
		for i := range g.coordinators {
			p, err := g.coordinators[i].Read(context.Background())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.Revision, qt.Equals, revision)
			contents[string(p.Content)] = true
		}
		qt.Assert(t, contents, qt.HasLen, 1)
	}
}

// Guards against losing an accepted publication when all members restart, or when a disk
// is lost and another instance stops afterwards.
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
		g.expectPublication(i, 7, "seven")
	}
	g.publish(1, 8, "eight")
	g.eventually("the new disk of 2 has a leader", func() bool {
		node := g.coordinators[2].group.currentNode()
		return node != nil && node.HasLeader()
	})
	g.stop(3)
	g.expectPublication(2, 8, "eight")
	g.publish(2, 9, "nine")
	g.expectPublication(1, 9, "nine")
}

// Guards against an instance at another address that never takes the slot of a stopped
// instance, and against a former slot holder that disrupts the group when it returns.
func TestInstanceAtAnotherAddressTakesTheSlot(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 3, "three")
	g.stop(3)
	g.start(4, false)
	g.eventually("4 holds the slot of 3", func() bool { return g.holders(1)[g.address(4)] && !g.holders(1)[g.address(3)] })
	g.expectPublication(4, 3, "three")
	g.stop(2)
	g.publish(4, 4, "four")
	g.expectPublication(1, 4, "four")
	// The former holder detects that it lost its slot and takes the free one.
	g.start(3, false)
	g.eventually("3 holds the slot of 2", func() bool { return g.holders(1)[g.address(3)] && !g.holders(1)[g.address(2)] })
	g.expectPublication(3, 4, "four")
	g.publish(3, 5, "five")
	g.expectPublication(4, 5, "five")
}

// leader waits for a leader and returns its number.
func (g *testGroup) leader() (number int) {
	g.eventually("a leader", func() bool {
		for i, s := range g.coordinators {
			if node := s.group.currentNode(); node != nil && node.Status().Role == consensus.Leader {
				number = i
				return true
			}
		}
		return false
	})
	return number
}

// Guards against a former slot holder whose messages reach the members after the leader
// that reassigned its slot has stopped: members would send to it instead of its successor.
func TestOldHolderAfterItsLeaderIsGone(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	leader := g.leader()
	former, observer := leader%3+1, (leader+1)%3+1
	g.stop(former)
	g.start(4, false)
	g.eventually("4 holds the slot", func() bool { return g.holders(observer)[g.address(4)] && !g.holders(observer)[g.address(former)] })
	g.expectPublication(4, 1, "one")
	g.stop(leader)
	g.start(former, false)
	g.publish(4, 2, "two")
	g.eventually("the former holder takes the slot of the leader", func() bool {
		members := g.holders(observer)
		return members[g.address(former)] && !members[g.address(leader)]
	})
	g.expectPublication(former, 2, "two")
}

// Guards against an instance that takes the slot of a live holder.
func TestSpareInstanceWaits(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.start(4, false)
	time.Sleep(2 * holderTimeout)
	qt.Assert(t, g.holders(1)[g.address(4)], qt.IsFalse)
	// Without a slot it forwards publications but does not answer reads.
	g.publish(4, 2, "two")
	g.expectPublication(1, 2, "two")
	_, err := g.coordinators[4].Read(context.Background())
	qt.Assert(t, err, qt.Equals, ErrNotConfirmed)
}

// Guards against taking a slot from the leader or from a holder that sends messages, and
// against giving a returning instance any slot other than its own.
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

// Guards against a new leader that takes the silence before its election for the silence of a
// holder, and gives away the slot of a live one.
func TestSilenceCountsFromTheElection(t *testing.T) {
	now := time.Now()
	g := &group{leadsSince: now.Add(-time.Second), holderLastMessageAt: map[string]time.Time{
		"old": now.Add(-time.Minute), "recent": now.Add(-time.Millisecond),
	}}
	for slot, want := range map[string]time.Duration{"never": time.Second, "old": time.Second, "recent": time.Millisecond} {
		qt.Assert(t, g.holderSilenceLocked(slot, now), qt.Equals, want, qt.Commentf(slot))
	}
}
