package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

// Candidate is a server that a decision considered, with what counted.
type Candidate struct {
	Server     string `json:"server"`
	DataCentre string `json:"data_centre"`
	// Selectable means that the server takes requests of this gateway, Avoided that it is selected only if there
	// is no other one, and Place that it can begin the prefill of the run soon.
	Selectable bool `json:"selectable"`
	Avoided    bool `json:"avoided"`
	Place      bool `json:"place"`
	// Cost is the cost by which servers are compared. Load is the number of requests that the gateway assumes
	// there, and Prompts that of prompts which are read or wait to be read.
	Cost    float64 `json:"cost"`
	Load    int     `json:"load"`
	Prompts int     `json:"prompts"`
	// Pace is the pace of an engine, and for a call the latency relative to the usual one. Source and AgeMS tell
	// where the pace comes from and how old its last sample is.
	Pace   float64     `json:"pace"`
	Source pace.Source `json:"source"`
	AgeMS  int64       `json:"age_ms"`
	// PrefillMS is the time until the first event with nothing ahead, 0 for calls.
	PrefillMS int64 `json:"prefill_ms,omitempty"`
	// ReportAgeMS is the age of the last load report, -1 if there is none, and Slowdown what it says of the
	// speed of the machine, 0 if nothing.
	ReportAgeMS int64   `json:"report_age_ms"`
	Slowdown    float64 `json:"slowdown,omitempty"`
}

// Decision tells where a request would go now.
type Decision struct {
	// Server is empty if the request would wait or be refused, and Reason says why.
	Server string `json:"server"`
	Reason string `json:"reason"`
	// Candidates are the servers that were considered, the best first.
	Candidates []Candidate `json:"candidates"`
}

// ExplainCall returns where a call would go now. It changes nothing that decisions depend on.
func (p *Pool) ExplainCall(now time.Time) Decision {
	considered := p.candidateSample()
	selectable := p.candidates(now, nil)
	usualLog, known := usualServiceLog(selectable, now)
	d := p.explain(now, considered, func(s *Server, c *Candidate) {
		c.Cost, c.Load, c.Pace = p.callCost(s, now, usualLog, known), s.Inflight, s.expectedLatency(usualLog, known, now)
		if now.Sub(s.loadReportedAt) < callLoadTTL {
			c.Load = max(c.Load, s.lastLoad.Running+s.lastLoad.Waiting)
		}
		if s.calls != nil && !s.latencySampledAt.IsZero() {
			c.Source, c.AgeMS = pace.SourceOwn, now.Sub(s.latencySampledAt).Milliseconds()
		}
	})
	d.decide("lowest cost", func(c Candidate) bool { return true })
	return d
}

// ExplainRun returns where a run that needs a prefill would go now. It changes nothing that decisions depend on.
func (p *Pool) ExplainRun(now time.Time, r Run, promptTokens int) Decision {
	d := p.explain(now, p.candidateSample(), func(s *Server, c *Candidate) {
		c.Cost, c.Load, c.Prompts = p.placementCost(s, now, r), s.streams(now), p.PromptsAhead(s.ID, now)
		c.Pace, c.Place, c.PrefillMS = s.relativePace(now), hasPlace(s, now, r), p.PrefillTime(s, promptTokens, now).Milliseconds()
		source, age := s.engine.Explain(now)
		c.Source, c.AgeMS = source, age.Milliseconds()
	})
	if s := p.SelectCachingEngine(now, r); s != nil {
		d.Server, d.Reason = s.ID, "has the prompt cached"
		return d
	}
	if p.CanWait(now, r) {
		d.decide("lowest cost of those with a place", func(c Candidate) bool { return c.Place && !c.Avoided })
		if d.Server == "" {
			d.Reason = "waits: no engine has a place"
		}
		return d
	}
	d.decide("lowest cost", func(Candidate) bool { return true })
	return d
}

func (p *Pool) explain(now time.Time, considered []*Server, describe func(s *Server, c *Candidate)) Decision {
	d := Decision{Candidates: make([]Candidate, 0, len(considered))}
	for _, s := range considered {
		c := Candidate{
			Server: s.ID, DataCentre: s.DataCentre, Selectable: p.isSelectable(s, now, nil), Avoided: p.isAvoided(s, now),
			Source: pace.SourceNone, ReportAgeMS: -1,
		}
		if !s.loadReportedAt.IsZero() {
			c.ReportAgeMS, c.Slowdown = now.Sub(s.loadReportedAt).Milliseconds(), s.lastLoad.Slowdown
		}
		describe(s, &c)
		d.Candidates = append(d.Candidates, c)
	}
	rank := func(c Candidate) int {
		switch {
		case !c.Selectable:
			return 2
		case c.Avoided:
			return 1
		}
		return 0
	}
	slices.SortFunc(d.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server, b.Server))
	})
	return d
}

// decide selects the first candidate that takes requests and is eligible.
func (d *Decision) decide(reason string, isEligible func(Candidate) bool) {
	d.Server, d.Reason = "", "no server takes requests"
	for _, c := range d.Candidates {
		if c.Selectable && isEligible(c) {
			d.Server, d.Reason = c.Server, reason
			return
		}
	}
}
