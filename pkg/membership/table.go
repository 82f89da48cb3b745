package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals, timeouts and bounds of the failure detector.
const (
	// ProbeInterval is the time between two probes that one instance sends.
	ProbeInterval = 300 * time.Millisecond
	// ProbeTimeout bounds a direct probe, and an indirect one as a whole.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is how long a suspect has to refute the suspicion before it
	// is declared dead, and a leaving member to respond after a failed probe.
	SuspicionTimeout = 900 * time.Millisecond
	// deadRetention is how long a dead member stays in the list, so that old updates
	// do not revive it and probes of it can detect that a partition has healed.
	deadRetention = 10 * time.Minute
	// MaxContactsPerDataCentre bounds the contacts of each other data centre: the
	// members of it that the list holds.
	MaxContactsPerDataCentre = 8
	// remoteProbeEvery is the number of probes of which one goes to another data
	// centre.
	remoteProbeEvery = 3
	// deadProbeEvery is the number of probes of which one goes to a dead member, to
	// detect that a partition has healed.
	deadProbeEvery = 7
	// MaxUpdatesPerProbe bounds the updates that are sent with one probe.
	MaxUpdatesPerProbe = 8
	// transmissionFactor times the bit length of the number of members bounds how
	// often this instance sends one update.
	transmissionFactor = 3
)

// DataCentreTotal is the number of members of one data centre.
type DataCentreTotal struct {
	DataCentre string
	Region     string
	Members    int
	// CountedAt is the time of the count by the clock of the instance that counted.
	CountedAt time.Time
}

type memberEntry struct {
	member Member
	// failedAt is when a probe failed or a suspicion was received; zero if neither.
	// SuspicionTimeout runs from then on.
	failedAt time.Time
	deadAt   time.Time
	// transmissions counts how often the current state was sent to other members.
	transmissions int
}

// List is the membership list and failure detector of one instance. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type List struct {
	self    Member
	entries map[string]*memberEntry
	totals  map[string]DataCentreTotal
	rng     *rand.Rand
	// localRound and remoteRound hold, in random order, the identifiers of members of
	// this and of other data centres that are still to be probed in the current round.
	localRound, remoteRound []string
	targetCount             int
	selfTransmissions       int
}

// NewList returns a list with this instance as its only member. The incarnation
// of self must be higher than at any earlier start.
func NewList(self Member, rng *rand.Rand) *List {
	return &List{self: self, entries: map[string]*memberEntry{}, totals: map[string]DataCentreTotal{}, rng: rng}
}

// Self returns this instance.
func (t *List) Self() Member { return t.self }

// Leave marks this instance as leaving.
func (t *List) Leave() {
	t.self.State = Leaving
	t.self.Incarnation++
	t.selfTransmissions = 0
}

// Members returns the instances that are alive or suspect, this one included unless
// it is leaving.
func (t *List) Members() []Member {
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

// Member returns an instance of the list unless it is dead.
func (t *List) Member(id string) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.entries[id]
	if !ok || e.member.State == Dead {
		return Member{}, false
	}
	return e.member, true
}

// Merge applies updates from another instance and returns the members whose state
// or incarnation changed in this list.
func (t *List) Merge(now time.Time, updates []Member) []Member {
	var changed []Member
	for _, u := range updates {
		if u.ID == t.self.ID {
			t.refute(u)
			continue
		}
		if t.mergeUpdate(now, u) {
			changed = append(changed, u)
		}
	}
	if len(changed) > 0 {
		t.trimContacts()
	}
	return changed
}

