package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Guards against gateways that together open more connections than a server accepts, which resets those
// beyond; whatever the number of gateways is and however uneven their demand.
func TestAllGatewaysTogetherKeepToTheConnectionsOfAServer(t *testing.T) {
	const maxConnections = 650
	service := &routing.Service{Name: "pool", MaxConnections: maxConnections}
	for _, gateways := range []int{1, 3, 16, 89, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			now := time.Now()
			table := usage.NewTable(now.Add(-time.Minute))
			fixtures := make([]*fixture, min(gateways, 12))
			reports := make([]usage.Report, len(fixtures))
			for i := range gateways {
				// The first gateways have most of the demand, the others none.
				r := usage.Report{Services: usage.Services{"pool": {}}}
				if i < len(fixtures) {
					fixtures[i] = newFixture(t)
					for range 50 * i {
						fixtures[i].budget("pool").RecordRequest(now)
					}
					r = fixtures[i].ReportUsage()
					reports[i] = r
				}
				table.Record(fmt.Sprint(i), r, now)
			}
			sum, largest, smallest := 0, 0, maxConnections
			for i, f := range fixtures {
				f.HandleUsageTotals(table.Totals(now, gateways), reports[i])
				limit := f.connectionLimit(service)
				sum += limit
				largest, smallest = max(largest, limit), min(smallest, limit)
			}
			sum += (gateways - len(fixtures)) * smallest
			qt.Assert(t, sum <= maxConnections, qt.IsTrue, qt.Commentf("%d connections for %d", sum, maxConnections))
			qt.Assert(t, smallest >= minConnections, qt.IsTrue)
			qt.Assert(t, gateways < 3 || largest > smallest, qt.IsTrue, qt.Commentf("%d to %d connections", smallest, largest))
		})
	}
}

// Guards against a small number of connections that is rounded to 0, which means no limit, and against
// a gateway that takes most connections before it knows the others.
func TestConnectionsOfAGatewayThatHasJustStarted(t *testing.T) {
	f := newFixture(t)
	f.usage = usage.View{}
	qt.Assert(t, f.connectionLimit(&routing.Service{Name: "pool", MaxConnections: 650}), qt.Equals, 40)
	qt.Assert(t, f.connectionLimit(&routing.Service{Name: "pool", MaxConnections: 3}), qt.Equals, minConnections)
	qt.Assert(t, f.connectionLimit(&routing.Service{Name: "pool"}), qt.Equals, 0)
}
