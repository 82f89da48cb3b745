package coordinator

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// usageTable guards the usage table of a coordinator.
type usageTable struct {
	mu    sync.Mutex
	table *usage.Table
}

// exchange records the report of a gateway and returns the totals; connected is the number of
// gateways that are connected to this coordinator.
func (u *usageTable) exchange(instance string, report usage.Report, connected int, now time.Time) usage.Totals {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Exchange(instance, report, connected, now)
}

// isEmptyFolder reports whether a folder has no content or does not exist.
func isEmptyFolder(folder string) bool {
	content, err := os.ReadDir(folder)
	return len(content) == 0 && (err == nil || errors.Is(err, os.ErrNotExist))
}

// ExchangeUsage implements wire.DRPCCoordinatorServer.
func (r *rpcServer) ExchangeUsage(_ context.Context, request *wire.UsageReport) (*wire.UsageTotals, error) {
	totals := r.service.usage.exchange(request.Instance, follow.DecodeUsageReport(request), r.service.hub.gatewayCount(), time.Now())
	return follow.EncodeUsageTotals(totals), nil
}