// refute increases the incarnation of this instance if another instance holds a
// worse state of it.
func (t *List) refute(u Member) {
	if u.Incarnation < t.self.Incarnation || u.State <= t.self.State {
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.selfTransmissions = 0
}

func (t *List) mergeUpdate(now time.Time, u Member) bool {
	e, exists := t.entries[u.ID]
	if !exists {
		if u.State == Dead {
			return false
		}
		e = &memberEntry{}
		t.entries[u.ID] = e
	} else if !supersedes(u, e.member) {
		return false
	}
	old := e.member
	e.member, e.transmissions = u, 0
	e.failedAt, e.deadAt = time.Time{}, time.Time{}
	switch u.State {
	case Suspect:
		e.failedAt = now
	case Dead:
		e.deadAt = now
	}
	return !exists || old.State != u.State || old.Incarnation != u.Incarnation
}

// supersedes reports whether u replaces old: it has a higher incarnation, or the
// same incarnation and a worse state.
func supersedes(u, old Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// trimContacts removes members of other data centres beyond MaxContactsPerDataCentre.
// All instances keep the same ones, because they rank them by the same hash.
func (t *List) trimContacts() {
	byDataCentre := map[string][]Member{}
	for _, e := range t.entries {
		if dc := e.member.DataCentre; dc != t.self.DataCentre && e.member.State != Dead {
			byDataCentre[dc] = append(byDataCentre[dc], e.member)
		}
	}
	for dc, members := range byDataCentre {
		if len(members) <= MaxContactsPerDataCentre {
			continue
		}
		for _, m := range RankByHash("contacts@"+dc, members)[MaxContactsPerDataCentre:] {
			delete(t.entries, m.ID)
		}
	}
}

// RecordResponse records that a member responded, which clears an earlier probe
// failure of a leaving member. A suspect refutes with a higher incarnation instead.
func (t *List) RecordResponse(id string) {
	e, ok := t.entries[id]
	if ok && e.member.State == Leaving {
		e.failedAt = time.Time{}
	}
}

// RecordProbeFailure records that the direct and indirect probes of a member failed.
// It returns the member if it became suspect.
func (t *List) RecordProbeFailure(now time.Time, id string) []Member {
	e, ok := t.entries[id]
	if !ok || !e.failedAt.IsZero() || e.member.State == Dead {
		return nil
	}
	e.failedAt = now
	if e.member.State != Alive {
		return nil
	}
	e.member.State, e.transmissions = Suspect, 0
	return []Member{e.member}
}

// ExpireMembers declares members dead that did not refute or respond within
// SuspicionTimeout after a failure, and returns them. It removes dead members after
// deadRetention.
func (t *List) ExpireMembers(now time.Time) []Member {
	var changed []Member
	for id, e := range t.entries {
		switch {
		case e.member.State == Dead:
			if now.Sub(e.deadAt) > deadRetention {
				delete(t.entries, id)
			}
		case !e.failedAt.IsZero() && now.Sub(e.failedAt) >= SuspicionTimeout:
			e.member.State, e.transmissions, e.deadAt = Dead, 0, now
			changed = append(changed, e.member)
		}
	}
	return changed
}

// NextProbeTarget returns the next member to probe.
func (t *List) NextProbeTarget() (Member, bool) {
	t.targetCount++
	if t.targetCount%deadProbeEvery == 0 {
		if m, ok := t.randomDeadMember(); ok {
			return m, true
		}
	}
	if t.targetCount%remoteProbeEvery == 0 {
		if m, ok := t.nextInRound(&t.remoteRound, false); ok {
			return m, true
		}
	}
	if m, ok := t.nextInRound(&t.localRound, true); ok {
		return m, true
	}
	return t.nextInRound(&t.remoteRound, false)
}

// nextInRound removes the next member from a round, and begins a new round when it
// is empty.
func (t *List) nextInRound(round *[]string, local bool) (Member, bool) {
	for range 2 {
		for len(*round) > 0 {
			id := (*round)[0]
			*round = (*round)[1:]
			if e, ok := t.entries[id]; ok && e.member.State != Dead {
				return e.member, true
			}
		}
		*round = t.shuffledIDs(local)
	}
	return Member{}, false
}

func (t *List) shuffledIDs(local bool) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if (t.entries[id].member.DataCentre == t.self.DataCentre) == local {
			ids = append(ids, id)
		}
	}
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (t *List) randomDeadMember() (Member, bool) {
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

// IndirectProbers returns up to n alive members other than target, in random order.
func (t *List) IndirectProbers(target string, n int) []Member {
	var candidates []Member
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.ID != target && m.State == Alive {
			candidates = append(candidates, m)
		}
	}
	t.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// UpdatesFor returns the updates to send to a member, those sent least often first.
// If the list holds a state of the receiver that is worse than alive, that state
// is always included, so that the receiver can refute it.
func (t *List) UpdatesFor(receiver string) []Member {
	maxTransmissions := transmissionFactor * bitLength(len(t.entries)+1)
	var candidates []*memberEntry
	for id, e := range t.entries {
		if id != receiver && e.transmissions < maxTransmissions {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *memberEntry) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
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
	for _, e := range candidates[:min(MaxUpdatesPerProbe, len(candidates))] {
		e.transmissions++
		list = append(list, e.member)
	}
	return list
}

// bitLength returns the number of bits of n, which is at least 1: the binary logarithm
// rounded down, plus one.
func bitLength(n int) int {
	length := 1
	for n > 1 {
		n /= 2
		length++
	}
	return length
}

// JoinSnapshot returns all other members that are not dead, for an instance that
// joins.
func (t *List) JoinSnapshot() []Member {
	var list []Member
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if m := t.entries[id].member; m.State != Dead {
			list = append(list, m)
		}
	}
	return list
}

// Totals returns the totals of all data centres. It counts this data centre anew.
func (t *List) Totals(now time.Time) []DataCentreTotal {
	local := DataCentreTotal{DataCentre: t.self.DataCentre, Region: t.self.Region, CountedAt: now}
	for _, m := range t.Members() {
		if m.DataCentre == t.self.DataCentre {
			local.Members++
		}
	}
	t.totals[local.DataCentre] = local
	var list []DataCentreTotal
	for _, dc := range slices.Sorted(maps.Keys(t.totals)) {
		list = append(list, t.totals[dc])
	}
	return list
}

// MergeTotals stores the totals of other data centres that are newer than the ones
// it has.
func (t *List) MergeTotals(totals []DataCentreTotal) {
	for _, total := range totals {
		if total.DataCentre == t.self.DataCentre || !total.CountedAt.After(t.totals[total.DataCentre].CountedAt) {
			continue
		}
		t.totals[total.DataCentre] = total
	}
}
