// Package directory keeps what backend servers announce about themselves. It is
// pure: the time is an argument. Announcements are soft state that reaches an
// instance over several paths, late, repeated and out of order.
package directory

import "time"

// State is the state that a backend server announces.
type State uint8

// States of a backend server.
const (
	// Ready servers take work.
	Ready State = iota
	// Leaving servers finish their work and take no more.
	Leaving
	// Gone servers do not exist any more; the state is final for one start.
	Gone
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Server is one announcement of a backend server.
type Server struct {
	ID      string
	Service string
	// Address is an IP and a port.
	Address    string
	DataCentre string
	// StartedMS is the start of the server's process in Unix milliseconds. A
	// later start replaces an earlier one, under one ID or at one address.
	StartedMS int64
	// Sequence orders the announcements of one start.
	Sequence uint64
	State    State
	// Slots is the number of requests that the server runs at once; 0 if unknown.
	Slots int
	// WarmingMS is how long the server stays slow after its start, in milliseconds.
	WarmingMS int
}

// Effect tells what an announcement changed.
type Effect uint8

// Effects of an announcement.
const (
	// Stale announcements are older than what is known and changed nothing.
	Stale Effect = iota
	// Renewed announcements only extend the life of the entry.
	Renewed
	// Changed announcements add a server or change where or whether it takes work.
	Changed
)

// String returns the name of the effect for metrics.
func (e Effect) String() string {
	switch e {
	case Stale:
		return "stale"
	case Renewed:
		return "renewed"
	case Changed:
		return "changed"
	}
	return "unknown"
}

// tombstoneLife is how long the end of a server is remembered. It exceeds the
// time that an announcement can be delayed by a partition.
const tombstoneLife = 2 * time.Minute

type entry struct {
	Server
	heard time.Time
}

// Directory holds the newest announcement of each backend server. It is not
// safe for concurrent use.
type Directory struct {
	// life is how long a server counts without a renewal.
	life      time.Duration
	entries   map[string]*entry
	byAddress map[string]string
}

// New returns an empty directory; life is how long an entry counts without a renewal.
func New(life time.Duration) *Directory {
	return &Directory{life: life, entries: map[string]*entry{}, byAddress: map[string]string{}}
}

// Apply takes an announcement that was heard at now. It also returns the server
// that ended because another one started at its address.
func (d *Directory) Apply(s Server, now time.Time) (effect Effect, displaced *Server) {
	old := d.entries[s.ID]
	if old != nil && d.stale(old, &s) {
		return Stale, nil
	}
	if s.State != Gone {
		var claimed bool
		if displaced, claimed = d.claimAddress(s); !claimed {
			return Stale, nil
		}
	}
	if old == nil {
		d.entries[s.ID] = &entry{Server: s, heard: now}
		return Changed, displaced
	}
	effect = Renewed
	if old.StartedMS != s.StartedMS || old.State != s.State || old.Address != s.Address || old.Service != s.Service {
		effect = Changed
	}
	if old.Address != s.Address && d.byAddress[old.Address] == s.ID {
		delete(d.byAddress, old.Address)
	}
	old.Server, old.heard = s, now
	return effect, displaced
}

// stale tells whether an announcement is older than the entry. One without a
// start, which only ends a server, belongs to the known start and gets its fields.
func (d *Directory) stale(old *entry, s *Server) bool {
	if s.State == Gone && (s.StartedMS == 0 || s.StartedMS == old.StartedMS) {
		if old.State == Gone {
			return true
		}
		sequence := max(s.Sequence, old.Sequence)
		*s = old.Server
		s.State, s.Sequence = Gone, sequence
		return false
	}
	if s.StartedMS != old.StartedMS {
		return s.StartedMS < old.StartedMS
	}
	return old.State == Gone || s.Sequence <= old.Sequence
}

// claimAddress makes a server the owner of its address and returns the one that
// had it. It is false if a server that started later has it.
func (d *Directory) claimAddress(s Server) (displaced *Server, ok bool) {
	owner, known := d.byAddress[s.Address]
	if known && owner != s.ID {
		other := d.entries[owner]
		if other.StartedMS > s.StartedMS {
			return nil, false
		}
		if other.State != Gone {
			other.State = Gone
			displaced = &Server{}
			*displaced = other.Server
		}
	}
	d.byAddress[s.Address] = s.ID
	return displaced, true
}

// Expire removes entries that were not renewed in time, and returns the servers
// that stopped counting.
func (d *Directory) Expire(now time.Time) []Server {
	var lapsed []Server
	for id, e := range d.entries {
		limit := d.life
		if e.State == Gone {
			limit = max(tombstoneLife, d.life)
		}
		if now.Sub(e.heard) <= limit {
			continue
		}
		if d.byAddress[e.Address] == id {
			delete(d.byAddress, e.Address)
		}
		delete(d.entries, id)
		if e.State != Gone {
			lapsed = append(lapsed, e.Server)
		}
	}
	return lapsed
}

// Lookup returns the newest announcement of a server.
func (d *Directory) Lookup(id string) (Server, bool) {
	e, ok := d.entries[id]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// Entry is an announcement and when it was heard.
type Entry struct {
	Server Server    `json:"server"`
	Heard  time.Time `json:"heard"`
}

// Entries returns all announcements, those of ended servers included.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.entries))
	for _, e := range d.entries {
		entries = append(entries, Entry{e.Server, e.heard})
	}
	return entries
}

// Restore takes announcements that another process heard, as far as they count at now.
func (d *Directory) Restore(entries []Entry, now time.Time) {
	for _, e := range entries {
		if age := now.Sub(e.Heard); age >= 0 && age <= d.life {
			d.Apply(e.Server, e.Heard)
		}
	}
}

// All returns all entries, ended servers included, in no order.
func (d *Directory) All() []Server {
	all := make([]Server, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.Server)
	}
	return all
}
