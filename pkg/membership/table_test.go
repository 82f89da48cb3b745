package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// group runs tables against each other in virtual time.
type group struct {
	now    time.Time
	tables []*Table
	down   map[string]bool
	cut    func(a, b string) bool
}

func newGroup(dataCentres, perDataCentre int, seed uint64) *group {
	g := &group{now: time.Unix(1000, 0), down: map[string]bool{}, cut: func(a, b string) bool { return false }}
	for dc := range dataCentres {
		for i := range perDataCentre {
			m := Member{ID: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc), Incarnation: 1}
			g.tables = append(g.tables, NewTable(m, rand.New(rand.NewPCG(seed, uint64(len(g.tables))))))
		}
	}
	for _, t := range g.tables[1:] {
		g.exchange(t, g.tables[0], true)
	}
	return g
}

func (g *group) table(id string) *Table {
	for _, t := range g.tables {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

func (g *group) reachable(a, b string) bool { return !g.down[a] && !g.down[b] && !g.cut(a, b) }

func (g *group) exchange(from, to *Table, join bool) {
	request := append(from.Updates(to.Self().ID), from.Self())
	to.Merge(g.now, request)
	response := to.Updates(from.Self().ID)
	if join {
		response = append(response, to.Whole()...)
	}
	from.Merge(g.now, append(response, to.Self()))
}

func (g *group) step() {
	g.now = g.now.Add(ProbeInterval)
	for _, t := range g.tables {
		if g.down[t.Self().ID] {
			continue
		}
		t.Tick(g.now)
		target, ok := t.NextProbe()
		if !ok {
			continue
		}
		if g.probe(t, target.ID) {
			continue
		}
		reached := false
		for _, helper := range t.Helpers(target.ID, indirectProbes) {
			reached = reached || (g.reachable(t.Self().ID, helper.ID) && g.reachable(helper.ID, target.ID))
		}
		if !reached {
			t.Failed(g.now, target.ID)
		}
	}
}

func (g *group) probe(t *Table, id string) bool {
	if !g.reachable(t.Self().ID, id) {
		return false
	}
	g.exchange(t, g.table(id), false)
	return true
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.step()
	}
}

// Guards against a live member that stays dead at others after a partition, a
// freeze or lost updates, and against a dead one that stays alive.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(3, rapid.IntRange(1, 3).Draw(t, "per data centre"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			victim := g.tables[rapid.IntRange(0, len(g.tables)-1).Draw(t, "victim")].Self()
			if rapid.Bool().Draw(t, "partition") {
				g.cut = func(a, b string) bool {
					return (a[:3] == victim.DataCentre) != (b[:3] == victim.DataCentre)
				}
			} else {
				g.down[victim.ID] = true
			}
			g.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			g.cut = func(a, b string) bool { return false }
			clear(g.down)
		}
		g.run(60 * time.Second)
		for _, table := range g.tables {
			if got := len(table.Members()); got != len(g.tables) {
				t.Fatalf("%s knows %d of %d members", table.Self().ID, got, len(g.tables))
			}
		}
	})
}

// Guards against slow detection: the resume of a stream after the loss of an
// entry instance has 5 s in all, so every other instance must know within 4 s.
func TestDeadMemberIsDetected(t *testing.T) {
	for seed := range uint64(50) {
		g := newGroup(3, 2, seed)
		g.run(5 * time.Second)
		g.down["dc1-0"] = true
		g.run(4 * time.Second)
		for _, table := range g.tables {
			if id := table.Self().ID; id != "dc1-0" {
				_, known := table.Member("dc1-0")
				qt.Assert(t, known, qt.IsFalse, qt.Commentf("at %s, seed %d", id, seed))
			}
		}
	}
}

// Guards against a member table that grows with the whole system: of another
// data centre only the contacts are kept.
func TestOnlyContactsOfOtherDataCentres(t *testing.T) {
	g := newGroup(4, 20, 1)
	g.run(30 * time.Second)
	for _, table := range g.tables {
		qt.Assert(t, len(table.Whole()) <= 19+3*ContactsPerDataCentre, qt.IsTrue)
		own := InDataCentre(table.Self().DataCentre, table.Members())
		qt.Assert(t, own, qt.HasLen, 20, qt.Commentf("at %s", table.Self().ID))
	}
}

// Guards against keys that move although their first member is still there.
func TestRankMovesOnlyKeysOfLostMember(t *testing.T) {
	var members []Member
	for i := range 7 {
		members = append(members, Member{ID: fmt.Sprint("m", i)})
	}
	for i := range 200 {
		key := fmt.Sprint("stream-", i)
		before := Rank(key, members)[0]
		after := Rank(key, members[1:])[0]
		if before.ID != members[0].ID {
			qt.Assert(t, after, qt.Equals, before)
		}
	}
}
