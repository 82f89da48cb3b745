package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Guards against example settings and documents that the programs refuse.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 26, qt.IsTrue)
	for _, file := range files {
		switch name := filepath.Base(file); {
		case strings.HasPrefix(name, "entry-"):
			_, err = LoadEntry(file)
		case strings.HasPrefix(name, "control-"):
			_, err = LoadControl(file)
		default:
			d := document.Empty()
			content, readErr := os.ReadFile(file)
			qt.Assert(t, readErr, qt.IsNil)
			err = Decode(file, content, d)
			qt.Check(t, d.Validate(), qt.HasLen, 0, qt.Commentf("%s", file))
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", file))
	}
}

// Guards against reporting only the first of several faults, and against silently ignoring misspelt
// keys.
func TestFaultsAreReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	qt.Assert(t, os.WriteFile(file, []byte(`{"caller_address": "host:80", "policy": "x"}`), 0o600), qt.IsNil)
	_, err := LoadEntry(file)
	faults, ok := err.(*FaultsError)
	qt.Assert(t, ok, qt.IsTrue)
	// Three of the instance, three addresses, and one each of control, key_secret and policy.
	qt.Assert(t, faults.Faults, qt.HasLen, 9)
	control := DefaultControl()
	defaultFaults := len(control.validate())
	control.Entries, control.LoadsPerSecond, control.LoadBurst = []Peer{{ID: "a", Address: "host:80"}}, 0, 0
	qt.Assert(t, control.validate(), qt.HasLen, defaultFaults+3)
	qt.Assert(t, os.WriteFile(file, []byte("{\n  \"polcy\": 1\n}"), 0o600), qt.IsNil)
	_, err = LoadEntry(file)
	qt.Assert(t, err, qt.ErrorMatches, `.*entry.json:\d+:\d+: json: unknown field "polcy"`)
}

// Guards against panics on malformed input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{ // comment\n \"instance\": {\"id\": \"a\"}, }"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := DefaultEntry()
		if Decode("input", raw, &s) == nil {
			s.validate()
		}
	})
}
