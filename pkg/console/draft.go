package console

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// maxDraftItems bounds the number of items that a draft edits.
const maxDraftItems = 1000

// itemKey identifies an item of the document.
type itemKey struct{ Section, Name string }

// draft holds the edits of an operator to a base version.
type draft struct {
	base, edited *document.Document
	// editedKeys are the edited items, in order of their first edit.
	editedKeys []itemKey
	// changeID is the identifier of the sent change while its result is unknown, so that sending the
	// draft again returns the result of that change and does not make a second one.
	changeID string
}

func newDraft(base *document.Document) *draft { return &draft{base: base, edited: base} }

// edit applies an operation to the draft.
func (d *draft) edit(op document.Op) error {
	key := itemKey{op.Section, op.Name}
	if !slices.Contains(d.editedKeys, key) && len(d.editedKeys) >= maxDraftItems {
		return eris.Errorf("a draft has at most %d items", maxDraftItems)
	}
	edited, err := d.edited.Apply([]document.Op{op})
	if err != nil {
		return err
	}
	edited.Version = d.base.Version
	d.edited, d.changeID = edited, ""
	if !slices.Contains(d.editedKeys, key) {
		d.editedKeys = append(d.editedKeys, key)
	}
	return nil
}

// ops returns the operations that turn the base into the edited document.
func (d *draft) ops() []document.Op {
	var ops []document.Op
	for _, key := range d.editedKeys {
		before, after := itemJSON(d.base, key), itemJSON(d.edited, key)
		if !bytes.Equal(before, after) {
			ops = append(ops, document.Op{Section: key.Section, Name: key.Name, Value: after})
		}
	}
	return ops
}

// drop resets an item to its base value.
func (d *draft) drop(key itemKey) error {
	value := itemJSON(d.base, key)
	if value == nil && itemJSON(d.edited, key) == nil {
		return nil
	}
	return d.edit(document.Op{Section: key.Section, Name: key.Name, Value: value})
}

// rebase applies the edits to a newer document, which becomes the base. A deletion of an item that
// current does not have is dropped.
func (d *draft) rebase(current *document.Document) error {
	rebased := newDraft(current)
	for _, op := range d.ops() {
		if len(op.Value) == 0 && itemJSON(current, itemKey{op.Section, op.Name}) == nil {
			continue
		}
		if err := rebased.edit(op); err != nil {
			return err
		}
	}
	*d = *rebased
	return nil
}

// row is the data of a table row that compares one item between versions.
type row struct {
	itemKey
	// Base, InForce and Draft are the item, in JSON, in the base of the draft, in the version in force
	// and in the draft. An empty string means that the document does not have the item.
	Base, InForce, Draft string
	// Conflict is set if the item was edited in the draft and has changed since the base.
	Conflict bool
}

// editRows compares each edited item with the base and the version in force.
func (d *draft) editRows(current *document.Document) []row {
	var rows []row
	for _, op := range d.ops() {
		key := itemKey{op.Section, op.Name}
		base, inForce := itemJSON(d.base, key), itemJSON(current, key)
		rows = append(rows, row{
			itemKey: key, Base: indentJSON(base), InForce: indentJSON(inForce), Draft: indentJSON(op.Value),
			Conflict: !bytes.Equal(base, inForce),
		})
	}
	return rows
}

// changesSinceBase compares the base with the version in force, for at most maxDraftItems items.
func (d *draft) changesSinceBase(current *document.Document) ([]row, error) {
	if d.base.Version == current.Version {
		return nil, nil
	}
	ops, err := document.Diff(d.base, current)
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, op := range ops[:min(len(ops), maxDraftItems)] {
		key := itemKey{op.Section, op.Name}
		rows = append(rows, row{
			itemKey: key, Base: indentJSON(itemJSON(d.base, key)), InForce: indentJSON(op.Value),
			Conflict: slices.Contains(d.editedKeys, key),
		})
	}
	return rows, nil
}

// itemJSON returns an item in JSON, or nil if the document does not have it.
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
	// Encoding cannot fail: items hold only strings, numbers, booleans and lists.
	value, err := json.Marshal(item)
	if err != nil {
		panic(eris.Wrap(err, "encode an item"))
	}
	return value
}

func indentJSON(value json.RawMessage) string {
	var out bytes.Buffer
	if len(value) == 0 || json.Indent(&out, value, "", "  ") != nil {
		return ""
	}
	return out.String()
}
