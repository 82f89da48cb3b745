package document

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a change that the incremental check accepts and the whole
// check refuses, or the other way round.
func TestValidateOpsAgreesWithValidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawLinkedDocument(t, "from")
		if len(from.Validate()) > 0 {
			t.Skip("the first document must be valid")
		}
		to := drawLinkedDocument(t, "to")
		ops, err := Diff(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := from.Apply(ops)
		if err != nil {
			t.Fatal(err)
		}
		owners := map[string]string{}
		for name, o := range from.Organisations {
			for _, hash := range o.KeyHashes {
				owners[hash] = name
			}
		}
		faults := got.ValidateOps(ops, func(hash string) (string, bool) {
			name, ok := owners[hash]
			return name, ok
		})
		if whole := got.Validate(); (len(whole) == 0) != (len(faults) == 0) {
			t.Fatalf("whole check: %v, incremental check: %v", whole, faults)
		}
	})
}

// drawLinkedDocument draws a document whose items name each other and share keys.
func drawLinkedDocument(t *rapid.T, label string) *Document {
	d := Empty()
	names := rapid.SampledFrom([]string{"a", "b"})
	for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, label+" services") {
		d.Services[name] = Service{Kind: Plain, TimeoutMS: rapid.IntRange(-1, 20).Draw(t, "timeout")}
	}
	few := rapid.SliceOfNDistinct(names, 0, 1, rapid.ID[string])
	for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, label+" organisations") {
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{HashKey("1"), HashKey("2"), HashKey("3")}), 0, 2).Draw(t, "keys")
		d.Organisations[name] = Organisation{Weight: 1, Ranks: []string{Urgent}, KeyHashes: keys, Services: few.Draw(t, "services")}
	}
	if rapid.Bool().Draw(t, label+" placement") {
		d.Placements["p"] = Placement{Services: []string{names.Draw(t, "placed")}}
	}
	return d
}
