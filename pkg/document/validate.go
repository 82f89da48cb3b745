package document

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
)

// Fault describes one invalid field.
type Fault struct {
	// Path names the field, as in "organisations/boutique.weight".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// Limits of the values in a document.
const (
	maxWeight       = 1000
	maxFloorPercent = 50
	// maxQueuePerOrganisation is a number of requests.
	maxQueuePerOrganisation = 100_000
	maxDurationMS           = 24 * 60 * 60 * 1000
	maxNameBytes            = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// validator collects the faults found in a document.
type validator struct{ faults []Fault }

func (v *validator) addFaultf(path, format string, args ...any) {
	v.faults = append(v.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkRange(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		v.addFaultf(path, "is %d, must be from %d to %d", value, minimum, maximum)
	}
}

func (v *validator) checkName(path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.addFaultf(path, "name %q must be 1 to %d of a-z, 0-9, '.', '_', '-'", name, maxNameBytes)
	}
}

// Validate returns all faults of the document in a fixed order, or none if it is
// valid.
func (d *Document) Validate() []Fault {
	v := &validator{}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		v.checkService("services/"+name, name, d.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		v.checkOrganisation("organisations/"+name, name, d.Organisations[name], d)
	}
	v.checkKeysUnique(d)
	for _, name := range slices.Sorted(maps.Keys(d.Ranks)) {
		v.checkRank("ranks/"+name, name, d.Ranks[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Placements)) {
		v.checkPlacement("placements/"+name, name, d.Placements[name], d)
	}
	return v.faults
}

func (v *validator) checkService(path, name string, s Service) {
	v.checkName(path, name)
	if s.Kind != KindGeneration && s.Kind != KindPlain {
		v.addFaultf(path+".kind", "is %q, must be %q or %q", s.Kind, KindGeneration, KindPlain)
	}
	if s.MaxTokens < 0 {
		v.addFaultf(path+".max_tokens", "must not be negative")
	}
	v.checkRange(path+".timeout_ms", s.TimeoutMS, 0, maxDurationMS)
	for i, r := range s.Routes {
		if r.Rank != "" {
			v.checkRankName(fmt.Sprintf("%s.routes[%d].rank", path, i), r.Rank)
		}
	}
}

func (v *validator) checkRankName(path, rank string) {
	if rank != Urgent && rank != Patient {
		v.addFaultf(path, "is %q, must be %q or %q", rank, Urgent, Patient)
	}
}

func (v *validator) checkServicesExist(path string, names []string, d *Document) {
	for i, name := range names {
		if _, ok := d.Services[name]; !ok {
			v.addFaultf(fmt.Sprintf("%s[%d]", path, i), "there is no service %q", name)
		}
	}
}

func (v *validator) checkOrganisation(path, name string, o Organisation, d *Document) {
	v.checkName(path, name)
	v.checkRange(path+".weight", o.Weight, 1, maxWeight)
	if len(o.Ranks) == 0 {
		v.addFaultf(path+".ranks", "must name at least one rank")
	}
	for i, rank := range o.Ranks {
		v.checkRankName(fmt.Sprintf("%s.ranks[%d]", path, i), rank)
	}
	for i, hash := range o.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			v.addFaultf(fmt.Sprintf("%s.key_hashes[%d]", path, i), "must be a SHA-256 hash in hex")
		}
	}
	if o.TokensPerSecond < 0 {
		v.addFaultf(path+".tokens_per_second", "must not be negative")
	}
	if o.MaxInFlight < 0 {
		v.addFaultf(path+".max_in_flight", "must not be negative")
	}
	v.checkServicesExist(path+".services", o.Services, d)
}

// checkKeysUnique adds a fault for each key of two organisations: calls with such a
// key could not be attributed to one of them.
func (v *validator) checkKeysUnique(d *Document) {
	ownerByHash := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		for i, hash := range d.Organisations[name].KeyHashes {
			if firstOwner, ok := ownerByHash[hash]; ok {
				v.addFaultf(fmt.Sprintf("organisations/%s.key_hashes[%d]", name, i), "is also a key of %q", firstOwner)
			}
			ownerByHash[hash] = name
		}
	}
}

func (v *validator) checkRank(path, name string, r Rank) {
	v.checkRankName(path, name)
	v.checkRange(path+".first_token_target_ms", r.FirstTokenTargetMS, 1, maxDurationMS)
	v.checkRange(path+".max_wait_ms", r.MaxWaitMS, 1, maxDurationMS)
	v.checkRange(path+".queue_per_organisation", r.QueuePerOrganisation, 1, maxQueuePerOrganisation)
	v.checkRange(path+".floor_percent", r.FloorPercent, 0, maxFloorPercent)
}

func (v *validator) checkPlacement(path, name string, p PlacementRule, d *Document) {
	v.checkName(path, name)
	if len(p.Services) == 0 {
		v.addFaultf(path+".services", "must name at least one service")
	}
	v.checkServicesExist(path+".services", p.Services, d)
	for i, network := range p.Networks {
		if _, err := netip.ParsePrefix(network); err != nil {
			v.addFaultf(fmt.Sprintf("%s.networks[%d]", path, i), "%q is not a CIDR prefix", network)
		}
	}
	if p.Replicas < 0 {
		v.addFaultf(path+".replicas", "must not be negative")
	}
}
