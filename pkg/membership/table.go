package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and sizes of the failure detector.
const (
	// ProbeInterval is the time between two probes by one instance.
	ProbeInterval = 300 * time.Millisecond
	// ProbeTimeout bounds a direct probe, and an indirect one as a whole.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is the time a suspect has to refute.
	SuspicionTimeout = 900 * time.Millisecond
	// forgetDead is how long a dead member is remembered, so that old updates
	// do not bring it back and a healed partition is found again.
	forgetDead = 10 * time.Minute
	// ContactsPerDataCentre bounds what is known in detail of another data centre.
	ContactsPerDataCentre = 8
	// remoteEvery sends each third probe to another data centre.
	remoteEvery = 3
	// rejoinEvery sends each seventh probe to a dead member, to heal partitions.
	rejoinEvery = 7
	// MaxUpdates bounds the updates on one probe.
	MaxUpdates = 8
	// transmitFactor times the logarithm of the group size is how often one
	// update is sent on.
	transmitFactor = 3
)

// Total sums up one data centre.
type Total struct {
	DataCentre string
	Region     string
	Members    int
	// CountedAt is the time of the count at the instance that counted.
	CountedAt time.Time
}

type entry struct {
	member Member
	// failedAt is when a probe failed or a suspicion was heard; zero if none.
	failedAt time.Time
	deadAt   time.Time
	// transmits counts how often the present state was sent on.
	transmits int
}

// Table is the member table and failure detector of one instance. It is pure
// and not safe for concurrent use.
type Table struct {
	self    Member
	entries map[string]*entry
	totals  map[string]Total
	rng     *rand.Rand
	// local and remote are shuffled rounds of identifiers still to be probed.
	local, remote []string
	probes        int
	selfTransmits int
}

// NewTable returns a table that knows only this instance. The incarnation of
// self must be higher than at any earlier start.
func NewTable(self Member, rng *rand.Rand) *Table {
	return &Table{self: self, entries: map[string]*entry{}, totals: map[string]Total{}, rng: rng}
}

// Self returns this instance.
func (t *Table) Self() Member { return t.self }

// Leave marks this instance as leaving.
func (t *Table) Leave() {
	t.self.State = Leaving
	t.self.Incarnation++
	t.selfTransmits = 0
}

// Members returns the alive and suspect instances, this one included unless it
// is leaving.
func (t *Table) Members() []Member {
	var list []Member
	if t.self.State == Alive {
		list = append(list, t.self)
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.State <= Suspect {
			list = append(list, m)
		}
	}
	return list
}

// Member returns an instance that is not dead.
func (t *Table) Member(id string) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.entries[id]
	if !ok || e.member.State == Dead {
		return Member{}, false
	}
	return e.member, true
}

// Merge takes updates from another instance and returns the members whose
// state changed here.
func (t *Table) Merge(now time.Time, updates []Member) []Member {
	var changed []Member
	for _, u := range updates {
		if u.ID == t.self.ID {
			t.refute(u)
			continue
		}
		if t.mergeOne(now, u) {
			changed = append(changed, u)
		}
	}
	if len(changed) > 0 {
		t.trimContacts()
	}
	return changed
}

