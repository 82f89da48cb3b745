package follow

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// partitionGrace is the time after the first unconfirmed publication for which a gateway waits
// for streams of further coordinators before it takes itself for partitioned. It covers the start
// of all processes at once and a first connection attempt that is lost.
const partitionGrace = 1500 * time.Millisecond

// unconfirmedPublications holds the publications of coordinators that no leader has confirmed.
type unconfirmedPublications struct {
	// byCoordinator holds the last publication of each coordinator, by its address.
	byCoordinator map[string]*wire.Publication
	// since is the time of the first publication.
	since time.Time
}

// add records the publication of a coordinator.
func (u *unconfirmedPublications) add(address string, p *wire.Publication, now time.Time) {
	if u.byCoordinator == nil {
		u.byCoordinator, u.since = map[string]*wire.Publication{}, now
	}
	u.byCoordinator[address] = p
}

// of returns the publication of a coordinator, nil if there is none.
func (u *unconfirmedPublications) of(address string) *wire.Publication {
	return u.byCoordinator[address]
}

// newest returns the publication with the highest revision and the coordinator that holds it once
// partitionGrace has passed, and nil before that.
func (u *unconfirmedPublications) newest(now time.Time) (newest *wire.Publication, holder string) {
	if now.Sub(u.since) < partitionGrace {
		return nil, ""
	}
	for address, p := range u.byCoordinator {
		if newest == nil || p.Revision > newest.Revision {
			newest, holder = p, address
		}
	}
	return newest, holder
}

// remove removes the publication of a coordinator whose stream ended.
func (u *unconfirmedPublications) remove(address string) { delete(u.byCoordinator, address) }
