package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// placeNext places the stream that is next and returns it.
func placeNext(t *testing.T, q *AdmissionQueue, now time.Time) *PendingStream {
	t.Helper()
	for _, s := range q.waiting {
		if q.IsNext(s, now) {
			q.Place(s)
			return s
		}
	}
	t.Fatal("no stream is next")
	return nil
}

// Guards against an organisation whose many streams are all placed before those of others that arrive a little later,
// and against shares by number that ignore the sizes of prompts.
func TestOrganisationsSharePlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	for i := range 20 {
		q.Join(&PendingStream{Organisation: "loud", Tokens: 8000, OnTimeUntil: now.Add(time.Duration(i) * time.Millisecond)})
	}
	for i := range 4 {
		q.Join(&PendingStream{Organisation: "bakery", Tokens: 8000, OnTimeUntil: now.Add(time.Second)})
		q.Join(&PendingStream{Organisation: "brief", Tokens: 4000, OnTimeUntil: now.Add(time.Second + time.Duration(i))})
	}
	tokens := map[string]int{}
	for range 10 {
		s := placeNext(t, q, now)
		tokens[s.Organisation] += s.Tokens
	}
	qt.Assert(t, tokens["bakery"] >= 16000, qt.IsTrue, qt.Commentf("%v", tokens))
	qt.Assert(t, tokens["brief"], qt.Equals, 16000, qt.Commentf("%v", tokens))
	qt.Assert(t, tokens["loud"] <= 32000, qt.IsTrue, qt.Commentf("%v", tokens))
	// An organisation that appears gets no places for the time in which it did not wait.
	q.Join(&PendingStream{Organisation: "new", Tokens: 8000, OnTimeUntil: now.Add(2 * time.Second)})
	q.Join(&PendingStream{Organisation: "new", Tokens: 8000, OnTimeUntil: now.Add(2 * time.Second)})
	placed := 0
	for range 4 {
		if placeNext(t, q, now).Organisation == "new" {
			placed++
		}
	}
	qt.Assert(t, placed <= 2, qt.IsTrue)
}

// Guards against an organisation that goes before a more urgent rank, or a late stream before one that can be on time.
func TestSharesKeepTheOrderOfRanks(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	for range 4 {
		q.Join(&PendingStream{Organisation: "loud", Rank: 0, Tokens: 8000, OnTimeUntil: now.Add(time.Second)})
	}
	q.Join(&PendingStream{Organisation: "bakery", Rank: 2, Tokens: 100, OnTimeUntil: now.Add(time.Second)})
	q.Join(&PendingStream{Organisation: "late", Rank: 0, Tokens: 100, OnTimeUntil: now.Add(-time.Second)})
	for range 4 {
		qt.Assert(t, placeNext(t, q, now).Organisation, qt.Equals, "loud")
	}
	qt.Assert(t, placeNext(t, q, now).Organisation, qt.Equals, "bakery")
	qt.Assert(t, placeNext(t, q, now).Organisation, qt.Equals, "late")
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// Guards against large prompts that wait for as long as small ones arrive, as each puts its organisation far behind.
func TestLargePromptsKeepAFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	join := func(organisation string, tokens int) {
		q.Join(&PendingStream{Organisation: organisation, Tokens: tokens, OnTimeUntil: now.Add(time.Second)})
	}
	for range 4 {
		join("papers", 30000)
	}
	for i := range 40 {
		join(fmt.Sprint("o", i%8), 4000)
	}
	tokens, large := 0, 0
	for range 30 {
		s := placeNext(t, q, now)
		tokens += s.Tokens
		if s.Tokens == 30000 {
			large += s.Tokens
		}
		join(fmt.Sprint("o", tokens%8), 4000)
	}
	qt.Assert(t, float64(large) >= largePromptShare*float64(tokens)/2, qt.IsTrue, qt.Commentf("%d of %d tokens", large, tokens))
}

func BenchmarkAdmissionOrder(b *testing.B) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	for i := range 32 {
		q.Join(&PendingStream{Organisation: fmt.Sprint(i % 8), Tokens: 8000, OnTimeUntil: now.Add(time.Duration(i))})
	}
	s := &PendingStream{Organisation: "3", Tokens: 8000, OnTimeUntil: now}
	b.ReportAllocs()
	for b.Loop() {
		q.IsNext(s, now)
	}
}

// Guards against streams beyond the usual load of their organisation that go before others of their rank, or after those
// of a more patient one.
func TestExcessGoesLastWithinItsRank(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &AdmissionQueue{}
	for _, s := range []PendingStream{
		{Organisation: "patient", Rank: 2, OnTimeUntil: now.Add(time.Second)},
		{Organisation: "excess", Excess: true, OnTimeUntil: now.Add(time.Second)},
		{Organisation: "usual", OnTimeUntil: now.Add(2 * time.Second)},
	} {
		q.Join(&s)
	}
	for _, want := range []string{"usual", "excess", "patient"} {
		qt.Assert(t, placeNext(t, q, now).Organisation, qt.Equals, want)
	}
}
