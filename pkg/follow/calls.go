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

func encodeOrganisations(byService usage.Organisations) (encoded []*wire.ServiceOrganisations) {
	for service, organisations := range byService {
		e := &wire.ServiceOrganisations{Service: service}
		for _, o := range organisations {
			e.Organisations = append(e.Organisations, &wire.OrganisationCalls{
				Organisation: o.Organisation, Offered: float32(o.Offered), Usual: float32(o.Usual),
			})
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func decodeOrganisations(encoded []*wire.ServiceOrganisations) usage.Organisations {
	if len(encoded) == 0 {
		return nil
	}
	byService := usage.Organisations{}
	for _, e := range encoded {
		for _, o := range e.Organisations {
			byService[e.Service] = append(byService[e.Service], usage.OrganisationCalls{
				Organisation: o.Organisation, Offered: float64(o.Offered), Usual: float64(o.Usual),
			})
		}
	}
	return byService
}
