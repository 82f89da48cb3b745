package follow

import (
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// encodeCalls converts the calls of a service to their wire format, nil if there are none.
func encodeCalls(c usage.Calls) *wire.CallRates {
	if c == (usage.Calls{}) {
		return nil
	}
	return &wire.CallRates{
		Offered: float32(c.Offered), Late: float32(c.Late), Sent: float32(c.Sent), Served: float32(c.Served), Full: float32(c.Full),
		Reports: float32(c.Reports), Queue: float32(c.Queue),
	}
}

func decodeCalls(c *wire.CallRates) usage.Calls {
	return usage.Calls{
		Offered: float64(c.GetOffered()), Late: float64(c.GetLate()), Sent: float64(c.GetSent()), Served: float64(c.GetServed()),
		Full: float64(c.GetFull()), Reports: float64(c.GetReports()), Queue: float64(c.GetQueue()),
	}
}
