package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against gateways that each learn a few engines and do not profit from each other: 88 gateways with two
// requests per second each see an engine once a minute.
func TestSharedEstimatesOfManyGateways(t *testing.T) {
	const gateways, engines = 30, 60
	simulations := make([]*simulation, gateways)
	for i := range simulations {
		simulations[i] = newSimulation(uint64(i), threeSpeeds(engines)...)
		// Before the gateway takes part, it learns what is usual.
		simulations[i].run(30*time.Second, 0, 10*time.Second)
	}
	table := NewTable()
	versions := make([]uint64, gateways)
	for range 15 {
		for i, s := range simulations {
			var pending Pending
			for j, e := range s.engines {
				if s.random.Float64() > 0.1 {
					continue
				}
				log, weight := s.usual.RecordFirstEvent(e.estimate, Prompt{Tokens: 8000}, duration(1000*s.times(e)), s.at())
				pending.Add(Sample{Process: Process{ID: fmt.Sprint("e", j), StartedMS: 1}, Log: log, Weight: weight, At: s.at()})
			}
			table.Record(fmt.Sprint("g", i), pending.Take(), s.at())
			changes, upTo := table.Changes(versions[i], 100, s.at())
			versions[i] = upTo
			for _, c := range changes {
				var j int
				_, _ = fmt.Sscanf(c.Process.ID, "e%d", &j)
				s.engines[j].estimate.RecordShared(Shared{Log: c.Log, Weight: c.Weight, Gateways: c.Gateways, ReceivedAt: s.at()})
			}
			s.now += 2 * time.Second
		}
	}
	wrong := 0
	for _, e := range simulations[0].engines {
		got := e.estimate.Pace(simulations[0].at())
		if ratio := got * e.speed; ratio < 0.7 || ratio > 1.4 {
			wrong++
		}
	}
	qt.Assert(t, wrong <= engines/10, qt.IsTrue, qt.Commentf("%d of %d estimates", wrong, engines))
	changes, _ := table.Changes(0, 1000, simulations[0].at())
	qt.Assert(t, changes, qt.HasLen, engines)
	qt.Assert(t, changes[0].Gateways > 1 && changes[0].Samples > 1, qt.IsTrue, qt.Commentf("%+v", changes[0]))
}

// Guards against samples of an earlier process, implausible ones, and a table that grows without bound.
func TestTableKeepsProcessesApart(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	sample := func(started int64, log float64) []Sample {
		return []Sample{{Process: Process{ID: "e", StartedMS: started}, Log: log, Weight: 1, At: now}}
	}
	table.Record("g", sample(2, 1), now)
	table.Record("g", sample(1, -1), now)
	changes, version := table.Changes(0, 10, now)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Check(t, changes[0].Log, qt.Equals, 1.0)
	qt.Check(t, changes[0].Gateways, qt.Equals, 1)
	table.Record("h", sample(3, 1000), now)
	changes, later := table.Changes(version, 10, now)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Check(t, changes[0], qt.DeepEquals, Entry{Process: Process{ID: "e", StartedMS: 3}, Log: maxLog, Weight: 1, Samples: 1, Gateways: 1})
	changes, same := table.Changes(later, 10, now)
	qt.Check(t, changes, qt.HasLen, 0)
	qt.Check(t, same, qt.Equals, later)
	// A gateway that knows a version of another coordinator gets everything.
	changes, _ = table.Changes(later+100, 10, now)
	qt.Check(t, changes, qt.HasLen, 1)
	table.Record("g", sample(3, math.NaN()), now)
	table.Record("g", []Sample{{Process: Process{ID: "old"}, Weight: 1, At: now.Add(-time.Hour)}}, now)
	qt.Check(t, table.Len(), qt.Equals, 1)
	for i := range maxEntries + 10 {
		table.Record("g", []Sample{{Process: Process{ID: fmt.Sprint(i)}, Weight: 1, At: now}}, now)
	}
	qt.Check(t, table.Len(), qt.Equals, maxEntries)
	expired := now.Add(2 * entryTTL)
	for range maxEntries/expireSteps + 1 {
		table.Record("g", []Sample{{Process: Process{ID: "new"}, Weight: 1, At: expired}}, expired)
	}
	qt.Check(t, table.Len(), qt.Equals, 1)
}

// Guards against changes that are lost because there are more than fit into one response.
func TestChangesAreSentInParts(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	for i := range 250 {
		table.Record("g", []Sample{{Process: Process{ID: fmt.Sprint("e", i)}, Log: 0.5, Weight: 1, At: now}}, now)
	}
	seen := map[string]bool{}
	version := uint64(0)
	for range 3 {
		changes, upTo := table.Changes(version, 100, now)
		version = upTo
		for _, c := range changes {
			seen[c.Process.ID] = true
		}
	}
	qt.Assert(t, seen, qt.HasLen, 250)
	// An unchanged estimate is sent again after publishInterval only.
	repeat := func(at time.Time) int {
		table.Record("g", []Sample{{Process: Process{ID: "e7"}, Log: 0.5, Weight: 1, At: at}}, at)
		changes, upTo := table.Changes(version, 100, at)
		version = upTo
		return len(changes)
	}
	qt.Check(t, repeat(now.Add(time.Second)), qt.Equals, 0)
	qt.Check(t, repeat(now.Add(publishInterval)), qt.Equals, 1)
	// One of the usual pace is not: without an estimate, an engine counts as usual.
	usual := []Sample{{Process: Process{ID: "usual"}, Weight: 1, At: now.Add(publishInterval)}}
	table.Record("g", usual, now.Add(publishInterval))
	_, version = table.Changes(version, 100, now.Add(publishInterval))
	usual[0].At = now.Add(3 * publishInterval)
	table.Record("g", usual, usual[0].At)
	changes, _ := table.Changes(version, 100, usual[0].At)
	qt.Check(t, changes, qt.HasLen, 0)
}

// Guards against pending samples that grow while no coordinator can be reached.
func TestPendingSamplesAreBounded(t *testing.T) {
	var p Pending
	now := time.Unix(1000, 0)
	for i := range 10 * maxPending {
		p.Add(Sample{Process: Process{ID: fmt.Sprint(i)}, Weight: 1, At: now.Add(time.Duration(i) * time.Second)})
	}
	taken := p.Take()
	qt.Assert(t, taken, qt.HasLen, maxPending)
	qt.Assert(t, taken[len(taken)-1].Process.ID, qt.Equals, fmt.Sprint(10*maxPending-1))
	qt.Assert(t, p.Take(), qt.HasLen, 0)
	for i := range 3 {
		p.Add(Sample{Process: Process{ID: "e"}, Log: float64(i), Weight: 0.5, At: now.Add(time.Duration(i) * 100 * time.Millisecond)})
	}
	merged := p.Take()
	qt.Assert(t, merged, qt.HasLen, 1)
	qt.Assert(t, merged[0].Log, qt.Equals, 1.0)
}

// Guards against a table whose cost per report grows with the number of servers.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{24, 600, 11000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable()
			now := time.Unix(1000, 0)
			samples := make([]Sample, n)
			for i := range samples {
				samples[i] = Sample{Process: Process{ID: fmt.Sprint("e", i)}, Log: 0.5, Weight: 1, At: now}
			}
			table.Record("g", samples, now)
			_, version := table.Changes(0, n, now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				report := samples[(i*20)%(n-20):][:20]
				for j := range report {
					report[j].At = now
				}
				table.Record("g", report, now)
				_, version = table.Changes(version, 100, now)
			}
		})
	}
}
