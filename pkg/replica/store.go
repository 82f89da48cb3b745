// Package replica keeps stream records: the copy at the owner and the copy at a
// second entry instance, the holder, from which another instance can continue
// the stream.
package replica

import (
	"slices"
	"time"
)

// Limits of the time that a record is kept.
const (
	// FinishedKept is how long a finished record is kept.
	FinishedKept = 120 * time.Second
	// IdleKept is how long the copy of a running stream is kept without an
	// append. Owners append at least every RefreshEvery.
	IdleKept = 180 * time.Second
	// RefreshEvery is the longest time between two appends of a running stream.
	RefreshEvery = 60 * time.Second
)

// Reason tells why the store refused a change; empty means that it was made.
type Reason string

// Reasons.
const (
	Accepted Reason = ""
	// StaleEpoch tells that another instance took the stream over.
	StaleEpoch Reason = "stale_epoch"
	// Gap tells that tokens before the appended ones are missing.
	Gap Reason = "gap"
	// UnknownStream tells that the store has no such record.
	UnknownStream Reason = "unknown_stream"
	// Full tells that the byte limit leaves no room.
	Full Reason = "full"
	// Conflict tells that an append carries other tokens at positions that are
	// taken, or goes on after the end.
	Conflict Reason = "conflict"
)

// Term is one period of ownership. Terms are ordered by epoch, then by owner:
// two instances that take a stream over at different copies can reach the same
// epoch, and the order makes exactly one of them the owner.
type Term struct {
	Epoch uint64
	Owner string
}

// Before reports whether t is older than u.
func (t Term) Before(u Term) bool {
	return t.Epoch < u.Epoch || t.Epoch == u.Epoch && t.Owner < u.Owner
}

// Engine says where a stream is generated.
type Engine struct {
	Address string
	Stream  string
	Attempt uint32
}

// Record is the state of one stream.
type Record struct {
	Stream       string
	Organisation string
	// Term is the newest known term; appends of older ones are refused.
	Term Term
	// Written is the term under which the content was last written. A takeover
	// raises Term and leaves Written, so that of two copies the one with the
	// newer content is known.
	Written Term
	// Request is the JSON encoding of the caller's request.
	Request      []byte
	Tokens       []string
	Engine       Engine
	Finished     bool
	FinishReason string
}

// recordOverhead approximates the bytes of a record besides its content, and
// tokenOverhead those of a token besides its text.
const (
	recordOverhead = 512
	tokenOverhead  = 16
)

func tokenBytes(tokens []string) int64 {
	var n int64
	for _, t := range tokens {
		n += int64(len(t)) + tokenOverhead
	}
	return n
}

func (r *Record) bytes() int64 {
	return recordOverhead + int64(len(r.Stream)+len(r.Organisation)+len(r.Request)) + tokenBytes(r.Tokens)
}

// Append adds tokens to a record, or its end.
type Append struct {
	Stream string
	Term   Term
	// Position is that of the first of Tokens.
	Position     int
	Tokens       []string
	Engine       Engine
	Finished     bool
	FinishReason string
}

type entry struct {
	Record
	size    int64
	updated time.Time
}

// Store keeps the records of one instance within a byte limit. It is pure and
// not safe for use by several goroutines.
type Store struct {
	self  string
	limit int64
	bytes int64

	records map[string]*entry
	// finished lists finished streams, the oldest first.
	finished []string
}

// NewStore returns an empty store of the instance self.
func NewStore(self string, limit int64) *Store {
	return &Store{self: self, limit: limit, records: map[string]*entry{}}
}

// Len and Bytes return the number and the size of the records.
func (s *Store) Len() int { return len(s.records) }

// Bytes returns the approximate size of the records.
func (s *Store) Bytes() int64 { return s.bytes }

// Get returns a record; its slices must not be changed.
func (s *Store) Get(stream string) (*Record, bool) {
	e, ok := s.records[stream]
	if !ok {
		return nil, false
	}
	return &e.Record, true
}

