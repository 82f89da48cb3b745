// Package directory stores the announcements of backend servers. It does no I/O: the time is
// passed in. Announcements are soft state that reaches an instance over several paths and may be
// delayed, repeated or out of order.
package directory

import "time"

// State is the state that a backend server announces.
type State uint8

// States of a backend server.
const (
	// Ready servers accept work.
	Ready State = iota
	// Leaving servers finish their work and accept no more.
	Leaving
	// Gone servers have ended. The state is final until the server starts again.
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
	// Address is an IP address and a port.
	Address    string
	DataCentre string
	// StartedMS is the start time of the server's process in Unix milliseconds. Of two
	// announcements with the same ID or the same address, the one with the later start replaces
	// the other.
	StartedMS int64
	// Sequence orders the announcements of one process.
	Sequence uint64
	State    State
	// Slots is the number of requests that the server runs concurrently, or 0 if unknown.
	Slots int
	// WarmingMS is the rest of the warm-up at the time of the announcement, during which the
	// server is slow, in milliseconds.
	WarmingMS int
	// Version is the version of the software of the server, empty if unknown.
	Version string
}

// Effect is the result of applying an announcement.
type Effect uint8

// Effects of an announcement.
const (
	// Stale announcements are older than the stored state and change nothing.
	Stale Effect = iota
	// Renewed announcements extend the lifetime of the entry and may change its data centre, its
	// slots or its warm-up time.
	Renewed
	// Changed announcements add a server, or change its address, its service, its version, its start
	// or whether it accepts work.
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

// tombstoneTTL is how long the entry of an ended server is kept. It exceeds the time by which a
// partition can delay an announcement.
const tombstoneTTL = 2 * time.Minute

type entry struct {
	Server
	receivedAt time.Time
}

// Directory holds the newest announcement of each backend server. It is not safe for concurrent
// use.
type Directory struct {
	// ttl is how long an entry is valid without a renewal.
	ttl          time.Duration
	entries      map[string]*entry
	idsByAddress map[string]string
}

// New returns an empty directory whose entries are valid for ttl without a renewal.
func New(ttl time.Duration) *Directory {
	return &Directory{ttl: ttl, entries: map[string]*entry{}, idsByAddress: map[string]string{}}
}

// Apply applies an announcement that was received at now. It also returns the server that is
// considered ended because another one started at its address.
func (d *Directory) Apply(s Server, now time.Time) (effect Effect, displaced *Server) {
	current := d.entries[s.ID]
	if current != nil && d.reconcile(current, &s) {
		return Stale, nil
	}
	if s.State != Gone {
		var accepted bool
		if displaced, accepted = d.claimAddress(s); !accepted {
			return Stale, nil
		}
	}
	if current == nil {
		d.entries[s.ID] = &entry{Server: s, receivedAt: now}
		return Changed, displaced
	}
	effect = Renewed
	if current.StartedMS != s.StartedMS || current.State != s.State || current.Address != s.Address || current.Service != s.Service ||
		current.Version != s.Version {
		effect = Changed
	}
	if current.Address != s.Address && d.idsByAddress[current.Address] == s.ID {
		delete(d.idsByAddress, current.Address)
	}
	current.Server, current.receivedAt = s, now
	return effect, displaced
}

// reconcile compares an announcement with the stored entry and reports whether it is stale. A
// Gone announcement without a start time applies to the stored process: reconcile fills in its
// missing fields from the entry.
func (d *Directory) reconcile(current *entry, s *Server) bool {
	if s.State == Gone && (s.StartedMS == 0 || s.StartedMS == current.StartedMS) {
		if current.State == Gone {
			return true
		}
		sequence := max(s.Sequence, current.Sequence)
		*s = current.Server
		s.State, s.Sequence = Gone, sequence
		return false
	}
	if s.StartedMS != current.StartedMS {
		return s.StartedMS < current.StartedMS
	}
	return current.State == Gone || s.Sequence <= current.Sequence
}

// claimAddress assigns the address to a server and returns the server that had it before, if that
// one had not ended yet. It reports false if the address belongs to a server that started later.
func (d *Directory) claimAddress(s Server) (displaced *Server, accepted bool) {
	ownerID, claimed := d.idsByAddress[s.Address]
	if claimed && ownerID != s.ID {
		owner := d.entries[ownerID]
		if owner.StartedMS > s.StartedMS {
			return nil, false
		}
		if owner.State != Gone {
			owner.State = Gone
			displaced = &Server{}
			*displaced = owner.Server
		}
	}
	d.idsByAddress[s.Address] = s.ID
	return displaced, true
}

// Expire removes entries that were not renewed in time and expired tombstones. It returns the
// removed servers that had not ended.
func (d *Directory) Expire(now time.Time) []Server {
	var expired []Server
	for id, e := range d.entries {
		ttl := d.ttl
		if e.State == Gone {
			ttl = max(tombstoneTTL, d.ttl)
		}
		if now.Sub(e.receivedAt) <= ttl {
			continue
		}
		if d.idsByAddress[e.Address] == id {
			delete(d.idsByAddress, e.Address)
		}
		delete(d.entries, id)
		if e.State != Gone {
			expired = append(expired, e.Server)
		}
	}
	return expired
}

// Lookup returns the newest announcement of a server.
func (d *Directory) Lookup(id string) (Server, bool) {
	e, ok := d.entries[id]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// Entry is an announcement and the time at which it was received.
type Entry struct {
	Server     Server    `json:"server"`
	ReceivedAt time.Time `json:"heard"`
}

// Entries returns all announcements with their times, including those of ended servers.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.entries))
	for _, e := range d.entries {
		entries = append(entries, Entry{e.Server, e.receivedAt})
	}
	return entries
}

// EntriesOf returns the announcements of the servers of a service that have not ended, with their times.
func (d *Directory) EntriesOf(service string) (entries []Entry) {
	for _, e := range d.entries {
		if e.Service == service && e.State != Gone {
			entries = append(entries, Entry{e.Server, e.receivedAt})
		}
	}
	return entries
}

// Restore applies announcements that another process received, except those that are invalid or expired. The time of day may
// have jumped since, so that their age is not certain: ready servers are restored only if it is plausible at now, leaving and
// ended ones within tombstoneTTL in either direction, as nobody may announce these states again.
func (d *Directory) Restore(entries []Entry, now time.Time) {
	for _, e := range entries {
		age, receivedAt := now.Sub(e.ReceivedAt), e.ReceivedAt
		oldest, newest := d.ttl, time.Duration(0)
		if e.Server.State != Ready {
			oldest, newest, receivedAt = tombstoneTTL, -tombstoneTTL, now
		}
		if age >= newest && age <= oldest && e.Server.Validate(now) == nil {
			d.Apply(e.Server, receivedAt)
		}
	}
}

// Servers returns the newest announcements of all servers, including ended ones, in no particular
// order.
func (d *Directory) Servers() []Server {
	all := make([]Server, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.Server)
	}
	return all
}
