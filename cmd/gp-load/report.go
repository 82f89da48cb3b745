package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUS is the highest latency that is told apart, 20 minutes.
	maxLatencyUS = 20 * 60 * 1_000_000
	// maxViolations bounds the violations that are printed in full.
	maxViolations = 20
)

// latency collects times.
type latency struct{ histogram *hdrhistogram.Histogram }

func newLatency() *latency { return &latency{hdrhistogram.New(1, maxLatencyUS, 2)} }

func (l *latency) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

// summary is a latency in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// summary returns nil when nothing was measured.
func (l *latency) summary() *summary {
	if l.histogram.TotalCount() == 0 {
		return nil
	}
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return &summary{l.histogram.TotalCount(), at(50), at(95), at(99), float64(l.histogram.Max()) / 1000}
}

// groupName is the key of the figures of one kind of request.
type groupName struct {
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	Rank         string `json:"rank"`
}

type group struct {
	outcomes  map[string]int
	first     *latency
	gaps      *latency
	resumes   *latency
	durations *latency
	tokens    int64
}

// recorder collects the figures of a run.
type recorder struct {
	mu         sync.Mutex
	groups     map[groupName]*group
	violations []string
	violated   int
	// told holds what callers were told about each one-time key.
	told map[string]string
}

func newRecorder() *recorder {
	return &recorder{groups: map[groupName]*group{}, told: map[string]string{}}
}

// record changes the figures of one group.
func (r *recorder) record(name groupName, change func(*group)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[name]
	if g == nil {
		g = &group{outcomes: map[string]int{}, first: newLatency(), gaps: newLatency(), resumes: newLatency(), durations: newLatency()}
		r.groups[name] = g
	}
	change(g)
}

func (r *recorder) outcome(name groupName, outcome string) {
	r.record(name, func(g *group) { g.outcomes[outcome]++ })
}

// violation records a broken guarantee.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

func (r *recorder) tell(key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[key] = outcome
}

// report is the output of a run.
type report struct {
	Seconds        float64       `json:"seconds"`
	Sent           int           `json:"sent"`
	NotSent        int           `json:"not_sent"`
	Groups         []groupReport `json:"groups"`
	ViolationCount int           `json:"violation_count"`
	Violations     []string      `json:"violations"`
}

type groupReport struct {
	groupName
	Outcomes   map[string]int `json:"outcomes"`
	Tokens     int64          `json:"tokens,omitempty"`
	FirstToken *summary       `json:"first_token,omitempty"`
	Gaps       *summary       `json:"gaps,omitempty"`
	Resumes    *summary       `json:"resumes,omitempty"`
	Durations  *summary       `json:"durations,omitempty"`
}
