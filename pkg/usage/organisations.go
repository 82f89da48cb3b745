package usage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxOrganisations bounds the organisations of one service in a report and in totals. With names of ten bytes,
	// 32 of them take 0.7 KB per second. The others offer less than any of them.
	MaxOrganisations = 32
	// organisationsTTL is how long the sums over all gateways are used again: with 300 gateways they are computed
	// four times per second, not 300 times.
	organisationsTTL = 250 * time.Millisecond
)

// OrganisationCalls is the demand of one organisation for the calls of a service, at one gateway or at several.
type OrganisationCalls struct {
	Organisation string
	// Offered is the rate of calls in the last second, and Usual the rate without overload, per second.
	Offered, Usual float64
}

// Organisations is the demand of organisations by service. Gateways report it only during an overload.
type Organisations map[string][]OrganisationCalls

// organisationSums holds the demand of organisations over all gateways.
type organisationSums struct {
	sums       Organisations
	computedAt time.Time
}

// organisations returns the demand of organisations over all gateways, nil if none reports any.
func (t *Table) organisations(now time.Time) Organisations {
	if age := now.Sub(t.organisationSums.computedAt); age >= 0 && age < organisationsTTL {
		return t.organisationSums.sums
	}
	byService := map[string]map[string]OrganisationCalls{}
	for _, r := range t.reports {
		for service, organisations := range r.Organisations {
			if byService[service] == nil {
				byService[service] = map[string]OrganisationCalls{}
			}
			for _, o := range organisations {
				sum := byService[service][o.Organisation]
				byService[service][o.Organisation] = OrganisationCalls{o.Organisation, sum.Offered + o.Offered, sum.Usual + o.Usual}
			}
		}
	}
	var sums Organisations
	for service, organisations := range byService {
		list := make([]OrganisationCalls, 0, len(organisations))
		for _, o := range organisations {
			list = append(list, o)
		}
		if sums == nil {
			sums = Organisations{}
		}
		sums[service] = LargestOrganisations(list)
	}
	t.organisationSums.sums, t.organisationSums.computedAt = sums, now
	return sums
}

// LargestOrganisations sorts organisations by their demand and returns the first MaxOrganisations.
func LargestOrganisations(list []OrganisationCalls) []OrganisationCalls {
	slices.SortFunc(list, func(a, b OrganisationCalls) int {
		return cmp.Or(cmp.Compare(max(b.Offered, b.Usual), max(a.Offered, a.Usual)), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), MaxOrganisations)]
}
