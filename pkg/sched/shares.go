package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// reportFresh is the age above which a data centre counts as cut off. Reports are
// sent once a second and pass up to three instances.
const reportFresh = 5 * time.Second

// reportedPart of an equal share is the demand from which an organisation is
// reported: most are far below their limits.
const reportedPart = 0.25

// idlePart of the equal share stays with a site without demand, so that its
// first requests are not refused.
const idlePart = 0.05

// Demand is what one site asks of an organisation's limits.
type Demand struct {
	// TokensPerSecond counts admitted and refused requests.
	TokensPerSecond float64
	// InFlight counts running and queued requests.
	InFlight float64
	// Running counts running requests.
	Running int
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

// quota is the part of a limit that the demand of one site amounts to.
type quota struct {
	site  Site
	value float64
}

// quotas splits the part of the limit that the fresh sites share.
func (s *Shares) quotas(now time.Time, organisation string, limit int, own float64, pick func(Demand) float64) ([]quota, int) {
	list, part := s.claims(now, organisation, limit, own, pick)
	base := idlePart * float64(limit) / float64(len(s.dataCentres)*len(list))
	total := 0.0
	for _, c := range list {
		total += c.demand + base
	}
	quotas := make([]quota, len(list))
	for i, c := range list {
		quotas[i] = quota{c.site, float64(part) * (c.demand + base) / max(total, math.SmallestNonzeroFloat64)}
	}
	return quotas, part
}

// TokensPerSecond returns this site's part of a limit.
func (s *Shares) TokensPerSecond(now time.Time, organisation string, limit int, own Demand) float64 {
	quotas, _ := s.quotas(now, organisation, limit, own.TokensPerSecond,
		func(d Demand) float64 { return d.TokensPerSecond })
	for _, q := range quotas {
		if q.site == s.self {
			return q.value
		}
	}
	return 0
}

// InFlight returns this site's part of a limit in whole requests. What rounding
// down leaves goes to the largest remainders, so the parts of sites with equal
// reports add up to the limit. A part grows only as far as the other sites have
// come down to theirs, because running requests are not cancelled.
func (s *Shares) InFlight(now time.Time, organisation string, limit int, own Demand) int {
	quotas, rest := s.quotas(now, organisation, limit, own.InFlight,
		func(d Demand) float64 { return d.InFlight })
	parts := map[Site]int{}
	for i, q := range quotas {
		whole := int(q.value)
		rest -= whole
		quotas[i].value -= float64(whole)
		parts[q.site] = whole
	}
	slices.SortStableFunc(quotas, func(a, b quota) int { return cmp.Compare(b.value, a.value) })
	for _, q := range quotas[:min(max(rest, 0), len(quotas))] {
		parts[q.site]++
	}
	mine, excess := parts[s.self], 0
	for site, part := range parts {
		if site != s.self {
			excess += max(0, s.reports[site].demands[organisation].Running-part)
		}
	}
	return max(mine-excess, min(mine, own.Running))
}
