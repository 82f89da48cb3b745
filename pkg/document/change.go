package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Op sets or deletes one item of the document.
type Op struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	// Value is the complete new item in JSON; an empty value deletes the item.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is a change of the configuration proposed by an operator.
type Change struct {
	// ID identifies the change. Resending the change with the same ID returns the
	// recorded result.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Base is the document version that the change is based on.
	Base uint64 `json:"base"`
	Ops  []Op   `json:"ops"`
}

// Apply returns the document that results from applying ops to d, with the next
// version. It does not modify d. It fails if an op names an unknown section, has a
// value that does not decode or deletes an item that does not exist.
func (d *Document) Apply(ops []Op) (*Document, error) {
	next := d.cloneSections(ops)
	next.Version++
	for i, op := range ops {
		if err := next.applyOp(op); err != nil {
			return nil, eris.Wrapf(err, "ops[%d] %s/%s", i, op.Section, op.Name)
		}
	}
	return next, nil
}

func (d *Document) applyOp(op Op) error {
	switch op.Section {
	case SectionServices:
		return applyItem(d.Services, op)
	case SectionOrganisations:
		return applyItem(d.Organisations, op)
	case SectionRanks:
		return applyItem(d.Ranks, op)
	case SectionPlacements:
		return applyItem(d.Placements, op)
	}
	return eris.Errorf("unknown section %q", op.Section)
}

func applyItem[T any](items map[string]T, op Op) error {
	if len(op.Value) == 0 {
		if _, ok := items[op.Name]; !ok {
			return eris.New("there is no such item to delete")
		}
		delete(items, op.Name)
		return nil
	}
	var item T
	decoder := json.NewDecoder(bytes.NewReader(op.Value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return err
	}
	items[op.Name] = item
	return nil
}

// Diff returns the ops that transform one document into another, in a fixed order.
func Diff(from, to *Document) ([]Op, error) {
	var ops []Op
	for _, diff := range []func() error{
		func() error { return diffSection(&ops, SectionServices, from.Services, to.Services) },
		func() error { return diffSection(&ops, SectionOrganisations, from.Organisations, to.Organisations) },
		func() error { return diffSection(&ops, SectionRanks, from.Ranks, to.Ranks) },
		func() error { return diffSection(&ops, SectionPlacements, from.Placements, to.Placements) },
	} {
		if err := diff(); err != nil {
			return nil, err
		}
	}
	return ops, nil
}

func diffSection[T any](ops *[]Op, section string, from, to map[string]T) error {
	for _, name := range slices.Sorted(maps.Keys(to)) {
		value, err := json.Marshal(to[name])
		if err != nil {
			return eris.Wrapf(err, "encode %s/%s", section, name)
		}
		if previous, ok := from[name]; ok {
			previousValue, err := json.Marshal(previous)
			if err != nil {
				return eris.Wrapf(err, "encode %s/%s", section, name)
			}
			if bytes.Equal(previousValue, value) {
				continue
			}
		}
		*ops = append(*ops, Op{Section: section, Name: name, Value: value})
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[name]; !ok {
			*ops = append(*ops, Op{Section: section, Name: name})
		}
	}
	return nil
}
