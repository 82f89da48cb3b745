package main

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

// Kinds of requests. In the report, "order" is an at-most-once call with a one-time key, and
// "read" an idempotent call.
const (
	kindGeneration = "generation"
	kindAtMostOnce = "order"
	kindRead       = "read"
)

// sender sends the requests of a run.
type sender struct {
	options
	client   *http.Client
	recorder *recorder
}

func newSender(o options) *sender {
	return &sender{
		options: o, recorder: newRecorder(),
		client: &http.Client{Transport: httpstrict.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64, DisableCompression: true,
		})},
	}
}

// requestSpec describes one request to send.
type requestSpec struct {
	kind   string
	caller caller
	rank   string
	// firstEntry is the index of the entry instance that receives the first attempt.
	firstEntry int
	tokens     int
	prompt     string
	// dueAt is when the request should be sent; latencies are measured from it, not from the
	// time of sending.
	dueAt time.Time
}

func (r requestSpec) groupKey() groupKey { return groupKey{r.kind, r.caller.organisation, r.rank} }

// run sends requests at a fixed rate, independent of response times, and waits for them to
// end. A request that is due while maxInFlight others are in flight is not sent.
func run(ctx context.Context, o options) report {
	s := newSender(o)
	startedAt := time.Now()
	requestCtx, cancel := context.WithDeadline(ctx, startedAt.Add(o.sendDuration+o.gracePeriod))
	defer cancel()
	var pending sync.WaitGroup
	inFlight := make(chan struct{}, o.maxInFlight)
	rng := rand.New(rand.NewPCG(o.seed, o.seed))
	result := report{}
	interval := time.Duration(float64(time.Second) / o.requestsPerSecond)
	for dueAt := startedAt; dueAt.Before(startedAt.Add(o.sendDuration)) && sleepUntil(ctx, dueAt); dueAt = dueAt.Add(interval) {
		spec := s.drawRequest(rng, dueAt)
		select {
		case inFlight <- struct{}{}:
		default:
			result.NotSent++
			continue
		}
		result.Sent++
		pending.Go(func() {
			defer func() { <-inFlight }()
			s.send(requestCtx, spec)
		})
	}
	pending.Wait()
	result.Seconds = time.Since(startedAt).Seconds()
	s.checkExecutions()
	s.recorder.fillReport(&result)
	return result
}

// sleepUntil waits until deadline and reports whether it was reached before ctx ended.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// drawRequest returns a random request according to the options.
func (s *sender) drawRequest(rng *rand.Rand, dueAt time.Time) requestSpec {
	spec := requestSpec{
		kind: kindGeneration, caller: s.callers[rng.IntN(len(s.callers))], rank: document.Patient,
		firstEntry: rng.IntN(len(s.entries)), tokens: s.minTokens + rng.IntN(s.maxTokens-s.minTokens+1), dueAt: dueAt,
	}
	if rng.IntN(100) < s.urgentPercent {
		spec.rank = document.Urgent
	}
	switch draw := rng.IntN(100); {
	case draw < s.ordersPercent:
		spec.kind = kindAtMostOnce
	case draw < s.ordersPercent+s.readsPercent:
		spec.kind = kindRead
	}
	letters := make([]byte, s.promptBytes)
	for i := range letters {
		letters[i] = 'a' + byte(rng.IntN(26))
	}
	spec.prompt = string(letters)
	return spec
}

// send sends a request, waits for its outcome and records its duration.
func (s *sender) send(ctx context.Context, spec requestSpec) {
	switch spec.kind {
	case kindGeneration:
		s.sendGeneration(ctx, spec)
	case kindAtMostOnce:
		s.sendAtMostOnce(ctx, spec)
	default:
		s.sendRead(ctx, spec)
	}
	s.recorder.update(spec.groupKey(), func(stats *groupStats) { stats.durations.add(time.Since(spec.dueAt)) })
}

// fillReport copies the statistics into a report, sorted by kind, organisation and rank.
func (r *recorder) fillReport(out *report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(r.statsByGroup), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Rank, b.Rank))
	})
	for _, key := range keys {
		stats := r.statsByGroup[key]
		out.Groups = append(out.Groups, groupReport{
			groupKey: key, Outcomes: stats.outcomes, Tokens: stats.tokens, FirstToken: stats.firstToken.summary(),
			Gaps: stats.gaps.summary(), Resumes: stats.resumes.summary(), Durations: stats.durations.summary(),
		})
	}
	out.ViolationCount, out.Violations = r.violationCount, r.violations
}
