package document

import (
	"fmt"
	"maps"
	"slices"
)

// ValidateOps returns the faults of a document d that results from applying ops to
// a valid document. It finds a fault if and only if Validate does. Its cost depends
// on the ops and not on the size of the document, unless a service is deleted.
// keyOwner returns the organisation that had a key hash before the ops were applied.
func (d *Document) ValidateOps(ops []Op, keyOwner func(hash string) (string, bool)) []Fault {
	changed := map[string]map[string]bool{}
	for _, op := range ops {
		if changed[op.Section] == nil {
			changed[op.Section] = map[string]bool{}
		}
		changed[op.Section][op.Name] = true
	}
	for name := range changed[SectionServices] {
		if _, ok := d.Services[name]; !ok {
			// Any organisation or placement may refer to the deleted service.
			return d.Validate()
		}
	}
	v := &validator{}
	forEachChanged(d.Services, changed[SectionServices], func(name string, s Service) {
		v.checkService("services/"+name, name, s)
	})
	forEachChanged(d.Organisations, changed[SectionOrganisations], func(name string, o Organisation) {
		v.checkOrganisation("organisations/"+name, name, o, d)
	})
	v.checkChangedKeysUnique(d, changed[SectionOrganisations], keyOwner)
	forEachChanged(d.Ranks, changed[SectionRanks], func(name string, r Rank) {
		v.checkRank("ranks/"+name, name, r)
	})
	forEachChanged(d.Placements, changed[SectionPlacements], func(name string, p PlacementRule) {
		v.checkPlacement("placements/"+name, name, p, d)
	})
	return v.faults
}

// forEachChanged calls check for the changed items that exist, ordered by name.
func forEachChanged[T any](items map[string]T, changed map[string]bool, check func(string, T)) {
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if item, ok := items[name]; ok {
			check(name, item)
		}
	}
}

func (v *validator) checkChangedKeysUnique(d *Document, changed map[string]bool, keyOwner func(string) (string, bool)) {
	ownerByHash := map[string]string{}
	forEachChanged(d.Organisations, changed, func(name string, o Organisation) {
		for i, hash := range o.KeyHashes {
			owner, duplicate := ownerByHash[hash]
			if previousOwner, ok := keyOwner(hash); !duplicate && ok && !changed[previousOwner] {
				owner, duplicate = previousOwner, true
			}
			if duplicate {
				v.addFaultf(fmt.Sprintf("organisations/%s.key_hashes[%d]", name, i), "is also a key of %q", owner)
			}
			ownerByHash[hash] = name
		}
	})
}
