package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

var errRetryBudget = eris.New("the retry budget of the service is used up")

// maxGrantWait bounds the wait of a stream for more of the retry budget. It covers two exchanges that follow
// each other as soon as they may, each with its response.
const maxGrantWait = 400 * time.Millisecond

// sendLedger charges the sends of one request to the retry budget of its service: every send that may
// arrive at a backend server, except one of them. All sends of a request pass through it.
type sendLedger struct {
	g       *Gateway
	service string

	mu sync.Mutex
	// sends counts the sends in flight and those that arrived or may have arrived.
	sends int
	// hasCredit means that one more send is charged already. chargedAt is the time of the last charge.
	hasCredit bool
	chargedAt time.Time
}

// newSendLedger returns the ledger of a request and records the request in the budget.
func (g *Gateway) newSendLedger(service string) *sendLedger {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).RecordRequest(time.Now())
	return &sendLedger{g: g, service: service}
}

// begin reports whether the request may be sent, and charges the send unless it is the first one. It
// is followed by cancel if nothing is sent.
func (l *sendLedger) begin(purpose placement.RetryPurpose) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sends > 0 && !l.hasCredit && !l.charge(purpose) {
		return false
	}
	if l.sends > 0 {
		l.hasCredit = false
	}
	l.sends++
	return true
}

// beginWhenGranted is begin for a stream, which waits for a short time if the budget is not used up and only
// this gateway may not use more of it before the next exchange with a coordinator.
func (l *sendLedger) beginWhenGranted(ctx context.Context, purpose placement.RetryPurpose) bool {
	for deadline := time.Now().Add(maxGrantWait); ; {
		if l.begin(purpose) {
			return true
		}
		now := time.Now()
		l.g.mu.Lock()
		updated, awaitsGrant := l.g.usageUpdated, l.g.budget(l.service).AwaitsGrant(now, purpose)
		l.g.mu.Unlock()
		if !awaitsGrant || !now.Before(deadline) || !waitFor(ctx, deadline.Sub(now), updated) {
			return false
		}
	}
}

// reserve charges a send that begin will allow later. It reports whether the budget allows it.
func (l *sendLedger) reserve(purpose placement.RetryPurpose) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasCredit = l.hasCredit || l.charge(purpose)
	return l.hasCredit
}

// cancel records that a send that began was not sent, so that the next one need not be charged.
func (l *sendLedger) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends--
	if l.sends > 0 {
		l.hasCredit = true
	}
}

// release takes back a charge that was not used.
func (l *sendLedger) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasCredit {
		return
	}
	l.hasCredit = false
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	l.g.budget(l.service).Refund(l.chargedAt)
}

// charge charges one retry if the budget allows it; l.mu is held.
func (l *sendLedger) charge(purpose placement.RetryPurpose) bool {
	now := time.Now()
	l.g.mu.Lock()
	allowed := l.g.budget(l.service).AllowRetry(now, purpose)
	needsGrant := !allowed && purpose != placement.Optional && l.g.budget(l.service).AwaitsGrant(now, purpose)
	l.g.mu.Unlock()
	if allowed || needsGrant {
		l.g.coordinators.ExchangeUsageSoon()
	}
	if allowed {
		l.chargedAt = now
	} else {
		l.g.metrics.countRetryDenied(purpose.String())
	}
	return allowed
}

// ReportUsage implements follow.UsageReporter.
func (g *Gateway) ReportUsage() usage.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	report := usage.Report{
		Incarnation: g.incarnation, Services: usage.Services{}, Gateways: g.usage.Gateways(), Uptime: g.usage.Uptime(now),
		RetryRatio: g.settings.RetryRatio, RetrySlack: g.settings.RetrySlack,
	}
	for service, b := range g.budgets {
		report.Services[service] = b.Report(now)
	}
	g.reportCalls(&report, now)
	g.reportStreamDemand(&report, now)
	for _, pool := range g.pools {
		report.Limits = append(report.Limits, pool.Limits(now)...)
	}
	return report
}

// HandleUsageTotals implements follow.UsageReporter.
func (g *Gateway) HandleUsageTotals(totals usage.Totals, reported usage.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.usage.Update(totals, reported, now)
	close(g.usageUpdated)
	g.usageUpdated = make(chan struct{})
	g.applyLimits(totals.Limits, reported.Limits, now)
	g.applyCallTotals(totals, reported, now)
	for service, c := range g.streamControls {
		c.HandleTotals(totals.Organisations[service])
	}
}
