package follow

import "github.com/geraniumpitch/geraniumpitch/pkg/wire"

// recovery finds the publication in force before there is a leader. It answers the
// end of all processes at once: callers come back before the coordinators have
// elected a leader. Every accepted publication is in a majority of the logs, so the
// newest one of any majority is at least as new. A log whose slot went to another
// machine while it was away may count here; the leader's answer corrects it.
type recovery struct {
	answers map[string]*wire.Publication
}

// note takes the newest publication in the log of a coordinator. It returns the
// newest of all once a majority of the slots has answered, and nil before.
func (r *recovery) note(address string, p *wire.Publication, slots int) *wire.Publication {
	if r.answers == nil {
		r.answers = map[string]*wire.Publication{}
	}
	r.answers[address] = p
	if 2*len(r.answers) <= slots {
		return nil
	}
	newest := p
	for _, other := range r.answers {
		if other.Revision > newest.Revision {
			newest = other
		}
	}
	return newest
}

// forget drops the answer of a coordinator whose stream ended: its log may grow
// without this gateway hearing of it.
func (r *recovery) forget(address string) { delete(r.answers, address) }
