package configwatch

import (
	"testing"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// Guards against an event that crashes an instance or reverts it to an older version.
func FuzzEventDecoder(f *testing.F) {
	f.Add(uint64(1), []byte(`[{"section":"ranks","name":"urgent","value":null}]`), []byte(nil), false)
	f.Add(uint64(9), []byte(nil), []byte(`{"version":9,"organisations":null,"services":{"a":{}}}`), false)
	f.Add(uint64(9), []byte(nil), []byte(`null`), true)
	f.Fuzz(func(t *testing.T, version uint64, ops, snapshot []byte, more bool) {
		current := document.Empty()
		var decoder eventDecoder
		for range 2 {
			u, err := decoder.decode(current, &wire.WatchEvent{Version: version, Ops: ops, Snapshot: snapshot, More: more})
			if err != nil || u == nil {
				continue
			}
			if u.document.Version <= current.Version {
				t.Fatalf("version %d was put in force after version %d", u.document.Version, current.Version)
			}
			current = u.document
		}
		if next, err := current.Apply([]document.Op{{Section: document.SectionRanks, Name: "urgent", Value: []byte(`{}`)}}); err != nil || next.Ranks == nil {
			t.Fatal(err)
		}
	})
}
