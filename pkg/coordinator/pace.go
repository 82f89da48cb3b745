package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// paceTable serves the exchange of what gateways learn of the speed of engines. It is soft state: a coordinator that
// has started has an empty table, which the next reports fill.
type paceTable struct {
	// id tells the gateways apart the tables of two processes.
	id uint64

	mu    sync.Mutex
	table *pace.Table
}

var _ wire.DRPCPaceServer = &paceTable{}

func newPaceTable() *paceTable {
	// 0 is the table of a gateway that has none.
	return &paceTable{id: 1 + rand.Uint64N(1<<32), table: pace.NewTable()}
}

// Exchange implements wire.DRPCPaceServer.
func (p *paceTable) Exchange(_ context.Context, report *wire.PaceReport) (*wire.PaceChanges, error) {
	return p.exchange(report, time.Now()), nil
}

func (p *paceTable) exchange(report *wire.PaceReport, now time.Time) *wire.PaceChanges {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Record(report.Instance, follow.DecodePaceSamples(report, now), now)
	since := report.Version
	if report.Table != p.id {
		since = 0
	}
	changes, version := p.table.Changes(since, follow.MaxPaceEntries, now)
	return &wire.PaceChanges{Entries: follow.EncodePaceEntries(changes), Table: p.id, Version: version}
}

// len returns the number of processes in the table.
func (p *paceTable) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Len()
}
