package configwatch

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

func testOps(weight int) json.RawMessage {
	value, _ := json.Marshal(document.Organisation{Weight: weight, Ranks: []string{document.Urgent}})
	ops, _ := json.Marshal([]document.Op{{Section: document.SectionOrganisations, Name: "boutique", Value: value}})
	return ops
}

// Guards against a stored configuration that is older than the one in force before
// a crash that truncated the last journal line at any byte.
func TestStoreSurvivesTruncatedJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path, err := os.MkdirTemp("", "configwatch")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(path)
		store, stored, err := openStore(path)
		if err != nil || stored != nil {
			t.Fatalf("empty folder: %v %v", stored, err)
		}
		d := document.Empty()
		changes := rapid.IntRange(1, 12).Draw(t, "changes")
		wholeDocumentAt := rapid.IntRange(-1, changes).Draw(t, "whole")
		for i := range changes {
			u, err := new(eventDecoder).decode(d, &wire.WatchEvent{Version: d.Version + 1, Ops: testOps(1 + i)})
			if err != nil {
				t.Fatal(err)
			}
			if i == wholeDocumentAt {
				u.ops = nil
			}
			if err := store.save(u); err != nil {
				t.Fatal(err)
			}
			d = u.document
		}
		store.close()
		line, _ := json.Marshal(journalLine{Version: d.Version + 1, Ops: testOps(99)})
		incompleteLine := line[:rapid.IntRange(0, len(line)).Draw(t, "torn")]
		file, err := os.OpenFile(filepath.Join(path, journalFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = file.Write(incompleteLine)
		_ = file.Close()
		for range 2 {
			reopened, got, err := openStore(path)
			if err != nil || got.Version != d.Version || got.Organisations["boutique"].Weight != changes {
				t.Fatalf("got %+v, %v, want %+v", got, err, d)
			}
			reopened.close()
		}
	})
}

// Guards against a damaged line of the journal that passes for its end: the instance would start with an
// older configuration than it had obeyed.
func TestDamagedLineIsNotTheEndOfTheJournal(t *testing.T) {
	path := t.TempDir()
	store, _, err := openStore(path)
	qt.Assert(t, err, qt.IsNil)
	d := document.Empty()
	for i := range 3 {
		u, err := new(eventDecoder).decode(d, &wire.WatchEvent{Version: d.Version + 1, Ops: testOps(1 + i)})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, store.save(u), qt.IsNil)
		d = u.document
	}
	store.close()
	journal, err := os.ReadFile(filepath.Join(path, journalFile))
	qt.Assert(t, err, qt.IsNil)
	second := bytes.IndexByte(journal, '\n') + 1
	journal[second+2] = 0
	qt.Assert(t, os.WriteFile(filepath.Join(path, journalFile), journal, 0o600), qt.IsNil)
	_, got, err := openStore(path)
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*decode line 2 .*", qt.Commentf("read %+v", got))
}

// Guards against a watch that accepts events that cannot be applied to the current
// document, and against input that crashes the instance.
func TestEventDecoderRejectsInapplicableEvents(t *testing.T) {
	current := document.Empty()
	current.Version = 4
	cases := []struct {
		name      string
		event     *wire.WatchEvent
		wantError bool
	}{
		{"gap", &wire.WatchEvent{Version: 6, Ops: testOps(1)}, true},
		{"old", &wire.WatchEvent{Version: 4, Ops: testOps(1)}, false},
		{"malformed ops", &wire.WatchEvent{Version: 5, Ops: []byte("{")}, true},
		{"unknown section", &wire.WatchEvent{Version: 5, Ops: []byte(`[{"section":"shops","name":"a"}]`)}, true},
		{"missed change", &wire.WatchEvent{Version: 5, Heartbeat: true}, true},
		{"behind", &wire.WatchEvent{Version: 3, Heartbeat: true}, false},
		{"malformed snapshot", &wire.WatchEvent{Version: 5, Snapshot: []byte("[")}, true},
		{"old snapshot", &wire.WatchEvent{Version: 3, Snapshot: []byte(`{"version":3}`)}, false},
	}
	for _, c := range cases {
		u, err := new(eventDecoder).decode(current, c.event)
		qt.Assert(t, u, qt.IsNil, qt.Commentf(c.name))
		qt.Assert(t, err != nil, qt.Equals, c.wantError, qt.Commentf("%s: %v", c.name, err))
	}
}
