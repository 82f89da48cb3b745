package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

var start = time.Unix(1000, 0)

func atMillis(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestPool returns the pool of a gateway in the data centre "local". The ID of a server is the
// name of its data centre and a digit: "local1", "remote2".
func newTestPool(ids ...string) *Pool {
	p := NewPool("local", rand.New(rand.NewPCG(1, 2)))
	for _, id := range ids {
		p.Update(directory.Server{ID: id, Service: "s", Address: id, DataCentre: id[:len(id)-1], StartedMS: 1, Slots: 6}, start)
	}
	return p
}

// callCounts returns how often each server is selected in 100 calls.
func callCounts(p *Pool, now time.Time, exclude ...string) map[string]int {
	counts := map[string]int{}
	for range 100 {
		if s := p.SelectForCall(now, exclude); s != nil {
			counts[s.ID]++
		}
	}
	return counts
}

// Guards against calls to a loaded, remote, failing, slow or unreachable server while a better one is
// available.
func TestCallAvoids(t *testing.T) {
	tests := []struct {
		name    string
		degrade func(p *Pool)
		want    string
	}{
		{"remote", func(*Pool) {}, "local1"},
		{"requests in flight", func(p *Pool) { p.RecordRequestStart("local1"); p.RecordRequestStart("local1") }, "remote1"},
		{"reported load", func(p *Pool) { p.RecordLoad("local1", LoadReport{Running: 6, Waiting: 3, Slots: 6}, atMillis(0)) }, "remote1"},
		{"unreachable", func(p *Pool) { p.RecordUnreachable("local1", atMillis(0)) }, "remote1"},
		{"failing with good health", func(p *Pool) {
			for range 3 {
				p.RecordFailure("local1")
			}
		}, "remote1"},
		{"slow", func(p *Pool) {
			for range 20 {
				p.RecordSuccess("local1", 400*time.Millisecond, atMillis(0))
				p.RecordSuccess("remote1", 20*time.Millisecond, atMillis(0))
			}
		}, "remote1"},
		{"leaving", func(p *Pool) {
			p.Update(directory.Server{ID: "local1", DataCentre: "local", StartedMS: 1, State: directory.Leaving}, atMillis(0))
		}, "remote1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool("local1", "remote1")
			tt.degrade(p)
			qt.Assert(t, callCounts(p, atMillis(10)), qt.DeepEquals, map[string]int{tt.want: 100})
		})
	}
}

// Guards against a server that is never tried again after it could not be reached, against
// detecting a recovery with callers' requests instead of probes, and against returning no server
// while an unreachable one remains.
func TestUnreachableServersComeBack(t *testing.T) {
	p := newTestPool("local1", "remote1")
	p.RecordUnreachable("local1", atMillis(0))
	qt.Assert(t, callCounts(p, atMillis(50), "remote1")["local1"], qt.Equals, 100)
	qt.Assert(t, p.DueProbes(atMillis(50)), qt.DeepEquals, []Probe{{"local1", "local1"}})
	qt.Assert(t, p.DueProbes(atMillis(60)), qt.HasLen, 0)
	qt.Assert(t, p.RecordProbe("local1", false, atMillis(100)), qt.IsFalse)
	qt.Assert(t, callCounts(p, atMillis(250))["local1"], qt.Equals, 0)
	qt.Assert(t, p.DueProbes(atMillis(250)), qt.HasLen, 1)
	qt.Assert(t, p.RecordProbe("local1", true, atMillis(300)), qt.IsTrue)
	qt.Assert(t, callCounts(p, atMillis(300))["local1"], qt.Equals, 100)
	qt.Assert(t, p.DueProbes(atMillis(500)), qt.HasLen, 0)
	// The delay between probes grows while they fail, up to maxProbeBackoff.
	downPool, probeCount := newTestPool("local1"), 0
	downPool.RecordUnreachable("local1", atMillis(0))
	for ms := 0; ms < 10000; ms += 20 {
		for range downPool.DueProbes(atMillis(ms)) {
			probeCount++
			downPool.RecordProbe("local1", false, atMillis(ms))
		}
	}
	qt.Assert(t, probeCount >= 10 && probeCount <= 14, qt.IsTrue, qt.Commentf("%d probes in 10 s", probeCount))
	// A server that accepts connections but never responds is avoided for a backoff that doubles
	// with each failure, up to maxAvoidBackoff.
	for _, ms := range []int{1000, 2000, 4000, 8000, 16000} {
		p.RecordUnreachable("local1", atMillis(ms))
		p.RecordProbe("local1", true, atMillis(ms+1))
		qt.Assert(t, callCounts(p, atMillis(ms+200))["local1"], qt.Equals, 0)
	}
	qt.Assert(t, callCounts(p, atMillis(16000+int(maxAvoidBackoff/time.Millisecond)+1))["local1"], qt.Equals, 100)
	// Without a probe, the server is tried again after unreachableTimeout.
	p.RecordUnreachable("local1", atMillis(30000))
	qt.Assert(t, callCounts(p, atMillis(30000).Add(unreachableTimeout-time.Millisecond))["local1"], qt.Equals, 0)
	qt.Assert(t, callCounts(p, atMillis(30000).Add(unreachableTimeout))["local1"], qt.Equals, 100)
	qt.Assert(t, p.RecordProbe("gone", true, atMillis(0)), qt.IsFalse)
}

