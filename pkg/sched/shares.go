package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// reportTTL is the age above which a report is ignored; a data centre without newer
// reports counts as unreachable. Reports are sent once a second and relayed by up to
// three instances.
const reportTTL = 5 * time.Second

// reportThreshold is the fraction of an equal share above which the demand of an
// organisation is reported. Most organisations are far below their limits.
const reportThreshold = 0.25

// idleShare is the fraction of the equal share that a site without demand keeps, so that
// its first requests are not refused.
const idleShare = 0.05

// Demand is the demand of one organisation at one site.
type Demand struct {
	// TokensPerSecond includes admitted and refused requests.
	TokensPerSecond float64
	// InFlight counts running and queued requests.
	InFlight float64
	// Running counts running requests.
	Running int
}

// Site is a pool in a data centre. Its broker enforces a share of the limits.
type Site struct{ DataCentre, Pool string }

type siteReport struct {
	receivedAt time.Time
	demands    map[string]Demand
}

// Shares divides the limits of organisations between sites. Sites with fresh reports
// share by demand; each data centre without fresh reports keeps its equal share, so that
// the sum stays within the limit on both sides of a partition.
type Shares struct {
	self Site
	// dataCentres is sorted, so that all sites divide a limit in the same order.
	dataCentres []string
	reports     map[Site]siteReport
}

// NewShares returns the shares as computed by one site. Data centres are never removed,
// because an unreachable one may still use its share.
func NewShares(self Site) *Shares {
	s := &Shares{self: self, reports: map[Site]siteReport{}}
	s.AddDataCentre(self.DataCentre)
	return s
}

// AddDataCentre adds a data centre to those that the limits are divided between.
func (s *Shares) AddDataCentre(name string) {
	if i, ok := slices.BinarySearch(s.dataCentres, name); !ok {
		s.dataCentres = slices.Insert(s.dataCentres, i, name)
	}
}

// RecordReport stores the demands of another site.
func (s *Shares) RecordReport(now time.Time, from Site, demands map[string]Demand) {
	if from == s.self {
		return
	}
	s.AddDataCentre(from.DataCentre)
	s.reports[from] = siteReport{receivedAt: now, demands: demands}
}

// Prune deletes expired reports.
func (s *Shares) Prune(now time.Time) {
	maps.DeleteFunc(s.reports, func(_ Site, r siteReport) bool { return now.Sub(r.receivedAt) > reportTTL })
}

// claim is the demand of one site on one limit.
type claim struct {
	site   Site
	demand float64
}

// freshClaims returns the demands of this site and of the sites with fresh reports in a
// fixed order, and the sum of the equal shares of their data centres, which these sites
// divide between them.
func (s *Shares) freshClaims(now time.Time, organisation string, limit int, localDemand float64, selectDemand func(Demand) float64) ([]claim, int) {
	claims := []claim{{s.self, localDemand}}
	fresh := map[string]bool{s.self.DataCentre: true}
	for site, r := range s.reports {
		if now.Sub(r.receivedAt) <= reportTTL {
			fresh[site.DataCentre] = true
			claims = append(claims, claim{site, selectDemand(r.demands[organisation])})
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if c := strings.Compare(a.site.DataCentre, b.site.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(a.site.Pool, b.site.Pool)
	})
	sharedLimit, n := 0, len(s.dataCentres)
	for i, name := range s.dataCentres {
		if fresh[name] {
			sharedLimit += limit*(i+1)/n - limit*i/n
		}
	}
	return claims, sharedLimit
}

// siteShare is one site's share of a limit.
type siteShare struct {
	site  Site
	value float64
}

// computeShares divides the limit between the sites that freshClaims returns, in proportion
// to their demand. The second result is the limit that was divided.
func (s *Shares) computeShares(now time.Time, organisation string, limit int, localDemand float64, selectDemand func(Demand) float64) ([]siteShare, int) {
	claims, sharedLimit := s.freshClaims(now, organisation, limit, localDemand, selectDemand)
	baseDemand := idleShare * float64(limit) / float64(len(s.dataCentres)*len(claims))
	totalDemand := 0.0
	for _, c := range claims {
		totalDemand += c.demand + baseDemand
	}
	shares := make([]siteShare, len(claims))
	for i, c := range claims {
		shares[i] = siteShare{c.site, float64(sharedLimit) * (c.demand + baseDemand) / max(totalDemand, math.SmallestNonzeroFloat64)}
	}
	return shares, sharedLimit
}

// TokenRateShare returns this site's share of a token limit.
func (s *Shares) TokenRateShare(now time.Time, organisation string, limit int, localDemand Demand) float64 {
	shares, _ := s.computeShares(now, organisation, limit, localDemand.TokensPerSecond,
		func(d Demand) float64 { return d.TokensPerSecond })
	for _, share := range shares {
		if share.site == s.self {
			return share.value
		}
	}
	return 0
}

// InFlightShare returns this site's share of a limit in whole requests. What is lost by
// rounding down goes to the largest remainders, so that the shares of sites that hold the
// same reports add up to the limit. Running requests are not cancelled, so a share only
// grows as far as the running requests of other sites have dropped to theirs.
func (s *Shares) InFlightShare(now time.Time, organisation string, limit int, localDemand Demand) int {
	shares, remainder := s.computeShares(now, organisation, limit, localDemand.InFlight,
		func(d Demand) float64 { return d.InFlight })
	wholeShares := map[Site]int{}
	for i, share := range shares {
		whole := int(share.value)
		remainder -= whole
		shares[i].value -= float64(whole)
		wholeShares[share.site] = whole
	}
	slices.SortStableFunc(shares, func(a, b siteShare) int { return cmp.Compare(b.value, a.value) })
	for _, share := range shares[:min(max(remainder, 0), len(shares))] {
		wholeShares[share.site]++
	}
	localShare, excessRunning := wholeShares[s.self], 0
	for site, wholeShare := range wholeShares {
		if site != s.self {
			excessRunning += max(0, s.reports[site].demands[organisation].Running-wholeShare)
		}
	}
	return max(localShare-excessRunning, min(localShare, localDemand.Running))
}
