package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func announcement(id, address string, startedMS int64, sequence uint64) Server {
	return Server{ID: id, Service: "pool", Address: address, StartedMS: startedMS, Sequence: sequence}
}

// Guards against a delayed or repeated announcement that restores an older state.
func TestApplyOrdersAnnouncements(t *testing.T) {
	leaving := announcement("a", "1:1", 10, 5)
	leaving.State = Leaving
	gone := Server{ID: "a", State: Gone}
	versioned := announcement("a", "1:1", 10, 5)
	versioned.Version = "v2"
	tests := []struct {
		name    string
		earlier []Server
		applied Server
		want    Effect
		state   State
	}{
		{"new server", nil, announcement("a", "1:1", 10, 1), Changed, Ready},
		{"renewal", []Server{announcement("a", "1:1", 10, 1)}, announcement("a", "1:1", 10, 2), Renewed, Ready},
		{"duplicate", []Server{announcement("a", "1:1", 10, 2)}, announcement("a", "1:1", 10, 2), Stale, Ready},
		{"delayed after leaving", []Server{leaving}, announcement("a", "1:1", 10, 4), Stale, Leaving},
		{"leaving", []Server{announcement("a", "1:1", 10, 4)}, leaving, Changed, Leaving},
		{"version becomes known", []Server{announcement("a", "1:1", 10, 4)}, versioned, Changed, Ready},
		{"end without a start time", []Server{leaving}, gone, Changed, Gone},
		{"delayed after the end", []Server{leaving, gone}, announcement("a", "1:1", 10, 9), Stale, Gone},
		{"restarted with the same ID", []Server{leaving, gone}, announcement("a", "1:1", 20, 1), Changed, Ready},
		{"announcement of an earlier start", []Server{announcement("a", "1:1", 20, 1)}, announcement("a", "1:1", 10, 9), Stale, Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(time.Second)
			for _, s := range tt.earlier {
				d.Apply(s, start)
			}
			effect, _ := d.Apply(tt.applied, start)
			qt.Assert(t, effect, qt.Equals, tt.want)
			got, ok := d.Lookup("a")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got.State, qt.Equals, tt.state)
		})
	}
}

// Guards against sending work to a server whose address now belongs to another one, also when a
// partition delays an announcement of the earlier server.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	d := New(time.Second)
	d.Apply(announcement("old", "1:1", 10, 7), start)
	effect, displaced := d.Apply(announcement("new", "1:1", 20, 1), start)
	qt.Assert(t, effect, qt.Equals, Changed)
	qt.Assert(t, displaced, qt.IsNotNil)
	qt.Assert(t, displaced.ID, qt.Equals, "old")
	qt.Assert(t, displaced.State, qt.Equals, Gone)
	displacedServer, _ := d.Lookup("old")
	qt.Assert(t, displacedServer.State, qt.Equals, Gone)
	for _, delayed := range []Server{announcement("late", "1:1", 15, 8), announcement("old", "1:1", 10, 8)} {
		effect, displaced = d.Apply(delayed, start)
		qt.Assert(t, effect, qt.Equals, Stale)
		qt.Assert(t, displaced, qt.IsNil)
	}
}

// Guards against keeping servers that crashed without an announcement, and against dropping
// tombstones together with them.
func TestExpire(t *testing.T) {
	d := New(time.Second)
	d.Apply(announcement("a", "1:1", 10, 1), start)
	d.Apply(announcement("b", "1:2", 10, 1), start)
	d.Apply(Server{ID: "b", State: Gone}, start)
	qt.Assert(t, d.Expire(start.Add(time.Second)), qt.HasLen, 0)
	expired := d.Expire(start.Add(2 * time.Second))
	qt.Assert(t, expired, qt.HasLen, 1)
	qt.Assert(t, expired[0].ID, qt.Equals, "a")
	_, ok := d.Lookup("b")
	qt.Assert(t, ok, qt.IsTrue)
}

