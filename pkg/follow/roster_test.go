package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testRoster follows "a" to "e" at the start of virtual time, of which "a" is the seed.
type testRoster struct {
	roster
	now time.Time
}

func newTestRoster() *testRoster {
	r := &testRoster{roster: roster{coordinators: map[string]*coordinatorState{}, seeds: []string{"a"}}, now: time.Unix(1000, 0)}
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		r.list(address, r.now)
	}
	return r
}

// hear plays d in which the coordinators at some addresses send events, which list these addresses, and removes those
// that expire.
func (r *testRoster) hear(d time.Duration, addresses ...string) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(HeartbeatInterval) {
		for _, address := range addresses {
			r.list(address, r.now)
		}
		for _, address := range addresses {
			r.recordEvent(r.coordinators[address], r.now)
		}
		for address, s := range r.coordinators {
			if s.lastEventAt.Equal(r.now) {
				continue
			}
			r.recordFailure(s, r.now)
			if r.isExpired(s, r.now) {
				delete(r.coordinators, address)
			}
		}
		r.addForgottenSeeds(r.now)
	}
}

func (r *testRoster) follows(addresses ...string) bool {
	for _, address := range addresses {
		if r.coordinators[address] == nil {
			return false
		}
	}
	return len(r.coordinators) == len(addresses)
}

// Guards against the loss of the last source of addresses: after a silence of any length, all addresses are tried until
// coordinators that are back have had coordinatorTTL to list them, and those that are gone for good are forgotten.
func TestRosterOutlivesSilence(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 19 * time.Second, 21 * time.Second, time.Hour, 24 * time.Hour} {
		r := newTestRoster()
		r.hear(5*time.Second, "a", "b", "c", "d", "e")
		r.hear(silence)
		qt.Assert(t, r.follows("a", "b", "c", "d", "e"), qt.IsTrue, qt.Commentf("after %s", silence))
		// One is back, then another one, and one at another address.
		r.hear(15*time.Second, "b")
		qt.Assert(t, r.follows("a", "b", "c", "d", "e"), qt.IsTrue)
		r.hear(10*time.Second, "b", "d", "f")
		qt.Assert(t, r.coordinators["d"], qt.IsNotNil)
		r.hear(15*time.Second, "b", "d", "f")
		qt.Assert(t, r.follows("b", "d", "f"), qt.IsTrue)
	}
}

// Guards against a coordinator without knowledge of the others: if it ends after they were forgotten for its sake, the
// addresses in the settings are tried again, and are forgotten once others are heard.
func TestRosterReturnsToTheSeeds(t *testing.T) {
	r := newTestRoster()
	r.hear(30*time.Second, "f")
	qt.Assert(t, r.follows("f"), qt.IsTrue)
	r.hear(5 * time.Second)
	qt.Assert(t, r.follows("a", "f"), qt.IsTrue)
	r.hear(30*time.Second, "f")
	qt.Assert(t, r.follows("f"), qt.IsTrue)
}

// Guards against addresses of coordinators that are gone in the number of those that are expected, with which the
// connected ones are compared, and against no number at all while all are silent.
func TestRosterCountsListedCoordinators(t *testing.T) {
	r := newTestRoster()
	r.hear(5*time.Second, "a", "b", "c", "d", "e")
	qt.Assert(t, r.count(r.now), qt.Equals, 5)
	r.hear(time.Minute)
	qt.Assert(t, r.count(r.now), qt.Equals, 5)
	r.hear(time.Second, "b", "f")
	qt.Assert(t, r.count(r.now), qt.Equals, 2)
	// A forgotten seed is tried again and does not count.
	r.hear(time.Minute, "b", "f")
	r.hear(2 * time.Second)
	qt.Assert(t, r.follows("a", "b", "f"), qt.IsTrue)
	qt.Assert(t, r.count(r.now), qt.Equals, 2)
}

// Guards against gateways that connect all at once, or without a pause, to a coordinator that is back after a long time,
// and against a long pause after a short failure.
func TestReconnectDelay(t *testing.T) {
	for _, test := range []struct{ failing, least, most time.Duration }{
		{0, minReconnectDelay / 2, minReconnectDelay},
		{400 * time.Millisecond, minReconnectDelay / 2, minReconnectDelay},
		{2 * time.Second, 125 * time.Millisecond, 250 * time.Millisecond},
		{time.Minute, maxReconnectDelay / 2, maxReconnectDelay},
		{24 * time.Hour, maxReconnectDelay / 2, maxReconnectDelay},
	} {
		r, shortest, longest := newTestRoster(), time.Hour, time.Duration(0)
		s := r.coordinators["a"]
		r.recordFailure(s, r.now)
		for range 1000 {
			delay := s.reconnectDelay(r.now.Add(test.failing))
			shortest, longest = min(shortest, delay), max(longest, delay)
		}
		qt.Assert(t, shortest >= test.least && longest <= test.most, qt.IsTrue, qt.Commentf("%s: %s to %s", test.failing, shortest, longest))
		qt.Assert(t, longest-shortest > (test.most-test.least)/2, qt.IsTrue)
	}
}