// Simulates a partition: the servers of the data centre that no request has tried must be probed
// too, and become available one by one.
func TestProbesOfAnOutage(t *testing.T) {
	p := newTestPool("local1", "remote1", "remote2", "remote3")
	p.RecordUnreachable("remote1", atMillis(0))
	qt.Assert(t, p.DueProbes(atMillis(1)), qt.HasLen, 1)
	p.RecordUnreachable("remote2", atMillis(10))
	qt.Assert(t, p.DueProbes(atMillis(200)), qt.HasLen, 3)
	qt.Assert(t, p.RecordProbe("remote3", true, atMillis(210)), qt.IsTrue)
	qt.Assert(t, p.isAvoided(p.Get("remote3"), atMillis(220)), qt.IsFalse)
	qt.Assert(t, p.isAvoided(p.Get("remote1"), atMillis(220)), qt.IsTrue)
	// Servers that end without an announcement, such as restarted ones, count as unreachable.
	outagePool := newTestPool("remote1", "remote2", "remote3")
	outagePool.RecordUnannouncedEnd("remote1", atMillis(0))
	outagePool.RecordUnannouncedEnd("remote2", atMillis(1))
	qt.Assert(t, outagePool.isAvoided(outagePool.Get("remote3"), atMillis(2)), qt.IsTrue)
	for i := range 10 * maxUnreachableTimes {
		outagePool.RecordUnreachable("remote1", atMillis(i*10000))
	}
	qt.Assert(t, len(outagePool.unreachableTimes["remote"]) <= maxUnreachableTimes, qt.IsTrue)
}

// Simulates a data centre whose servers fail together: without outage detection, requests would
// have to detect the failure of each server separately.
func TestOutageOfADataCentre(t *testing.T) {
	p := newTestPool("local1", "local2", "local3", "local4", "remote1")
	p.RecordUnreachable("local1", atMillis(0))
	qt.Assert(t, callCounts(p, atMillis(10))["remote1"], qt.Equals, 0)
	p.RecordUnreachable("local2", atMillis(10))
	qt.Assert(t, callCounts(p, atMillis(20)), qt.DeepEquals, map[string]int{"remote1": 100})
	// A server that sends a load report is used again.
	p.RecordLoad("local3", LoadReport{Slots: 6}, atMillis(30))
	qt.Assert(t, callCounts(p, atMillis(40))["local3"], qt.Equals, 100)
	// A server that started after the outage is not affected by it.
	p.Update(directory.Server{ID: "local5", Address: "local5", DataCentre: "local", StartedMS: 9, Slots: 6}, atMillis(100))
	p.RecordRequestStart("local3")
	p.RecordRequestStart("local3")
	qt.Assert(t, callCounts(p, atMillis(110)), qt.DeepEquals, map[string]int{"local5": 100})
}

// Guards against state of the earlier process being kept for a server that restarted with the
// same ID.
func TestRestartClearsWhatIsKnown(t *testing.T) {
	p := newTestPool("local1")
	p.RecordFailure("local1")
	p.RecordUnreachable("local1", atMillis(0))
	p.Reserve("local1", 8000, 0, 1)
	changed := p.Update(directory.Server{ID: "local1", Address: "local1", DataCentre: "local", StartedMS: 2}, atMillis(1))
	qt.Assert(t, changed, qt.IsTrue)
	s := p.Get("local1")
	qt.Assert(t, s.RunTokens, qt.Equals, 0)
	qt.Assert(t, s.failureRate, qt.Equals, 0.0)
	qt.Assert(t, p.AllUnreachable(atMillis(2)), qt.IsFalse)
}

// Guards against a gateway that stays in rotation although it can reach no server, and against
// one that leaves it while a server responds.
func TestAllUnreachable(t *testing.T) {
	p := newTestPool("remote1", "remote2")
	qt.Assert(t, p.AllUnreachable(atMillis(0)), qt.IsFalse)
	p.RecordUnreachable("remote1", atMillis(0))
	qt.Assert(t, p.AllUnreachable(atMillis(1)), qt.IsFalse)
	p.RecordUnreachable("remote2", atMillis(1))
	qt.Assert(t, p.AllUnreachable(atMillis(2)), qt.IsTrue)
	p.RecordSuccess("remote2", time.Millisecond, atMillis(3))
	qt.Assert(t, p.AllUnreachable(atMillis(4)), qt.IsFalse)
	qt.Assert(t, newTestPool().AllUnreachable(atMillis(0)), qt.IsTrue)
}

// Guards against a server that gets no calls any more after a slow response, while others have room.
func TestSlowServerIsTriedAgain(t *testing.T) {
	for _, latency := range []time.Duration{60 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		t.Run(latency.String(), func(t *testing.T) {
			p := newTestPool("local1", "local2")
			p.RecordSuccess("local1", latency, atMillis(0))
			var selected []string
			for ms := 100; ms <= 6000; ms += 100 {
				s := p.SelectForCall(atMillis(ms), nil)
				selected = append(selected, s.ID)
				p.RecordSuccess(s.ID, 15*time.Millisecond, atMillis(ms))
			}
			qt.Assert(t, slices.Index(selected, "local1") > 10, qt.IsTrue, qt.Commentf("%v", selected))
			// A quick response shows that it is no longer slow.
			counts := callCounts(p, atMillis(6100))
			qt.Assert(t, counts["local1"] > 20, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// Guards against a server that stays slow and gets more than a few of the calls.
func TestServerThatStaysSlowGetsFewCalls(t *testing.T) {
	p := newTestPool("local1", "local2")
	slow := 0
	for ms := 0; ms < 60000; ms += 20 {
		s := p.SelectForCall(atMillis(ms), nil)
		latency := 15 * time.Millisecond
		if s.ID == "local1" {
			latency, slow = 400*time.Millisecond, slow+1
		}
		p.RecordSuccess(s.ID, latency, atMillis(ms))
	}
	qt.Assert(t, slow >= 5 && slow <= 30, qt.IsTrue, qt.Commentf("%d of 3000 calls", slow))
}
