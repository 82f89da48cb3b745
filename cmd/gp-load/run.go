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
)

// Kinds of requests.
const (
	kindGeneration = "generation"
	kindOrder      = "order"
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
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64, DisableCompression: true,
		}},
	}
}

// work is one request to send.
type work struct {
	kind   string
	caller caller
	rank   string
	// first is the index of the entry instance to begin with.
	first  int
	tokens int
	prompt string
	// due is when the request should have been sent; latencies count from it.
	due time.Time
}

func (w work) group() groupName { return groupName{w.kind, w.caller.organisation, w.rank} }

// run sends requests at a fixed rate and waits for their answers.
func run(ctx context.Context, o options) report {
	s := newSender(o)
	begun := time.Now()
	workCtx, cancel := context.WithDeadline(ctx, begun.Add(o.duration+o.grace))
	defer cancel()
	var waiting sync.WaitGroup
	places := make(chan struct{}, o.inFlight)
	random := rand.New(rand.NewPCG(o.seed, o.seed))
	result := report{}
	interval := time.Duration(float64(time.Second) / o.rate)
	for due := begun; due.Before(begun.Add(o.duration)) && sleepUntil(ctx, due); due = due.Add(interval) {
		w := s.draw(random, due)
		select {
		case places <- struct{}{}:
		default:
			result.NotSent++
			continue
		}
		result.Sent++
		waiting.Go(func() {
			defer func() { <-places }()
			s.send(workCtx, w)
		})
	}
	waiting.Wait()
	result.Seconds = time.Since(begun).Seconds()
	s.compareExecutions()
	s.recorder.fill(&result)
	return result
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *sender) draw(random *rand.Rand, due time.Time) work {
	w := work{
		kind: kindGeneration, caller: s.callers[random.IntN(len(s.callers))], rank: document.Patient,
		first: random.IntN(len(s.entries)), tokens: s.minTokens + random.IntN(s.maxTokens-s.minTokens+1), due: due,
	}
	if random.IntN(100) < s.urgent {
		w.rank = document.Urgent
	}
	switch n := random.IntN(100); {
	case n < s.orders:
		w.kind = kindOrder
	case n < s.orders+s.reads:
		w.kind = kindRead
	}
	letters := make([]byte, s.promptSize)
	for i := range letters {
		letters[i] = 'a' + byte(random.IntN(26))
	}
	w.prompt = string(letters)
	return w
}

func (s *sender) send(ctx context.Context, w work) {
	switch w.kind {
	case kindGeneration:
		s.generate(ctx, w)
	case kindOrder:
		s.order(ctx, w)
	default:
		s.read(ctx, w)
	}
	s.recorder.record(w.group(), func(g *group) { g.durations.add(time.Since(w.due)) })
}

// fill copies the figures into the report, in a fixed order.
func (r *recorder) fill(result *report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(r.groups), func(a, b groupName) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Rank, b.Rank))
	})
	for _, name := range names {
		g := r.groups[name]
		result.Groups = append(result.Groups, groupReport{
			groupName: name, Outcomes: g.outcomes, Tokens: g.tokens, FirstToken: g.first.summary(),
			Gaps: g.gaps.summary(), Resumes: g.resumes.summary(), Durations: g.durations.summary(),
		})
	}
	result.ViolationCount, result.Violations = r.violated, r.violations
}
