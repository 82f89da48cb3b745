// Package streamrecord keeps stream records: the copy at the owner and the copy at a
// second entry instance, the holder, from which another instance can continue
// the stream.
package streamrecord

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
// tokenOverhead those of a token besides its text: 4,000 tokens of 6 bytes took
// 135 KiB of heap.
const (
	recordOverhead = 512
	tokenOverhead  = 28
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
	Position int
	Tokens   []string
	// Engine is empty when it is the same as before.
	Engine       Engine
	Finished     bool
	FinishReason string
}

// mark is a term that is known from a time on.
type mark struct {
	term Term
	at   time.Time
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
	// fences holds the newest known terms of streams without a record.
	fences map[string]mark
	// claims holds the instances that were first to open a stream.
	claims map[string]mark
	// finished lists finished streams, the oldest first.
	finished []string
}

// NewStore returns an empty store of the instance self.
func NewStore(self string, limit int64) *Store {
	return &Store{
		self: self, limit: limit, records: map[string]*entry{},
		fences: map[string]mark{}, claims: map[string]mark{},
	}
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

// size returns the size of a known record.
func (s *Store) size(stream string) int64 { return s.records[stream].size }

// Open stores a whole record. It replaces a record of the same or an older
// term, unless the stored one of the same term only goes on further: batches
// of two connections may cross.
func (s *Store) Open(r Record, now time.Time) Reason {
	old := s.records[r.Stream]
	if old != nil && r.Term.Before(old.Term) || r.Term.Before(s.fences[r.Stream].term) {
		return StaleEpoch
	}
	if old != nil && r.Term == old.Written && old.continues(r) {
		old.updated = now
		return Accepted
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
	delete(s.fences, r.Stream)
	s.records[r.Stream] = e
	s.bytes += e.size
	if r.Finished {
		s.finished = append(s.finished, r.Stream)
	}
	return Accepted
}

// continues reports whether e has all of r and more.
func (e *entry) continues(r Record) bool {
	n := len(r.Tokens)
	return n <= len(e.Tokens) && slices.Equal(e.Tokens[:n], r.Tokens) &&
		(e.Finished || n < len(e.Tokens) && !r.Finished)
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
	if a.Engine != (Engine{}) {
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
	case a.Term.Before(e.Term):
		return StaleEpoch
	case a.Term != e.Written:
		// The new owner has not sent its record yet.
		return UnknownStream
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

// Copy tells what a store has of a stream that is to be taken over.
type Copy string

// Kinds of copies.
const (
	// NoCopy also stands for a copy of another organisation.
	NoCopy Copy = "none"
	// TooShort is a copy with fewer tokens than the caller has.
	TooShort Copy = "too_short"
	// Usable is a copy from which the stream can continue.
	Usable Copy = "usable"
	// Newer tells that the store knows a newer term than the one that takes over.
	Newer Copy = "newer"
)

// Find returns the newest known epoch of a stream and what the store has of it.
func (s *Store) Find(stream, organisation string, atLeast int) (epoch uint64, kind Copy) {
	e, ok := s.records[stream]
	switch {
	case !ok:
		return s.fences[stream].term.Epoch, NoCopy
	case e.Organisation != organisation:
		return 0, NoCopy
	case len(e.Tokens) < atLeast:
		return e.Term.Epoch, TooShort
	}
	return e.Term.Epoch, Usable
}

// TakeOver makes the store refuse terms older than term and returns its copy.
// Unlike an increment, it has no effect when it arrives late or again.
func (s *Store) TakeOver(stream, organisation string, term Term, atLeast int, now time.Time) (Record, Copy) {
	e, ok := s.records[stream]
	if !ok {
		known := s.fences[stream].term
		if term.Before(known) {
			return Record{Term: known}, Newer
		}
		s.fences[stream] = mark{term: term, at: now}
		return Record{Term: term}, NoCopy
	}
	switch {
	case e.Organisation != organisation:
		return Record{}, NoCopy
	case term.Before(e.Term):
		return Record{Term: e.Term}, Newer
	}
	e.Term, e.updated = term, now
	if len(e.Tokens) < atLeast {
		return Record{Term: term}, TooShort
	}
	r := e.Record
	r.Tokens = slices.Clip(r.Tokens)
	return r, Usable
}

// Claim returns the instance that was first to open a stream. The claim of
// insteadOf is replaced.
func (s *Store) Claim(stream, claimant, insteadOf string, now time.Time) string {
	c, ok := s.claims[stream]
	if !ok || c.term.Owner == insteadOf || now.Sub(c.at) >= IdleKept {
		c = mark{term: Term{Owner: claimant}, at: now}
		s.claims[stream] = c
	}
	return c.term.Owner
}

// Drop removes a record if it is of the given term.
func (s *Store) Drop(stream string, term Term) {
	if e, ok := s.records[stream]; ok && e.Term == term {
		s.remove(stream)
	}
}

// Expire removes finished records after FinishedKept, and after IdleKept the
// copies of running streams without an append. Streams for which running
// returns true are kept: this instance runs them.
func (s *Store) Expire(now time.Time, running func(stream string) bool) {
	for stream, e := range s.records {
		age := now.Sub(e.updated)
		if e.Finished && age >= FinishedKept || !e.Finished && age >= IdleKept && !running(stream) {
			s.remove(stream)
		}
	}
	for _, marks := range []map[string]mark{s.fences, s.claims} {
		for stream, m := range marks {
			if now.Sub(m.at) >= IdleKept {
				delete(marks, stream)
			}
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
