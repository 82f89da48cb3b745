package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// cluster runs several lists that probe each other in virtual time.
type cluster struct {
	now     time.Time
	lists   []*List
	down    map[string]bool
	blocked func(a, b string) bool
}

func newCluster(dataCentres, perDataCentre int, seed uint64) *cluster {
	c := &cluster{now: time.Unix(1000, 0), down: map[string]bool{}, blocked: func(a, b string) bool { return false }}
	for dc := range dataCentres {
		for i := range perDataCentre {
			m := Member{ID: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc), Incarnation: 1}
			c.lists = append(c.lists, NewList(m, rand.New(rand.NewPCG(seed, uint64(len(c.lists))))))
		}
	}
	for _, t := range c.lists[1:] {
		c.exchange(t, c.lists[0], true)
	}
	return c
}

func (c *cluster) list(id string) *List {
	for _, t := range c.lists {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

func (c *cluster) reachable(a, b string) bool { return !c.down[a] && !c.down[b] && !c.blocked(a, b) }

func (c *cluster) exchange(from, to *List, join bool) {
	request := append(from.UpdatesFor(to.Self().ID), from.Self())
	to.Merge(c.now, request)
	response := to.UpdatesFor(from.Self().ID)
	if join {
		response = append(response, to.JoinSnapshot()...)
	}
	from.Merge(c.now, append(response, to.Self()))
}

// probeAll advances the time by one ProbeInterval, in which each list sends one probe.
func (c *cluster) probeAll() {
	c.now = c.now.Add(ProbeInterval)
	for _, t := range c.lists {
		if c.down[t.Self().ID] {
			continue
		}
		t.ExpireMembers(c.now)
		target, ok := t.NextProbeTarget()
		if !ok {
			continue
		}
		if c.probe(t, target.ID) {
			continue
		}
		reached := false
		for _, prober := range t.IndirectProbers(target.ID, indirectProbeCount) {
			reached = reached || (c.reachable(t.Self().ID, prober.ID) && c.reachable(prober.ID, target.ID))
		}
		if !reached {
			t.RecordProbeFailure(c.now, target.ID)
		}
	}
}

func (c *cluster) probe(t *List, id string) bool {
	if !c.reachable(t.Self().ID, id) {
		return false
	}
	c.exchange(t, c.list(id), false)
	return true
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.probeAll()
	}
}

// Guards against a live member that stays dead in other lists after a partition, a
// freeze or lost updates, and against a dead member that stays alive.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, rapid.IntRange(1, 3).Draw(t, "per data centre"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			faulty := c.lists[rapid.IntRange(0, len(c.lists)-1).Draw(t, "victim")].Self()
			if rapid.Bool().Draw(t, "partition") {
				c.blocked = func(a, b string) bool {
					return (a[:3] == faulty.DataCentre) != (b[:3] == faulty.DataCentre)
				}
			} else {
				c.down[faulty.ID] = true
			}
			c.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			c.blocked = func(a, b string) bool { return false }
			clear(c.down)
		}
		c.run(60 * time.Second)
		for _, list := range c.lists {
			if got := len(list.Members()); got != len(c.lists) {
				t.Fatalf("%s has %d of %d members in its list", list.Self().ID, got, len(c.lists))
			}
		}
	})
}

// Guards against slow detection: a stream must resume within 5 s of the loss of an
// entry instance, so all other instances must hold it as dead within 4 s.
func TestDeadMemberIsDetected(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(3, 2, seed)
		c.run(5 * time.Second)
		c.down["dc1-0"] = true
		c.run(4 * time.Second)
		for _, list := range c.lists {
			if id := list.Self().ID; id != "dc1-0" {
				_, found := list.Member("dc1-0")
				qt.Assert(t, found, qt.IsFalse, qt.Commentf("at %s, seed %d", id, seed))
			}
		}
	}
}

// Guards against a membership list that grows with the whole system: it must keep at
// most MaxContactsPerDataCentre members of each other data centre.
func TestOnlyContactsOfOtherDataCentres(t *testing.T) {
	c := newCluster(4, 20, 1)
	c.run(30 * time.Second)
	for _, list := range c.lists {
		qt.Assert(t, len(list.JoinSnapshot()) <= 19+3*MaxContactsPerDataCentre, qt.IsTrue)
		local := InDataCentre(list.Self().DataCentre, list.Members())
		qt.Assert(t, local, qt.HasLen, 20, qt.Commentf("at %s", list.Self().ID))
	}
}

// Guards against a key whose first member changes although that member is still in
// the list.
func TestRankMovesOnlyKeysOfLostMember(t *testing.T) {
	var members []Member
	for i := range 7 {
		members = append(members, Member{ID: fmt.Sprint("m", i)})
	}
	for i := range 200 {
		key := fmt.Sprint("stream-", i)
		before := RankByHash(key, members)[0]
		after := RankByHash(key, members[1:])[0]
		if before.ID != members[0].ID {
			qt.Assert(t, after, qt.Equals, before)
		}
	}
}
