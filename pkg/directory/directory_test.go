package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func ready(id, address string, started int64, sequence uint64) Server {
	return Server{ID: id, Service: "pool", Address: address, StartedMS: started, Sequence: sequence}
}

// Guards against a late or repeated announcement that brings back an older state.
func TestApplyOrdersAnnouncements(t *testing.T) {
	leaving := ready("a", "1:1", 10, 5)
	leaving.State = Leaving
	gone := Server{ID: "a", State: Gone}
	tests := []struct {
		name  string
		known []Server
		next  Server
		want  Effect
		state State
	}{
		{"first", nil, ready("a", "1:1", 10, 1), Changed, Ready},
		{"renewal", []Server{ready("a", "1:1", 10, 1)}, ready("a", "1:1", 10, 2), Renewed, Ready},
		{"repeated", []Server{ready("a", "1:1", 10, 2)}, ready("a", "1:1", 10, 2), Stale, Ready},
		{"late after leaving", []Server{leaving}, ready("a", "1:1", 10, 4), Stale, Leaving},
		{"leaves", []Server{ready("a", "1:1", 10, 4)}, leaving, Changed, Leaving},
		{"ends without a start", []Server{leaving}, gone, Changed, Gone},
		{"late after its end", []Server{leaving, gone}, ready("a", "1:1", 10, 9), Stale, Gone},
		{"starts again under its identifier", []Server{leaving, gone}, ready("a", "1:1", 20, 1), Changed, Ready},
		{"earlier start", []Server{ready("a", "1:1", 20, 1)}, ready("a", "1:1", 10, 9), Stale, Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(time.Second)
			for _, s := range tt.known {
				d.Apply(s, start)
			}
			effect, _ := d.Apply(tt.next, start)
			qt.Assert(t, effect, qt.Equals, tt.want)
			got, ok := d.Lookup("a")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got.State, qt.Equals, tt.state)
		})
	}
}

// Guards against work for a server whose address now belongs to another one,
// also when an announcement of the old server was held up by a partition.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	d := New(time.Second)
	d.Apply(ready("old", "1:1", 10, 7), start)
	effect, displaced := d.Apply(ready("new", "1:1", 20, 1), start)
	qt.Assert(t, effect, qt.Equals, Changed)
	qt.Assert(t, displaced, qt.IsNotNil)
	qt.Assert(t, displaced.ID, qt.Equals, "old")
	qt.Assert(t, displaced.State, qt.Equals, Gone)
	old, _ := d.Lookup("old")
	qt.Assert(t, old.State, qt.Equals, Gone)
	for _, late := range []Server{ready("late", "1:1", 15, 8), ready("old", "1:1", 10, 8)} {
		effect, displaced = d.Apply(late, start)
		qt.Assert(t, effect, qt.Equals, Stale)
		qt.Assert(t, displaced, qt.IsNil)
	}
}

// Guards against servers that crashed silently and against tombstones that are
// dropped with them.
func TestExpire(t *testing.T) {
	d := New(time.Second)
	d.Apply(ready("a", "1:1", 10, 1), start)
	d.Apply(ready("b", "1:2", 10, 1), start)
	d.Apply(Server{ID: "b", State: Gone}, start)
	qt.Assert(t, d.Expire(start.Add(time.Second)), qt.HasLen, 0)
	lapsed := d.Expire(start.Add(2 * time.Second))
	qt.Assert(t, lapsed, qt.HasLen, 1)
	qt.Assert(t, lapsed[0].ID, qt.Equals, "a")
	_, ok := d.Lookup("b")
	qt.Assert(t, ok, qt.IsTrue)
}

// Guards against servers that count longer than they were announced after a
// restart, and against an ended one that comes back.
func TestRestore(t *testing.T) {
	d := New(time.Second)
	d.Apply(ready("a", "1:1", 10, 1), start)
	d.Apply(ready("b", "1:2", 10, 1), start)
	d.Apply(Server{ID: "b", State: Gone}, start)
	entries := d.Entries()
	qt.Assert(t, entries, qt.HasLen, 2)
	restored := New(time.Second)
	restored.Restore(entries, start.Add(500*time.Millisecond))
	s, ok := restored.Lookup("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s, qt.Equals, ready("a", "1:1", 10, 1))
	s, _ = restored.Lookup("b")
	qt.Assert(t, s.State, qt.Equals, Gone)
	qt.Assert(t, restored.Expire(start.Add(1500*time.Millisecond)), qt.HasLen, 1)
	late := New(time.Second)
	late.Restore(entries, start.Add(2*time.Second))
	late.Restore(entries, start.Add(-time.Second))
	qt.Assert(t, late.All(), qt.HasLen, 0)
}
