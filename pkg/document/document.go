// Package document holds the configuration document: the whole intended state
// of a deployment, its validation and the differences between two versions.
// It is pure: it does no input or output and reads no clock.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
)

// Ranks of work.
const (
	Urgent  = "urgent"
	Patient = "patient"
)

// Kinds of services.
const (
	// Generation services are model pools that stream tokens.
	Generation = "generation"
	// Plain services answer single HTTP calls.
	Plain = "plain"
)

// Sections of the document; each holds items by name.
const (
	SectionServices      = "services"
	SectionOrganisations = "organisations"
	SectionRanks         = "ranks"
	SectionPlacements    = "placements"
)

// Document is one version of the configuration. It is immutable once
// published: Apply returns a new document.
type Document struct {
	// Version counts accepted changes; the empty document has version 0.
	Version       uint64                  `json:"version"`
	Services      map[string]Service      `json:"services"`
	Organisations map[string]Organisation `json:"organisations"`
	Ranks         map[string]Rank         `json:"ranks"`
	Placements    map[string]Placement    `json:"placements"`
}

// Service is a pool of backend servers under one name. Its name is the model
// name of a generation service and the path segment of a plain one.
type Service struct {
	Kind string `json:"kind"`
	// Routes applies to plain services; the first match decides. A call that
	// matches none is idempotent if its method is GET or HEAD.
	Routes []Route `json:"routes,omitempty"`
	// MaxTokens bounds the output of one generation, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// TimeoutMS bounds one call to a plain service, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// Route classifies calls to a plain service.
type Route struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
	// Rank is the default rank of matching calls; empty means urgent.
	Rank string `json:"rank,omitempty"`
}

// Organisation is a customer whose callers share limits and weight.
type Organisation struct {
	// KeyHashes are SHA-256 hashes of the callers' keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the share in fair queueing within a rank, 1 to 1000.
	Weight int `json:"weight"`
	// Ranks lists the ranks that the organisation may send.
	Ranks []string `json:"ranks"`
	// TokensPerSecond limits generated tokens over all instances; 0 is no limit.
	TokensPerSecond int `json:"tokens_per_second,omitempty"`
	// MaxInFlight limits running requests over all instances; 0 is no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Services lists the services it may call; empty means all.
	Services []string `json:"services,omitempty"`
}

// Rank holds the targets of one rank of work.
type Rank struct {
	// FirstTokenTargetMS is the target time to the first token, in milliseconds.
	FirstTokenTargetMS int `json:"first_token_target_ms"`
	// MaxWaitMS is the longest time in the queue before a refusal, in milliseconds.
	MaxWaitMS int `json:"max_wait_ms"`
	// QueuePerOrganisation bounds the queued requests of one organisation.
	QueuePerOrganisation int `json:"queue_per_organisation"`
	// FloorPercent is the least share of the slots while work of this rank waits.
	FloorPercent int `json:"floor_percent"`
}

// Placement says which backend servers may carry which services.
type Placement struct {
	Services []string `json:"services"`
	// DataCentres limits the rule to data centres; empty means all.
	DataCentres []string `json:"data_centres,omitempty"`
	// Networks are CIDR prefixes of backend server addresses; empty means all.
	Networks []string `json:"networks,omitempty"`
	// ChecksFencing tells that these engines refuse an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// Replicas is the wanted number of backend servers per data centre; 0 leaves it alone.
	Replicas int `json:"replicas,omitempty"`
}

// Empty returns the document of version 0.
func Empty() *Document {
	return &Document{
		Services: map[string]Service{}, Organisations: map[string]Organisation{},
		Ranks: map[string]Rank{}, Placements: map[string]Placement{},
	}
}

// cloneFor copies the maps of the sections that ops name. Other sections are
// shared, and so are the items, which are replaced as a whole. Copying 35,000
// organisations takes 4 ms, which at 33,000 changes a day is 0.2% of a core.
func (d *Document) cloneFor(ops []Op) *Document {
	next := *d
	cloned := map[string]bool{}
	for _, op := range ops {
		if cloned[op.Section] {
			continue
		}
		cloned[op.Section] = true
		switch op.Section {
		case SectionServices:
			next.Services = cloneMap(d.Services)
		case SectionOrganisations:
			next.Organisations = cloneMap(d.Organisations)
		case SectionRanks:
			next.Ranks = cloneMap(d.Ranks)
		case SectionPlacements:
			next.Placements = cloneMap(d.Placements)
		}
	}
	return &next
}

// cloneMap copies a map; a missing one, as in a document that was decoded from
// "null", becomes an empty one.
func cloneMap[T any](items map[string]T) map[string]T {
	if items == nil {
		return map[string]T{}
	}
	return maps.Clone(items)
}

// HashKey returns the stored form of a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ServiceRoute returns whether a call to a plain service is idempotent, and
// its default rank.
func (s Service) ServiceRoute(method, path string) (idempotent bool, rank string) {
	for _, r := range s.Routes {
		if r.matches(method, path) {
			if r.Rank == "" {
				return r.Idempotent, Urgent
			}
			return r.Idempotent, r.Rank
		}
	}
	return method == "GET" || method == "HEAD", Urgent
}

func (r Route) matches(method, path string) bool {
	return (r.Method == "" || r.Method == method) &&
		len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}