// Guards against servers of another service, and ended ones, among those of a service.
func TestEntriesOf(t *testing.T) {
	d := New(time.Second)
	other := announcement("c", "10.0.0.1:3", 10, 1)
	other.Service = "other"
	for _, s := range []Server{announcement("a", "10.0.0.1:1", 10, 1), announcement("b", "10.0.0.1:2", 10, 1), other, {ID: "b", State: Gone}} {
		d.Apply(s, start)
	}
	entries := d.EntriesOf("pool")
	qt.Assert(t, entries, qt.HasLen, 1)
	qt.Assert(t, entries[0], qt.Equals, Entry{announcement("a", "10.0.0.1:1", 10, 1), start})
}

// Guards against restored entries that stay valid for longer than announced, and against ended
// servers that become available again.
func TestRestore(t *testing.T) {
	d := New(time.Second)
	d.Apply(announcement("a", "10.0.0.1:1", 10, 1), start)
	d.Apply(announcement("b", "10.0.0.1:2", 10, 1), start)
	d.Apply(Server{ID: "b", State: Gone}, start)
	entries := d.Entries()
	qt.Assert(t, entries, qt.HasLen, 2)
	restored := New(time.Second)
	restored.Restore(entries, start.Add(500*time.Millisecond))
	s, ok := restored.Lookup("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s, qt.Equals, announcement("a", "10.0.0.1:1", 10, 1))
	s, _ = restored.Lookup("b")
	qt.Assert(t, s.State, qt.Equals, Gone)
	qt.Assert(t, restored.Expire(start.Add(1500*time.Millisecond)), qt.HasLen, 1)
	restoredLate := New(time.Second)
	restoredLate.Restore(entries, start.Add(2*time.Second))
	restoredLate.Restore(entries, start.Add(-time.Second))
	_, ok = restoredLate.Lookup("a")
	qt.Assert(t, ok, qt.IsFalse)
	s, _ = restoredLate.Lookup("b")
	qt.Assert(t, s.State, qt.Equals, Gone)
}

// Guards against a server that gets work after it was acknowledged as leaving or ended, because the time of day jumped
// between the write of the stored entries and their restoration: other instances may restore it as ready.
func TestEndsAreRestoredAfterClockSteps(t *testing.T) {
	stored := New(6 * time.Second)
	for id, state := range map[string]State{"gone": Gone, "leaving": Leaving, "ready": Ready} {
		s := announcement(id, "10.0.0.1:"+map[State]string{Gone: "1", Leaving: "2", Ready: "3"}[state], 10, 2)
		s.State = state
		stored.Apply(s, start)
	}
	for _, step := range []time.Duration{-time.Minute, -time.Second, time.Second, 10 * time.Second, time.Minute} {
		restored := New(6 * time.Second)
		now := start.Add(step)
		restored.Restore(stored.Entries(), now)
		for _, id := range []string{"gone", "leaving"} {
			s, ok := restored.Lookup(id)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s after a step of %s", id, step))
			qt.Assert(t, s.State != Ready, qt.IsTrue)
			effect, _ := restored.Apply(announcement(id, s.Address, 10, 1), now)
			qt.Assert(t, effect, qt.Equals, Stale)
		}
		_, ok := restored.Lookup("ready")
		qt.Assert(t, ok, qt.Equals, step == time.Second)
		// An entry of unknown age ends like one that has just arrived.
		restored.Expire(now.Add(5 * time.Second))
		_, ok = restored.Lookup("leaving")
		qt.Assert(t, ok, qt.IsTrue)
		restored.Expire(now.Add(tombstoneTTL + time.Second))
		qt.Assert(t, restored.Servers(), qt.HasLen, 0)
	}
	forgotten := New(6 * time.Second)
	forgotten.Restore(stored.Entries(), start.Add(tombstoneTTL+time.Second))
	forgotten.Restore(stored.Entries(), start.Add(-tombstoneTTL-time.Second))
	qt.Assert(t, forgotten.Servers(), qt.HasLen, 0)
}
