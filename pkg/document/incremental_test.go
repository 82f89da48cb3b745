package document

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a change that passes incremental validation and fails full
// validation, or vice versa.
func TestValidateOpsAgreesWithValidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawReferencingDocument(t, "from")
		if len(from.Validate()) > 0 {
			t.Skip("the first document must be valid")
		}
		to := drawReferencingDocument(t, "to")
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
		if allFaults := got.Validate(); (len(allFaults) == 0) != (len(faults) == 0) {
			t.Fatalf("full validation: %v, incremental validation: %v", allFaults, faults)
		}
	})
}

// drawReferencingDocument draws a document whose items refer to each other and may
// share keys.
func drawReferencingDocument(t *rapid.T, label string) *Document {
	d := Empty()
	names := rapid.SampledFrom([]string{"a", "b"})
	for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, label+" services") {
		d.Services[name] = Service{Kind: KindPlain, TimeoutMS: rapid.IntRange(-1, 20).Draw(t, "timeout")}
	}
	atMostOne := rapid.SliceOfNDistinct(names, 0, 1, rapid.ID[string])
	for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, label+" organisations") {
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{HashKey("1"), HashKey("2"), HashKey("3")}), 0, 2).Draw(t, "keys")
		d.Organisations[name] = Organisation{Weight: 1, Ranks: []string{Urgent}, KeyHashes: keys, Services: atMostOne.Draw(t, "services")}
	}
	if rapid.Bool().Draw(t, label+" placement") {
		d.Placements["p"] = PlacementRule{Services: []string{names.Draw(t, "placed")}}
	}
	return d
}
