package document

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a difference with a missing or a spurious op: applying the
// difference of two documents to the first must result in the second.
func TestDiffThenApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		ops, err := Diff(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := from.Apply(ops)
		if err != nil {
			t.Fatal(err)
		}
		want := *to
		want.Version = from.Version + 1
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(&want)
		if string(gotJSON) != string(wantJSON) {
			t.Fatalf("got %s, want %s", gotJSON, wantJSON)
		}
	})
}

func drawDocument(t *rapid.T, label string) *Document {
	d := Empty()
	names := rapid.SliceOfDistinct(rapid.StringMatching(`[a-c]`), rapid.ID[string]).Draw(t, label)
	for _, name := range names {
		d.Organisations[name] = Organisation{Weight: rapid.IntRange(1, 3).Draw(t, "weight"), Ranks: []string{Urgent}}
	}
	return d
}

// Guards against a fault that is not detected or not attributed to its field.
func TestValidateNamesField(t *testing.T) {
	d := Empty()
	d.Services["summary"] = Service{Kind: "batch"}
	d.Organisations["boutique"] = Organisation{Weight: 0, Ranks: []string{"soon"}, Services: []string{"other"}}
	d.Placements["all"] = PlacementRule{Services: []string{"summary"}, Networks: []string{"10.0.0.1"}}
	var paths []string
	for _, f := range d.Validate() {
		paths = append(paths, f.Path)
	}
	qt.Assert(t, paths, qt.DeepEquals, []string{
		"services/summary.kind", "organisations/boutique.weight", "organisations/boutique.ranks[0]",
		"organisations/boutique.services[0]", "placements/all.networks[0]",
	})
}
