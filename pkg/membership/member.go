// Package membership holds the list of the live entry instances and the failure
// detector that maintains it.
package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an instance in the membership list of another one.
type State uint8

// States of a member, from best to worst. A leaving member still serves the
// requests that it has; its users send it no new ones.
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
	// ID is unique among all instances; it is part of the settings.
	ID         string
	Region     string
	DataCentre string
	// PeerAddress and CallerAddress consist of an IP address and a port.
	PeerAddress   string
	CallerAddress string
	// Incarnation increases at each start and when the instance refutes a suspicion.
	Incarnation uint64
	State       State
}

// View is the part of the membership list that other services need.
type View interface {
	// Self returns this instance.
	Self() Member
	// Members returns the instances in the list that are alive or suspect, this one
	// included unless it is leaving: all of this data centre and up to
	// MaxContactsPerDataCentre of each other one.
	Members() []Member
	// Member returns an instance of the list in any state except dead.
	Member(id string) (Member, bool)
}

// RankByHash orders members by their rendezvous hash for key, highest first. Instances
// with the same list get the same order, and the loss of a member changes the
// first member only of those keys for which it ranked first.
func RankByHash(key string, members []Member) []Member {
	type scoredMember struct {
		score  uint64
		member Member
	}
	scores := make([]scoredMember, 0, len(members))
	for _, m := range members {
		scores = append(scores, scoredMember{xxhash.Sum64String(key + "\x00" + m.ID), m})
	}
	slices.SortFunc(scores, func(a, b scoredMember) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	ranked := make([]Member, len(scores))
	for i, s := range scores {
		ranked[i] = s.member
	}
	return ranked
}

// InDataCentre returns the members of one data centre.
func InDataCentre(dataCentre string, members []Member) []Member {
	var matching []Member
	for _, m := range members {
		if m.DataCentre == dataCentre {
			matching = append(matching, m)
		}
	}
	return matching
}
