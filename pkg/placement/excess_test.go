package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against streams beyond the usual load of their organisation that go before others of their rank, or after those
// of a more patient one.
func TestExcessGoesLastWithinItsRank(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	patient := &PendingStream{Rank: 2, OnTimeUntil: now.Add(time.Second)}
	excess := &PendingStream{Excess: true, OnTimeUntil: now.Add(time.Second)}
	usual := &PendingStream{OnTimeUntil: now.Add(2 * time.Second)}
	for _, s := range []*PendingStream{patient, excess, usual} {
		q.Join(s)
	}
	for _, want := range []*PendingStream{usual, excess, patient} {
		for _, s := range q.waiting {
			qt.Assert(t, q.IsNext(s, now), qt.Equals, s == want)
		}
		q.Leave(want)
	}
}
