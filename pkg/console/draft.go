package console

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// maxEdits bounds the items of one draft.
const maxEdits = 1000

// itemKey names one item of the document.
type itemKey struct{ Section, Name string }

// draft collects edits on top of the version that the operator saw.
type draft struct {
	base, wanted *document.Document
	touched      []itemKey
	// changeID is set while a sent change has no known result, so that sending
	// again asks for the first result.
	changeID string
}

func newDraft(base *document.Document) *draft { return &draft{base: base, wanted: base} }

// edit applies one op to the draft.
func (d *draft) edit(op document.Op) error {
	key := itemKey{op.Section, op.Name}
	if !slices.Contains(d.touched, key) && len(d.touched) >= maxEdits {
		return eris.Errorf("a draft has at most %d items", maxEdits)
	}
	wanted, err := d.wanted.Apply([]document.Op{op})
	if err != nil {
		return err
	}
	wanted.Version = d.base.Version
	d.wanted, d.changeID = wanted, ""
	if !slices.Contains(d.touched, key) {
		d.touched = append(d.touched, key)
	}
	return nil
}

// ops returns the difference between the base and the draft.
func (d *draft) ops() []document.Op {
	var ops []document.Op
	for _, key := range d.touched {
		before, after := itemJSON(d.base, key), itemJSON(d.wanted, key)
		if !bytes.Equal(before, after) {
			ops = append(ops, document.Op{Section: key.Section, Name: key.Name, Value: after})
		}
	}
	return ops
}

// drop takes one item out of the draft.
func (d *draft) drop(key itemKey) error {
	value := itemJSON(d.base, key)
	if value == nil && itemJSON(d.wanted, key) == nil {
		return nil
	}
	return d.edit(document.Op{Section: key.Section, Name: key.Name, Value: value})
}

// rebase moves the edits onto a newer document. Items that both sides deleted
// need no edit any more.
func (d *draft) rebase(current *document.Document) error {
	next := newDraft(current)
	for _, op := range d.ops() {
		if len(op.Value) == 0 && itemJSON(current, itemKey{op.Section, op.Name}) == nil {
			continue
		}
		if err := next.edit(op); err != nil {
			return err
		}
	}
	*d = *next
	return nil
}

// row shows one item of the draft.
type row struct {
	itemKey
	// Base, Force and Draft are the item in the three documents; empty means
	// that it does not exist there.
	Base, Force, Draft string
	// Clash tells that the item changed in force since the base.
	Clash bool
}

// rows shows the draft against its base and what is in force.
func (d *draft) rows(current *document.Document) []row {
	var rows []row
	for _, op := range d.ops() {
		key := itemKey{op.Section, op.Name}
		base, force := itemJSON(d.base, key), itemJSON(current, key)
		rows = append(rows, row{
			itemKey: key, Base: indented(base), Force: indented(force), Draft: indented(op.Value),
			Clash: !bytes.Equal(base, force),
		})
	}
	return rows
}

// others returns what changed in force since the base.
func (d *draft) others(current *document.Document) ([]row, error) {
	if d.base.Version == current.Version {
		return nil, nil
	}
	ops, err := document.Diff(d.base, current)
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, op := range ops[:min(len(ops), maxEdits)] {
		key := itemKey{op.Section, op.Name}
		rows = append(rows, row{
			itemKey: key, Base: indented(itemJSON(d.base, key)), Force: indented(op.Value),
			Clash: slices.Contains(d.touched, key),
		})
	}
	return rows, nil
}

// itemJSON returns the encoded item, or nil when there is none.
func itemJSON(d *document.Document, key itemKey) json.RawMessage {
	switch key.Section {
	case document.SectionServices:
		return encodeItem(d.Services, key.Name)
	case document.SectionOrganisations:
		return encodeItem(d.Organisations, key.Name)
	case document.SectionRanks:
		return encodeItem(d.Ranks, key.Name)
	case document.SectionPlacements:
		return encodeItem(d.Placements, key.Name)
	}
	return nil
}

func encodeItem[T any](items map[string]T, name string) json.RawMessage {
	item, ok := items[name]
	if !ok {
		return nil
	}
	// Items hold only strings, numbers, booleans and lists of them.
	value, err := json.Marshal(item)
	if err != nil {
		panic(eris.Wrap(err, "encode an item"))
	}
	return value
}

func indented(value json.RawMessage) string {
	var out bytes.Buffer
	if len(value) == 0 || json.Indent(&out, value, "", "  ") != nil {
		return ""
	}
	return out.String()
}