// refute raises the incarnation when others hold a worse state of this instance.
func (t *Table) refute(u Member) {
	if u.Incarnation < t.self.Incarnation || u.State <= t.self.State {
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.selfTransmits = 0
}

func (t *Table) mergeOne(now time.Time, u Member) bool {
	e, ok := t.entries[u.ID]
	if !ok {
		if u.State == Dead {
			return false
		}
		e = &entry{}
		t.entries[u.ID] = e
	} else if !supersedes(u, e.member) {
		return false
	}
	previous := e.member
	e.member, e.transmits = u, 0
	e.failedAt, e.deadAt = time.Time{}, time.Time{}
	switch u.State {
	case Suspect:
		e.failedAt = now
	case Dead:
		e.deadAt = now
	}
	return !ok || previous.State != u.State || previous.Incarnation != u.Incarnation
}

// supersedes orders updates: the higher incarnation wins, then the worse state.
func supersedes(u, old Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// trimContacts keeps only the contacts of other data centres.
func (t *Table) trimContacts() {
	byDataCentre := map[string][]Member{}
	for _, e := range t.entries {
		if dc := e.member.DataCentre; dc != t.self.DataCentre && e.member.State != Dead {
			byDataCentre[dc] = append(byDataCentre[dc], e.member)
		}
	}
	for dc, members := range byDataCentre {
		if len(members) <= ContactsPerDataCentre {
			continue
		}
		for _, m := range Rank("contacts@"+dc, members)[ContactsPerDataCentre:] {
			delete(t.entries, m.ID)
		}
	}
}

// Heard records that a member answered.
func (t *Table) Heard(id string) {
	e, ok := t.entries[id]
	if ok && e.member.State == Leaving {
		e.failedAt = time.Time{}
	}
}

// Failed records that direct and indirect probes of a member failed.
func (t *Table) Failed(now time.Time, id string) []Member {
	e, ok := t.entries[id]
	if !ok || !e.failedAt.IsZero() || e.member.State == Dead {
		return nil
	}
	e.failedAt = now
	if e.member.State != Alive {
		return nil
	}
	e.member.State, e.transmits = Suspect, 0
	return []Member{e.member}
}

// Tick declares suspects dead after SuspicionTimeout and returns the changes.
func (t *Table) Tick(now time.Time) []Member {
	var changed []Member
	for id, e := range t.entries {
		switch {
		case e.member.State == Dead:
			if now.Sub(e.deadAt) > forgetDead {
				delete(t.entries, id)
			}
		case !e.failedAt.IsZero() && now.Sub(e.failedAt) >= SuspicionTimeout:
			e.member.State, e.transmits, e.deadAt = Dead, 0, now
			changed = append(changed, e.member)
		}
	}
	return changed
}

// NextProbe chooses the next member to probe.
func (t *Table) NextProbe() (Member, bool) {
	t.probes++
	if t.probes%rejoinEvery == 0 {
		if m, ok := t.randomDead(); ok {
			return m, true
		}
	}
	if t.probes%remoteEvery == 0 {
		if m, ok := t.nextOf(&t.remote, false); ok {
			return m, true
		}
	}
	if m, ok := t.nextOf(&t.local, true); ok {
		return m, true
	}
	return t.nextOf(&t.remote, false)
}

// nextOf takes the next member of a shuffled round and starts a new round at its end.
func (t *Table) nextOf(round *[]string, local bool) (Member, bool) {
	for range 2 {
		for len(*round) > 0 {
			id := (*round)[0]
			*round = (*round)[1:]
			if e, ok := t.entries[id]; ok && e.member.State != Dead {
				return e.member, true
			}
		}
		*round = t.shuffled(local)
	}
	return Member{}, false
}

func (t *Table) shuffled(local bool) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if (t.entries[id].member.DataCentre == t.self.DataCentre) == local {
			ids = append(ids, id)
		}
	}
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (t *Table) randomDead() (Member, bool) {
	var dead []Member
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	return dead[t.rng.IntN(len(dead))], true
}

// Helpers returns up to n alive members other than target for indirect probes.
func (t *Table) Helpers(target string, n int) []Member {
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.ID != target && m.State == Alive {
			list = append(list, m)
		}
	}
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Updates returns the updates to send to a member: the ones sent least often
// first, and always the state that is held of the receiver itself if it is
// worse than alive, so that it can refute.
func (t *Table) Updates(receiver string) []Member {
	limit := transmitFactor * logSize(len(t.entries)+1)
	var due []*entry
	for id, e := range t.entries {
		if id != receiver && e.transmits < limit {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if a.transmits != b.transmits {
			return a.transmits - b.transmits
		}
		if a.member.ID < b.member.ID {
			return -1
		}
		return 1
	})
	var list []Member
	if e, ok := t.entries[receiver]; ok && e.member.State != Alive {
		list = append(list, e.member)
	}
	for _, e := range due[:min(MaxUpdates, len(due))] {
		e.transmits++
		list = append(list, e.member)
	}
	return list
}

func logSize(n int) int {
	log := 1
	for n > 1 {
		n /= 2
		log++
	}
	return log
}

// Whole returns every member that is not dead, for an instance that joins.
func (t *Table) Whole() []Member {
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.State != Dead {
			list = append(list, m)
		}
	}
	return list
}

// Totals returns the totals of all data centres; the own one is counted now.
func (t *Table) Totals(now time.Time) []Total {
	own := Total{DataCentre: t.self.DataCentre, Region: t.self.Region, CountedAt: now}
	for _, m := range t.Members() {
		if m.DataCentre == t.self.DataCentre {
			own.Members++
		}
	}
	t.totals[own.DataCentre] = own
	var list []Total
	for _, dc := range slices.Sorted(maps.Keys(t.totals)) {
		list = append(list, t.totals[dc])
	}
	return list
}

// MergeTotals takes newer totals of other data centres.
func (t *Table) MergeTotals(totals []Total) {
	for _, u := range totals {
		if u.DataCentre == t.self.DataCentre || !u.CountedAt.After(t.totals[u.DataCentre].CountedAt) {
			continue
		}
		t.totals[u.DataCentre] = u
	}
}
