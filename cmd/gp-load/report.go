package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUS is the highest latency that is recorded, 20 minutes; a higher one is
	// recorded as this value.
	maxLatencyUS = 20 * 60 * 1_000_000
	// maxViolations bounds the violations that are listed; further ones are only counted.
	maxViolations = 20
)

// latencyHistogram records latencies in microseconds.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newHistogram() *latencyHistogram { return &latencyHistogram{hdrhistogram.New(1, maxLatencyUS, 2)} }

func (l *latencyHistogram) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

// latencySummary holds the quantiles of a latency in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// summary returns nil if no latency was recorded.
func (l *latencyHistogram) summary() *latencySummary {
	if l.histogram.TotalCount() == 0 {
		return nil
	}
	quantileMS := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return &latencySummary{l.histogram.TotalCount(), quantileMS(50), quantileMS(95), quantileMS(99), float64(l.histogram.Max()) / 1000}
}

// groupKey identifies the requests that are counted together.
type groupKey struct {
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	Rank         string `json:"rank"`
}

// groupStats holds the statistics of the requests with the same groupKey.
type groupStats struct {
	outcomes   map[string]int
	firstToken *latencyHistogram
	// gaps are the times between two tokens of a stream.
	gaps *latencyHistogram
	// resumes are the times from the loss of a connection to the next token.
	resumes   *latencyHistogram
	durations *latencyHistogram
	tokens    int64
}

// recorder collects the statistics and violations of a run.
type recorder struct {
	mu             sync.Mutex
	statsByGroup   map[groupKey]*groupStats
	violations     []string
	violationCount int
	// outcomeByKey holds the outcome reported to the caller for each one-time key.
	outcomeByKey map[string]string
}

func newRecorder() *recorder {
	return &recorder{statsByGroup: map[groupKey]*groupStats{}, outcomeByKey: map[string]string{}}
}

// update changes the statistics of one group, which it creates if necessary.
func (r *recorder) update(key groupKey, change func(*groupStats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.statsByGroup[key]
	if stats == nil {
		stats = &groupStats{outcomes: map[string]int{}, firstToken: newHistogram(), gaps: newHistogram(), resumes: newHistogram(), durations: newHistogram()}
		r.statsByGroup[key] = stats
	}
	change(stats)
}

// countOutcome counts one request of a group with an outcome.
func (r *recorder) countOutcome(key groupKey, outcome string) {
	r.update(key, func(stats *groupStats) { stats.outcomes[outcome]++ })
}

// addViolation records that a guarantee was broken.
func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationCount++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// setKeyOutcome records the outcome reported to the caller for a one-time key.
func (r *recorder) setKeyOutcome(key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeByKey[key] = outcome
}

// report is the result of a run, which is printed as JSON.
type report struct {
	Seconds        float64       `json:"seconds"`
	Sent           int           `json:"sent"`
	NotSent        int           `json:"not_sent"`
	Groups         []groupReport `json:"groups"`
	ViolationCount int           `json:"violation_count"`
	Violations     []string      `json:"violations"`
}

// groupReport is the part of a report about the requests with the same groupKey.
type groupReport struct {
	groupKey
	Outcomes   map[string]int  `json:"outcomes"`
	Tokens     int64           `json:"tokens,omitempty"`
	FirstToken *latencySummary `json:"first_token,omitempty"`
	Gaps       *latencySummary `json:"gaps,omitempty"`
	Resumes    *latencySummary `json:"resumes,omitempty"`
	Durations  *latencySummary `json:"durations,omitempty"`
}
