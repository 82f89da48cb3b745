package follow

import "github.com/geraniumpitch/geraniumpitch/pkg/wire"

// recovery determines the publication in force while there is no leader. After a
// simultaneous failure of all processes, callers reconnect before the coordinators have
// elected a leader. An accepted publication is in a majority of the logs, and two majorities
// have a log in common. The newest publication in any majority of the logs is therefore the
// last accepted one or a newer one. A coordinator may be counted although its slot of the
// control group was given to another instance while it was offline; the publication that
// the leader sends later corrects this.
type recovery struct {
	// newestLogged holds the newest publication in the log of each coordinator, by its
	// address.
	newestLogged map[string]*wire.Publication
}

// record records the newest publication in the log of a coordinator. groupSlots is the
// number of slots of the control group. Once a majority of them is
// recorded, record returns the newest publication of all, and nil before that.
func (r *recovery) record(address string, p *wire.Publication, groupSlots int) *wire.Publication {
	if r.newestLogged == nil {
		r.newestLogged = map[string]*wire.Publication{}
	}
	r.newestLogged[address] = p
	if 2*len(r.newestLogged) <= groupSlots {
		return nil
	}
	newest := p
	for _, candidate := range r.newestLogged {
		if candidate.Revision > newest.Revision {
			newest = candidate
		}
	}
	return newest
}

// remove removes the publication of a coordinator whose stream ended: its log may grow
// without notice to this gateway.
func (r *recovery) remove(address string) { delete(r.newestLogged, address) }
