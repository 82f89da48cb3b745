package document

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
)

// Fault is one field at fault.
type Fault struct {
	// Path names the field, as in "organisations/boutique.weight".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// Limits of a document.
const (
	maxWeight      = 1000
	maxFloor       = 50
	maxQueueLength = 100_000
	maxWaitMS      = 24 * 60 * 60 * 1000
	maxNameLength  = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) failf(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) within(path string, value, low, high int) {
	if value < low || value > high {
		c.failf(path, "is %d, must be from %d to %d", value, low, high)
	}
}

func (c *checker) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.failf(path, "name %q must be 1 to %d of a-z, 0-9, '.', '_', '-'", name, maxNameLength)
	}
}

// Validate returns all faults of a document, in a fixed order; none means that
// it is valid.
func (d *Document) Validate() []Fault {
	c := &checker{}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		c.service("services/"+name, name, d.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		c.organisation("organisations/"+name, name, d.Organisations[name], d)
	}
	c.keysUnique(d)
	for _, name := range slices.Sorted(maps.Keys(d.Ranks)) {
		c.rank("ranks/"+name, name, d.Ranks[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Placements)) {
		c.placement("placements/"+name, name, d.Placements[name], d)
	}
	return c.faults
}

func (c *checker) service(path, name string, s Service) {
	c.name(path, name)
	if s.Kind != Generation && s.Kind != Plain {
		c.failf(path+".kind", "is %q, must be %q or %q", s.Kind, Generation, Plain)
	}
	if s.MaxTokens < 0 {
		c.failf(path+".max_tokens", "must not be negative")
	}
	c.within(path+".timeout_ms", s.TimeoutMS, 0, maxWaitMS)
	for i, r := range s.Routes {
		if r.Rank != "" {
			c.rankName(fmt.Sprintf("%s.routes[%d].rank", path, i), r.Rank)
		}
	}
}

func (c *checker) rankName(path, rank string) {
	if rank != Urgent && rank != Patient {
		c.failf(path, "is %q, must be %q or %q", rank, Urgent, Patient)
	}
}

func (c *checker) serviceNames(path string, names []string, d *Document) {
	for i, name := range names {
		if _, ok := d.Services[name]; !ok {
			c.failf(fmt.Sprintf("%s[%d]", path, i), "there is no service %q", name)
		}
	}
}

func (c *checker) organisation(path, name string, o Organisation, d *Document) {
	c.name(path, name)
	c.within(path+".weight", o.Weight, 1, maxWeight)
	if len(o.Ranks) == 0 {
		c.failf(path+".ranks", "must name at least one rank")
	}
	for i, rank := range o.Ranks {
		c.rankName(fmt.Sprintf("%s.ranks[%d]", path, i), rank)
	}
	for i, hash := range o.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			c.failf(fmt.Sprintf("%s.key_hashes[%d]", path, i), "must be a SHA-256 hash in hex")
		}
	}
	if o.TokensPerSecond < 0 {
		c.failf(path+".tokens_per_second", "must not be negative")
	}
	if o.MaxInFlight < 0 {
		c.failf(path+".max_in_flight", "must not be negative")
	}
	c.serviceNames(path+".services", o.Services, d)
}

// keysUnique refuses a key of two organisations: it would not tell whose a call is.
func (c *checker) keysUnique(d *Document) {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		for i, hash := range d.Organisations[name].KeyHashes {
			if other, ok := owner[hash]; ok {
				c.failf(fmt.Sprintf("organisations/%s.key_hashes[%d]", name, i), "is also a key of %q", other)
			}
			owner[hash] = name
		}
	}
}

func (c *checker) rank(path, name string, r Rank) {
	c.rankName(path, name)
	c.within(path+".first_token_target_ms", r.FirstTokenTargetMS, 1, maxWaitMS)
	c.within(path+".max_wait_ms", r.MaxWaitMS, 1, maxWaitMS)
	c.within(path+".queue_per_organisation", r.QueuePerOrganisation, 1, maxQueueLength)
	c.within(path+".floor_percent", r.FloorPercent, 0, maxFloor)
}

func (c *checker) placement(path, name string, p Placement, d *Document) {
	c.name(path, name)
	if len(p.Services) == 0 {
		c.failf(path+".services", "must name at least one service")
	}
	c.serviceNames(path+".services", p.Services, d)
	for i, network := range p.Networks {
		if _, err := netip.ParsePrefix(network); err != nil {
			c.failf(fmt.Sprintf("%s.networks[%d]", path, i), "%q is not a CIDR prefix", network)
		}
	}
	if p.Replicas < 0 {
		c.failf(path+".replicas", "must not be negative")
	}
}
