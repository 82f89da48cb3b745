package sched

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// reportFresh is the age above which a data centre counts as cut off; reports
// are sent once a second.
const reportFresh = 3 * time.Second

// idlePart of the equal share stays with a site without demand, so that its
// first requests are not refused.
const idlePart = 0.05

// Demand is what one site asks of an organisation's limits.
type Demand struct {
	// TokensPerSecond counts admitted and refused requests.
	TokensPerSecond float64
	// InFlight counts running and queued requests.
	InFlight float64
}

// Site is a pool in a data centre; its broker enforces a part of the limits.
type Site struct{ DataCentre, Pool string }

type siteReport struct {
	at      time.Time
	demands map[string]Demand
}

// Shares splits the limits of organisations between sites. Sites with fresh
// reports share by demand; each data centre without fresh reports keeps its
// equal share, so the sum stays within the limit on both sides of a partition.
type Shares struct {
	self        Site
	dataCentres []string
	reports     map[Site]siteReport
}

// NewShares returns the view of one site. Data centres are only ever added: one
// that cannot be reached still uses its share.
func NewShares(self Site) *Shares {
	s := &Shares{self: self, reports: map[Site]siteReport{}}
	s.AddDataCentre(self.DataCentre)
	return s
}

// AddDataCentre makes a data centre known.
func (s *Shares) AddDataCentre(name string) {
	if i, ok := slices.BinarySearch(s.dataCentres, name); !ok {
		s.dataCentres = slices.Insert(s.dataCentres, i, name)
	}
}

// Report stores the demands of another site.
func (s *Shares) Report(now time.Time, from Site, demands map[string]Demand) {
	if from == s.self {
		return
	}
	s.AddDataCentre(from.DataCentre)
	s.reports[from] = siteReport{at: now, demands: demands}
}

// Prune forgets reports that no longer count.
func (s *Shares) Prune(now time.Time) {
	maps.DeleteFunc(s.reports, func(_ Site, r siteReport) bool { return now.Sub(r.at) > reportFresh })
}

// claim is the demand of one site for one limit.
type claim struct {
	site   Site
	demand float64
}

// claims returns the demands of the fresh sites, this one included, in a fixed
// order, and the part of the limit that belongs to their data centres.
func (s *Shares) claims(now time.Time, organisation string, limit int, own float64, pick func(Demand) float64) ([]claim, int) {
	list := []claim{{s.self, own}}
	fresh := map[string]bool{s.self.DataCentre: true}
	for site, r := range s.reports {
		if now.Sub(r.at) <= reportFresh {
			fresh[site.DataCentre] = true
			list = append(list, claim{site, pick(r.demands[organisation])})
		}
	}
	slices.SortFunc(list, func(a, b claim) int {
		if c := strings.Compare(a.site.DataCentre, b.site.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(a.site.Pool, b.site.Pool)
	})
	part, n := 0, len(s.dataCentres)
	for i, name := range s.dataCentres {
		if fresh[name] {
			part += limit*(i+1)/n - limit*i/n
		}
	}
	return list, part
}

// bounds returns the range that belongs to this site within the part of the
// limit that the fresh sites share.
func (s *Shares) bounds(now time.Time, organisation string, limit int, own float64, pick func(Demand) float64) (low, high float64) {
	list, part := s.claims(now, organisation, limit, own, pick)
	base := idlePart * float64(limit) / float64(len(s.dataCentres)*len(list))
	total := 0.0
	for _, c := range list {
		total += c.demand + base
	}
	for _, c := range list {
		high = low + float64(part)*(c.demand+base)/max(total, math.SmallestNonzeroFloat64)
		if c.site == s.self {
			break
		}
		low = high
	}
	return low, high
}

// TokensPerSecond returns this site's part of a limit.
func (s *Shares) TokensPerSecond(now time.Time, organisation string, limit int, own Demand) float64 {
	low, high := s.bounds(now, organisation, limit, own.TokensPerSecond,
		func(d Demand) float64 { return d.TokensPerSecond })
	return high - low
}

// InFlight returns this site's part of a limit. The parts of sites with equal
// reports add up to the limit exactly, because all of them round the same bounds.
func (s *Shares) InFlight(now time.Time, organisation string, limit int, own Demand) int {
	low, high := s.bounds(now, organisation, limit, own.InFlight,
		func(d Demand) float64 { return d.InFlight })
	const rounding = 1e-9
	return int(math.Floor(high+rounding)) - int(math.Floor(low+rounding))
}
