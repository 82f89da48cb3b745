package follow

import "github.com/geraniumpitch/geraniumpitch/pkg/wire"

// recovery determines the publication in force while there is no leader. After a
// simultaneous failure of all processes, callers reconnect before the coordinators have
// elected a leader. Every accepted publication is in a majority of the logs, so the newest
// one in any majority of the logs is at least as new. A log may be counted although its
// slot was given to another instance while it was offline; the publication that the
// leader sends corrects this.
type recovery struct {
	// newestLogged holds the newest publication in the log of each coordinator, by its
	// address.
	newestLogged map[string]*wire.Publication
}

// record records the newest publication in the log of a coordinator. Once a majority of
// the slots is recorded it returns the newest publication of all, and nil before that.
func (r *recovery) record(address string, p *wire.Publication, slots int) *wire.Publication {
	if r.newestLogged == nil {
		r.newestLogged = map[string]*wire.Publication{}
	}
	r.newestLogged[address] = p
	if 2*len(r.newestLogged) <= slots {
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
