// Package membership holds the table of the instances of the system and the
// failure detector that keeps it.
package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an instance as seen by another.
type State uint8

// States of a member. A member that is leaving still serves requests in flight
// and takes no new role.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Member is one instance of the system.
type Member struct {
	// ID is unique among all instances, from the settings.
	ID         string
	Region     string
	DataCentre string
	// PeerAddress and CallerAddress are an IP and a port.
	PeerAddress   string
	CallerAddress string
	// Incarnation is raised at each start and to refute a suspicion.
	Incarnation uint64
	State       State
}

// View is the part of the member table that other services need.
type View interface {
	// Self returns this instance.
	Self() Member
	// Members returns the known instances that are alive or suspect, this one
	// included: the own data centre in detail, contacts of the others.
	Members() []Member
	// Member returns one instance in any state but dead.
	Member(id string) (Member, bool)
}

// Rank orders members by rendezvous hash of key, best first. Instances with
// the same table get the same order, and the loss of one member moves only the
// keys that it ranked first for.
func Rank(key string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		list = append(list, scored{xxhash.Sum64String(key + "\x00" + m.ID), m})
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	ranked := make([]Member, len(list))
	for i, s := range list {
		ranked[i] = s.member
	}
	return ranked
}

// InDataCentre returns the members of one data centre.
func InDataCentre(dataCentre string, members []Member) []Member {
	var in []Member
	for _, m := range members {
		if m.DataCentre == dataCentre {
			in = append(in, m)
		}
	}
	return in
}
