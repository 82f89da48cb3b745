package document

import (
	"fmt"
	"maps"
	"slices"
)

// ValidateOps returns the faults of a document that results from applying ops
// to a valid document; it finds a fault exactly when Validate does. The cost
// depends on the ops, not on the size of the document, unless a service is
// deleted. keyOwner returns the organisation that held a key hash in the
// document before.
func (d *Document) ValidateOps(ops []Op, keyOwner func(hash string) (string, bool)) []Fault {
	touched := map[string]map[string]bool{}
	for _, op := range ops {
		if touched[op.Section] == nil {
			touched[op.Section] = map[string]bool{}
		}
		touched[op.Section][op.Name] = true
	}
	for name := range touched[SectionServices] {
		if _, ok := d.Services[name]; !ok {
			// Any organisation or placement may name the deleted service.
			return d.Validate()
		}
	}
	c := &checker{}
	forTouched(d.Services, touched[SectionServices], func(name string, s Service) {
		c.service("services/"+name, name, s)
	})
	forTouched(d.Organisations, touched[SectionOrganisations], func(name string, o Organisation) {
		c.organisation("organisations/"+name, name, o, d)
	})
	c.touchedKeysUnique(d, touched[SectionOrganisations], keyOwner)
	forTouched(d.Ranks, touched[SectionRanks], func(name string, r Rank) {
		c.rank("ranks/"+name, name, r)
	})
	forTouched(d.Placements, touched[SectionPlacements], func(name string, p Placement) {
		c.placement("placements/"+name, name, p, d)
	})
	return c.faults
}

// forTouched calls check for the touched items that exist, in the order of their names.
func forTouched[T any](items map[string]T, touched map[string]bool, check func(string, T)) {
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		if item, ok := items[name]; ok {
			check(name, item)
		}
	}
}

func (c *checker) touchedKeysUnique(d *Document, touched map[string]bool, keyOwner func(string) (string, bool)) {
	owner := map[string]string{}
	forTouched(d.Organisations, touched, func(name string, o Organisation) {
		for i, hash := range o.KeyHashes {
			other, taken := owner[hash]
			if before, ok := keyOwner(hash); !taken && ok && !touched[before] {
				other, taken = before, true
			}
			if taken {
				c.failf(fmt.Sprintf("organisations/%s.key_hashes[%d]", name, i), "is also a key of %q", other)
			}
			owner[hash] = name
		}
	})
}
