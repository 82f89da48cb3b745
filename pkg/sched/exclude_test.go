package sched

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a resumed generation that waits for the probe of an ejected backend
// server while all other servers are excluded. It must be refused at once, so that
// another data centre can serve it.
func TestExcludedAndEjectedServersLeaveNone(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, Config{Ranks: defaultRanks}, rand.New(rand.NewSource(1)))
	for i := range 2 {
		p.Announce(now, Announcement{ID: fmt.Sprint("b", i), Slots: 4, Incarnation: 1, Sequence: 1})
	}
	now = now.Add(2 * announcementWait)
	for number := uint64(1); p.Stats().Ejected == 0 && number < 20; number++ {
		key := Key{"e", number}
		d := p.Acquire(now, Request{Key: key, Organisation: "o", Rank: Patient, Exclude: []string{"b1"}})
		qt.Assert(t, d[0].Kind, qt.Equals, Granted)
		p.Release(now, key, Usage{Outcome: Failed})
	}
	qt.Assert(t, p.Stats().Ejected, qt.Equals, 1)
	d := p.Acquire(now, Request{Key: Key{"e", 100}, Organisation: "o", Rank: Patient, Exclude: []string{"b1"}, ResumedTokens: 50})
	qt.Assert(t, d, qt.HasLen, 1)
	qt.Assert(t, d[0].Reason, qt.Equals, NoBackend)
}