// Open stores a whole record. It replaces a record of the same or an older
// term, except by a shorter one of the same term.
func (s *Store) Open(r Record, now time.Time) Reason {
	old := s.records[r.Stream]
	if old != nil {
		if r.Term.Before(old.Term) {
			return StaleEpoch
		}
		if r.Term == old.Term && (len(r.Tokens) < len(old.Tokens) || old.Finished) {
			old.updated = now
			return Accepted
		}
	}
	var before int64
	if old != nil {
		before = old.size
	}
	r.Written = r.Term
	e := &entry{Record: r, updated: now}
	e.size = e.bytes()
	if !s.reserve(e.size-before, r.Stream, r.Term.Owner) {
		return Full
	}
	s.remove(r.Stream)
	s.records[r.Stream] = e
	s.bytes += e.size
	if r.Finished {
		s.finished = append(s.finished, r.Stream)
	}
	return Accepted
}

// Append adds to a record. Tokens at positions that are already taken are
// accepted when they are equal, so a batch may be sent again.
func (s *Store) Append(a Append, now time.Time) Reason {
	e, ok := s.records[a.Stream]
	if !ok {
		return UnknownStream
	}
	if reason := e.admits(a); reason != Accepted {
		return reason
	}
	fresh := a.Tokens[min(len(e.Tokens)-a.Position, len(a.Tokens)):]
	size := tokenBytes(fresh)
	if !s.reserve(size, a.Stream, a.Term.Owner) {
		return Full
	}
	e.Tokens = append(e.Tokens, fresh...)
	e.size += size
	s.bytes += size
	if a.Engine.Attempt >= e.Engine.Attempt {
		e.Engine = a.Engine
	}
	e.updated, e.Written = now, a.Term
	if a.Finished && !e.Finished {
		e.Finished, e.FinishReason = true, a.FinishReason
		s.finished = append(s.finished, a.Stream)
	}
	return Accepted
}

// admits checks an append against the record.
func (e *entry) admits(a Append) Reason {
	switch {
	case a.Term != e.Term:
		if e.Term.Before(a.Term) {
			// The new owner has not sent its record yet.
			return UnknownStream
		}
		return StaleEpoch
	case a.Position < 0 || a.Position > len(e.Tokens):
		return Gap
	}
	taken := min(len(e.Tokens)-a.Position, len(a.Tokens))
	if !slices.Equal(e.Tokens[a.Position:a.Position+taken], a.Tokens[:taken]) {
		return Conflict
	}
	if e.Finished && taken < len(a.Tokens) {
		return Conflict
	}
	return Accepted
}

// TakeOver makes newOwner the owner of a stream under a higher epoch and
// returns the record. It reports false for unknown streams and for those of
// another organisation.
func (s *Store) TakeOver(stream, organisation, newOwner string, now time.Time) (Record, bool) {
	e, ok := s.records[stream]
	if !ok || e.Organisation != organisation {
		return Record{}, false
	}
	e.Term = Term{Epoch: e.Term.Epoch + 1, Owner: newOwner}
	e.updated = now
	r := e.Record
	r.Tokens = slices.Clip(r.Tokens)
	return r, true
}

// Drop removes a record if it is of the given term.
func (s *Store) Drop(stream string, term Term) {
	if e, ok := s.records[stream]; ok && e.Term == term {
		s.remove(stream)
	}
}

// Expire removes finished records after FinishedKept and copies of running
// streams that got no append for IdleKept.
func (s *Store) Expire(now time.Time) {
	for stream, e := range s.records {
		kept := IdleKept
		if e.Finished {
			kept = FinishedKept
		}
		if (e.Finished || e.Term.Owner != s.self) && now.Sub(e.updated) >= kept {
			s.remove(stream)
		}
	}
}

// reserve makes room by removing finished records, the oldest first. The
// running streams of this instance go on above the limit: new ones are refused.
func (s *Store) reserve(size int64, stream, owner string) bool {
	for s.bytes+size > s.limit && len(s.finished) > 0 {
		oldest := s.finished[0]
		if oldest == stream {
			break
		}
		s.remove(oldest)
	}
	_, known := s.records[stream]
	return size <= 0 || s.bytes+size <= s.limit || known && owner == s.self
}

func (s *Store) remove(stream string) {
	e, ok := s.records[stream]
	if !ok {
		return
	}
	s.bytes -= e.size
	delete(s.records, stream)
	if e.Finished {
		if i := slices.Index(s.finished, stream); i >= 0 {
			s.finished = slices.Delete(s.finished, i, i+1)
		}
	}
}
