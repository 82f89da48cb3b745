package coordinator

import (
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// usageGateway is a gateway that reports a fixed usage.
type usageGateway struct {
	report usage.Report

	mu     sync.Mutex
	totals usage.Totals
}

func (u *usageGateway) ReportUsage() usage.Report { return u.report }

func (u *usageGateway) HandleUsageTotals(totals usage.Totals, _ usage.Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.totals = totals
}

func (u *usageGateway) received() usage.Totals {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.totals
}

// Guards against gateways that report to different coordinators, so that none of these knows the
// usage by all, and against totals that are lost with a coordinator.
func TestUsageOfAllGatewaysIsAddedUp(t *testing.T) {
	g := newTestGroup(t, 3)
	gateways := map[string]*usageGateway{"one": {}, "two": {}, "three": {}}
	for name, u := range gateways {
		u.report = usage.Report{Incarnation: 1, Services: usage.Services{"s": {Requests: 10, Retries: 2, Demand: 1}}}
		r := &recorder{servers: map[string]directory.Server{}, placement: map[string]string{}}
		dialer := rpc.NewDialer(nil, &rpc.Counters{})
		t.Cleanup(func() { _ = dialer.Close() })
		c := follow.NewClient(name, dialer, r, slog.New(slog.DiscardHandler))
		c.Add(t.Context(), []string{g.address(1), g.address(2), g.address(3)})
		go c.RunUsage(t.Context(), u)
	}
	complete := func() bool {
		for _, u := range gateways {
			totals := u.received()
			if totals.Reporting != 3 || totals.Connected != 3 || !totals.Settled || totals.Services["s"].Requests != 30 {
				return false
			}
		}
		return true
	}
	g.eventually("totals of three gateways", complete)
	g.stop(1)
	for _, u := range gateways {
		u.HandleUsageTotals(usage.Totals{}, usage.Report{})
	}
	startedAt := time.Now()
	g.eventually("totals of three gateways from another coordinator", complete)
	qt.Assert(t, time.Since(startedAt) < 5*time.Second, qt.IsTrue)
}

// Guards against a coordinator that takes the start of its process for the first start of the deployment.
func TestOnlyTheFirstStartHasNoHistory(t *testing.T) {
	folder := t.TempDir()
	qt.Check(t, isEmptyFolder(filepath.Join(folder, "new")), qt.IsTrue)
	qt.Check(t, isEmptyFolder(folder), qt.IsTrue)
	qt.Assert(t, os.WriteFile(filepath.Join(folder, "soft-state-0.json"), nil, 0o600), qt.IsNil)
	qt.Check(t, isEmptyFolder(folder), qt.IsFalse)
	qt.Check(t, isEmptyFolder(filepath.Join(folder, "soft-state-0.json")), qt.IsFalse)
}
