// Package usage adds up what the gateways of a deployment ask of each service, so that limits that
// hold for all gateways together can be shared among them. It does no I/O: the time is passed in.
package usage

import (
	"maps"
	"slices"
	"time"
)

// Service is the usage of one service by one gateway or by several.
type Service struct {
	// Requests and Retries are the numbers of requests, and of sends beyond the first of a request,
	// within the window of the retry budget.
	Requests, Retries float64
	// Demand is the recent rate of requests that ask for the service, per second.
	Demand float64
	// Ceiling is the number of retries within the window up to which a gateway may send more.
	Ceiling float64
	// Wanted is the number of retries of a gateway that lacked a grant since its previous report.
	Wanted float64
	// Calls is what was seen of the calls of a service without engines.
	Calls Calls
}

// committed returns the retries of a gateway that are sent or may be sent without a further exchange.
func (s Service) committed() float64 { return max(s.Retries, s.Ceiling) }

// add adds the usage of another gateway.
func (s Service) add(other Service) Service {
	return Service{
		Requests: s.Requests + other.Requests, Retries: s.Retries + other.Retries, Demand: s.Demand + other.Demand,
		Ceiling: s.committed() + other.committed(), Calls: s.Calls.Add(other.Calls),
	}
}

// Services is the usage of services, by their names.
type Services map[string]Service

// Report is the usage of all services by one gateway.
type Report struct {
	// Incarnation identifies the process of the gateway: its counts start at 0 with the process.
	Incarnation uint64
	Services    Services
	Limits      []Limit
	// Organisations is the demand of organisations; it is nil without overload.
	Organisations Organisations
	// RetryRatio and RetrySlack are the retry budget of each service, over all gateways: the number of
	// retries allowed per request, and regardless of the requests. Both are 0 if no grants are wanted.
	RetryRatio, RetrySlack float64
	// Gateways is the largest number of gateways that this one has seen recently.
	Gateways int
	// Uptime is how long the process of the gateway has run.
	Uptime time.Duration
}

// Limit is what is known of the limit that a backend server names for all gateways together.
type Limit struct {
	Server string
	// StartedMS is the start time of the server's process in Unix milliseconds.
	StartedMS int64
	// Rate is the limit in requests per second, 0 if the server no longer names one.
	Rate float64
	// Age is the time since the request was sent to whose response that applies.
	Age time.Duration
	// Sends is the number of recent requests to the server, by one gateway or by several.
	Sends float64
}

// Totals is the usage by all gateways that report to one coordinator.
type Totals struct {
	Services Services
	// Limits has one entry for each server: the limit that was seen last, and the requests of all.
	Limits []Limit
	// Organisations is the demand of organisations at gateways that are overloaded, nil if none is.
	Organisations Organisations
	// Reporting is the number of gateways whose reports are included, and Connected the number of
	// gateways that the coordinator knows. The totals lack the usage of the others.
	Reporting, Connected int
	// Settled is false while the coordinator has not run for long enough to know its gateways.
	Settled bool
	// Ceilings holds, by service, the retries within the window that the gateway which asked may send; nil
	// if nothing was granted.
	Ceilings map[string]float64
}

const (
	// reportTTL is how long a report is included, several times the interval between two reports.
	reportTTL = 5 * time.Second
	// endedTTL is how long the requests and retries of a gateway count that ended or started again: as
	// long as the usual window of a retry budget.
	endedTTL = 10 * time.Second
	// MaxBudgetShare is the share of a retry budget that is granted. What is left covers arrivals that fall
	// into another window than their sends, and gateways that change the coordinator.
	MaxBudgetShare = 0.82
	// LostHistoryShare is the share that is granted instead while nobody knows the retries within the window, as
	// gateways and the coordinator have started again. It is half of what MaxBudgetShare leaves, so that it stays within the
	// budget together with the retries from before.
	LostHistoryShare = (1 - MaxBudgetShare) / 2
	// grantFactor scales the part of a gateway, by its demand, of the budget that nobody holds. More than
	// 1 leaves less in reserve for gateways that need more than their part.
	grantFactor = 2
	// reserveShare is the share of a budget that is kept for gateways that want retries. The others are
	// granted whole retries in advance from the rest only: with many gateways, one for each is more than
	// the budget has.
	reserveShare = 0.5
	// settleTime is the time after which a coordinator that has started knows its gateways. It covers
	// the reconnection of all gateways and one report of each.
	settleTime = 3 * time.Second
)

// Table holds the latest report of each gateway at a coordinator. It is not safe for concurrent use.
type Table struct {
	startedAt time.Time
	// noHistory means that no gateway sent anything before the table was created.
	noHistory bool
	reports   map[string]timedReport
	// ended holds the last reports of processes that ended.
	ended            []timedReport
	organisationSums organisationSums
}

type timedReport struct {
	Report
	receivedAt time.Time
}

