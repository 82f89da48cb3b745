package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures a decision with 20 routes in the reports, and BenchmarkAdd one report of 20 routes. A
// leader makes 10 decisions per second and rollout, and takes in 1,000 reports per second from 300 gateways.
func BenchmarkDecide(b *testing.B) {
	e := NewEvidence(1)
	r := Record{Number: 1, Step: 1, Share: 0.03, Duration: time.Hour}
	for i := range 100 {
		e.Add("a", 1, benchmarkReport(100+i), testStart.Add(time.Duration(i)*100*time.Millisecond))
		e.Observe(testStart.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(r, e, testBounds, situation(10*time.Second))
	}
}

func BenchmarkAdd(b *testing.B) {
	e := NewEvidence(1)
	var reports []Report
	for i := range 1000 {
		reports = append(reports, benchmarkReport(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// Each process reports a thousand times.
		e.Add("a", uint64(i/len(reports)), reports[i%len(reports)], testStart)
	}
}

func benchmarkReport(n int) Report {
	r := Report{Number: 1, Step: 1}
	for route := range 20 {
		name := fmt.Sprint("route", route)
		r.Counts = append(r.Counts, responses(name, false, 30*n, n/10, 20*time.Millisecond), responses(name, true, n, n/100, 20*time.Millisecond))
	}
	return r
}