// NewTable returns the empty table of a coordinator that starts at now.
func NewTable(now time.Time) *Table { return &Table{startedAt: now, reports: map[string]timedReport{}} }

// SetNoHistory records that no gateway sent anything before the table was created, as the deployment starts for the first time.
func (t *Table) SetNoHistory() { t.noHistory = true }

// Record stores the report of a gateway in place of its previous one.
func (t *Table) Record(instance string, r Report, now time.Time) {
	if previous, ok := t.reports[instance]; ok && previous.Incarnation != r.Incarnation {
		t.ended = append(t.ended, previous)
	}
	t.reports[instance] = timedReport{r, now}
}

// Exchange records the report of a gateway and returns the totals, with the retries that the gateway may
// send until its next exchange. The ceilings of all gateways together keep to the budget, also if all of
// them need retries at the same moment: each exchange grants from what no other gateway holds.
func (t *Table) Exchange(instance string, r Report, connected int, now time.Time) Totals {
	t.Record(instance, r, now)
	totals := t.Totals(now, connected)
	if !totals.Settled || r.RetryRatio == 0 && r.RetrySlack == 0 {
		return totals
	}
	totals.Ceilings = map[string]float64{}
	granted := Services{}
	coverage := float64(totals.Reporting) / float64(max(totals.Connected, r.Gateways))
	budgetShare := t.budgetShare(now)
	for name, own := range r.Services {
		all := totals.Services[name]
		budget := budgetShare * (r.RetryRatio*all.Requests + r.RetrySlack*coverage)
		available := budget - (all.committed() - own.committed()) - own.Retries
		// Half of the parts follow the demand. A gateway without any may get requests before its next
		// exchange.
		part := 1 / float64(totals.Reporting)
		if all.Demand > 0 {
			part = (part + own.Demand/all.Demand) / 2
		}
		lease := min(1, grantFactor*part) * available
		if own.Wanted > 0 {
			lease = max(lease, min(own.Wanted, available/2), min(1, available))
		} else if available > reserveShare*budget {
			lease = max(1, lease)
		}
		own.Ceiling = max(own.committed(), own.Retries+lease)
		totals.Ceilings[name], granted[name] = own.Ceiling, own
	}
	r.Services = granted
	t.reports[instance] = timedReport{r, now}
	return totals
}

// budgetShare returns the share of a retry budget that is granted. It is smaller while there may be retries within the
// window that neither the coordinator nor a gateway remembers: those of gateways that have started again since.
func (t *Table) budgetShare(now time.Time) float64 {
	if t.noHistory || now.Sub(t.startedAt) >= endedTTL || len(t.reports) == 0 {
		return MaxBudgetShare
	}
	restarted := 0
	for _, r := range t.reports {
		if r.Uptime+now.Sub(r.receivedAt) < endedTTL {
			restarted++
		}
	}
	lost := float64(restarted) / float64(len(t.reports))
	return lost*LostHistoryShare + (1-lost)*MaxBudgetShare
}

// Totals adds up the reports; connected is the number of gateways that the coordinator knows.
func (t *Table) Totals(now time.Time, connected int) Totals {
	totals := Totals{Services: Services{}, Settled: now.Sub(t.startedAt) >= settleTime}
	for instance, r := range t.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(t.reports, instance)
			t.ended = append(t.ended, r)
			continue
		}
		for name, s := range r.Services {
			totals.Services[name] = totals.Services[name].add(s)
		}
	}
	t.ended = slices.DeleteFunc(t.ended, func(r timedReport) bool { return now.Sub(r.receivedAt) > endedTTL })
	for _, r := range t.ended {
		// The requests leave the window one after the other; the retries may all be recent.
		inWindow := 1 - float64(now.Sub(r.receivedAt))/float64(endedTTL)
		for name, s := range r.Services {
			totals.Services[name] = totals.Services[name].add(Service{Requests: s.Requests * inWindow, Retries: s.Retries, Ceiling: s.Ceiling})
		}
	}
	totals.Limits, totals.Organisations = t.limits(now), t.organisations(now)
	totals.Reporting = len(t.reports)
	totals.Connected = max(connected, totals.Reporting)
	return totals
}

// limits returns what the reports say of each server.
func (t *Table) limits(now time.Time) []Limit {
	byServer := map[string]Limit{}
	for _, r := range t.reports {
		for _, l := range r.Limits {
			l.Age += now.Sub(r.receivedAt)
			known, ok := byServer[l.Server]
			if !ok || known.StartedMS < l.StartedMS {
				byServer[l.Server] = l
				continue
			}
			if known.StartedMS > l.StartedMS {
				continue
			}
			if l.Age < known.Age {
				known.Rate, known.Age = l.Rate, l.Age
			}
			known.Sends += l.Sends
			byServer[l.Server] = known
		}
	}
	return slices.Collect(maps.Values(byServer))
}
