// Package streamrecord stores and replicates stream records. Each record is kept by
// the owner of the stream and by a second entry instance, the holder, so that
// another instance can continue the stream.
package streamrecord

import (
	"slices"
	"time"
)

// Retention times of records.
const (
	// FinishedRetention is how long a finished record is kept.
	FinishedRetention = 120 * time.Second
	// IdleRetention is how long the copy of a running stream is kept without an
	// append. Owners append at least every RefreshInterval. Claims and the terms of
	// streams without a record are kept as long.
	IdleRetention = 180 * time.Second
	// RefreshInterval is the longest time between two appends of a running stream.
	RefreshInterval = 60 * time.Second
)

// Reason is the result of a change to the store: Accepted, which is empty, or the
// reason for the refusal.
type Reason string

// Reasons.
const (
	Accepted Reason = ""
	// StaleEpoch means that another instance took the stream over.
	StaleEpoch Reason = "stale_epoch"
	// Gap means that tokens before the appended ones are missing.
	Gap Reason = "gap"
	// UnknownStream means that the store has no record of the stream under the
	// term of the append.
	UnknownStream Reason = "unknown_stream"
	// Full means that the byte limit leaves no room.
	Full Reason = "full"
	// Conflict means that an append has different tokens at positions that are
	// already stored, or tokens after the end of the stream.
	Conflict Reason = "conflict"
)

// Term is one period of ownership. Terms are ordered by epoch, then by owner: two
// instances that take a stream over from different copies can choose the same
// epoch, and the order makes exactly one of them the owner.
type Term struct {
	Epoch uint64
	Owner string
}

// Before reports whether t is older than u.
func (t Term) Before(u Term) bool {
	return t.Epoch < u.Epoch || t.Epoch == u.Epoch && t.Owner < u.Owner
}

// EngineLocation identifies the engine stream of the current attempt.
type EngineLocation struct {
	Address  string
	StreamID string
	Attempt  uint32
}

// Record is the state of one stream.
type Record struct {
	StreamID     string
	Organisation string
	// Term is the newest term seen; appends of older terms are refused.
	Term Term
	// ContentTerm is the term under which the content was last written. A
	// takeover raises Term but not ContentTerm, which therefore shows which of
	// two copies has the newer content.
	ContentTerm Term
	// Request is the JSON encoding of the caller's request.
	Request      []byte
	Tokens       []string
	Engine       EngineLocation
	Finished     bool
	FinishReason string
}

// recordOverheadBytes and tokenOverheadBytes approximate the bytes of memory per record and
// per token in addition to their content: 4,000 tokens of 6 bytes took 135 KiB of
// heap.
const (
	recordOverheadBytes = 512
	tokenOverheadBytes  = 28
)

func tokenBytes(tokens []string) int64 {
	var n int64
	for _, t := range tokens {
		n += int64(len(t)) + tokenOverheadBytes
	}
	return n
}

// bytes returns the approximate size of the record in memory.
func (r *Record) bytes() int64 {
	return recordOverheadBytes + int64(len(r.StreamID)+len(r.Organisation)+len(r.Request)) + tokenBytes(r.Tokens)
}

// Append is a change that adds tokens, an engine or the end to a record.
type Append struct {
	StreamID string
	Term     Term
	// Position is the position of Tokens[0] in the stream.
	Position int
	Tokens   []string
	// Engine is empty if it has not changed.
	Engine       EngineLocation
	Finished     bool
	FinishReason string
}

// timedTerm is a term and the time at which the store learned of it.
type timedTerm struct {
	term  Term
	since time.Time
}

// entry is a stored record with its size and the time of its last change.
type entry struct {
	Record
	size      int64
	updatedAt time.Time
}

// Store holds the records of one instance within a byte limit. It does no I/O, reads
// no clock and is not safe for concurrent use.
type Store struct {
	self     string
	maxBytes int64
	bytes    int64

	records map[string]*entry
	// fencedTerms holds the newest terms seen of streams without a record.
	fencedTerms map[string]timedTerm
	// claims holds, as the owner of a term without an epoch, the instance whose
	// claim to open a stream was granted.
	claims map[string]timedTerm
	// finishedStreams lists the finished streams, the oldest first.
	finishedStreams []string
}

// NewStore returns an empty store for the instance self.
func NewStore(self string, maxBytes int64) *Store {
	return &Store{
		self: self, maxBytes: maxBytes, records: map[string]*entry{},
		fencedTerms: map[string]timedTerm{}, claims: map[string]timedTerm{},
	}
}

// Len returns the number of records.
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

// recordSize returns the size of a record, which must exist.
func (s *Store) recordSize(stream string) int64 { return s.records[stream].size }

// Open stores a whole record. It replaces a record of the same or an older term. A
// stored record of the same term that extends r is kept, because batches of two
// connections can arrive out of order.
func (s *Store) Open(r Record, now time.Time) Reason {
	stored := s.records[r.StreamID]
	if stored != nil && r.Term.Before(stored.Term) || r.Term.Before(s.fencedTerms[r.StreamID].term) {
		return StaleEpoch
	}
	if stored != nil && r.Term == stored.ContentTerm && stored.extends(r) {
		stored.updatedAt = now
		return Accepted
	}
	var storedSize int64
	if stored != nil {
		storedSize = stored.size
	}
	r.ContentTerm = r.Term
	e := &entry{Record: r, updatedAt: now}
	e.size = e.bytes()
	if !s.reserve(e.size-storedSize, r.StreamID, r.Term.Owner) {
		return Full
	}
	s.remove(r.StreamID)
	delete(s.fencedTerms, r.StreamID)
	s.records[r.StreamID] = e
	s.bytes += e.size
	if r.Finished {
		s.finishedStreams = append(s.finishedStreams, r.StreamID)
	}
	return Accepted
}

// extends reports whether e has the content of r and more.
func (e *entry) extends(r Record) bool {
	n := len(r.Tokens)
	return n <= len(e.Tokens) && slices.Equal(e.Tokens[:n], r.Tokens) &&
		(e.Finished || n < len(e.Tokens) && !r.Finished)
}

// Append applies an append to its record. Tokens that are already stored are
// accepted if they are equal, so a batch may be sent again.
func (s *Store) Append(a Append, now time.Time) Reason {
	e, ok := s.records[a.StreamID]
	if !ok {
		return UnknownStream
	}
	if reason := e.checkAppend(a); reason != Accepted {
		return reason
	}
	newTokens := a.Tokens[min(len(e.Tokens)-a.Position, len(a.Tokens)):]
	size := tokenBytes(newTokens)
	if !s.reserve(size, a.StreamID, a.Term.Owner) {
		return Full
	}
	e.Tokens = append(e.Tokens, newTokens...)
	e.size += size
	s.bytes += size
	if a.Engine != (EngineLocation{}) {
		e.Engine = a.Engine
	}
	e.updatedAt, e.ContentTerm = now, a.Term
	if a.Finished && !e.Finished {
		e.Finished, e.FinishReason = true, a.FinishReason
		s.finishedStreams = append(s.finishedStreams, a.StreamID)
	}
	return Accepted
}

// checkAppend returns the reason to refuse the append, or Accepted.
func (e *entry) checkAppend(a Append) Reason {
	switch {
	case a.Term.Before(e.Term):
		return StaleEpoch
	case a.Term != e.ContentTerm:
		// The record is still that of an earlier term: the new owner has not sent its own yet.
		return UnknownStream
	case a.Position < 0 || a.Position > len(e.Tokens):
		return Gap
	}
	overlap := min(len(e.Tokens)-a.Position, len(a.Tokens))
	if !slices.Equal(e.Tokens[a.Position:a.Position+overlap], a.Tokens[:overlap]) {
		return Conflict
	}
	if e.Finished && overlap < len(a.Tokens) {
		return Conflict
	}
	return Accepted
}

// CopyStatus states whether the copy that a store has of a stream can be used for a
// takeover.
type CopyStatus string

// Copy statuses.
const (
	// NoCopy means that there is no copy, or one of another organisation.
	NoCopy CopyStatus = "none"
	// TooShort is a copy with fewer tokens than the caller has.
	TooShort CopyStatus = "too_short"
	// Usable is a copy from which the stream can continue.
	Usable CopyStatus = "usable"
	// Newer means that the store has seen a newer term than that of the takeover.
	Newer CopyStatus = "newer"
)

// Find returns the newest epoch seen of a stream and the status of its copy.
func (s *Store) Find(stream, organisation string, atLeast int) (epoch uint64, status CopyStatus) {
	e, ok := s.records[stream]
	switch {
	case !ok:
		return s.fencedTerms[stream].term.Epoch, NoCopy
	case e.Organisation != organisation:
		return 0, NoCopy
	case len(e.Tokens) < atLeast:
		return e.Term.Epoch, TooShort
	}
	return e.Term.Epoch, Usable
}

// TakeOver makes the store refuse terms older than term and returns its copy. If it
// has seen a newer term, it changes nothing and returns that term with the status
// Newer. Since the caller sets the term and the store does not increment it, a
// delayed or repeated call has no further effect.
func (s *Store) TakeOver(stream, organisation string, term Term, atLeast int, now time.Time) (Record, CopyStatus) {
	e, ok := s.records[stream]
	if !ok {
		fence := s.fencedTerms[stream].term
		if term.Before(fence) {
			return Record{Term: fence}, Newer
		}
		s.fencedTerms[stream] = timedTerm{term: term, since: now}
		return Record{Term: term}, NoCopy
	}
	switch {
	case e.Organisation != organisation:
		return Record{}, NoCopy
	case term.Before(e.Term):
		return Record{Term: e.Term}, Newer
	}
	e.Term, e.updatedAt = term, now
	if len(e.Tokens) < atLeast {
		return Record{Term: term}, TooShort
	}
	r := e.Record
	r.Tokens = slices.Clip(r.Tokens)
	return r, Usable
}

// Claim grants the stream to claimant unless another instance has an unexpired
// claim, and returns the instance that has the claim. A claim of staleClaimant is
// replaced.
func (s *Store) Claim(stream, claimant, staleClaimant string, now time.Time) string {
	c, ok := s.claims[stream]
	if !ok || c.term.Owner == staleClaimant || now.Sub(c.since) >= IdleRetention {
		c = timedTerm{term: Term{Owner: claimant}, since: now}
		s.claims[stream] = c
	}
	return c.term.Owner
}

// Drop removes a record if it has the given term.
func (s *Store) Drop(stream string, term Term) {
	if e, ok := s.records[stream]; ok && e.Term == term {
		s.remove(stream)
	}
}

// Expire removes finished records after FinishedRetention, and unfinished records after
// IdleRetention without an append, unless running reports that this instance runs the
// stream.
func (s *Store) Expire(now time.Time, running func(stream string) bool) {
	for stream, e := range s.records {
		age := now.Sub(e.updatedAt)
		if e.Finished && age >= FinishedRetention || !e.Finished && age >= IdleRetention && !running(stream) {
			s.remove(stream)
		}
	}
	for _, terms := range []map[string]timedTerm{s.fencedTerms, s.claims} {
		for stream, t := range terms {
			if now.Sub(t.since) >= IdleRetention {
				delete(terms, stream)
			}
		}
	}
}

// reserve makes room by evicting finished records, the oldest first, and reports
// whether size bytes may be added. Streams that this instance already owns may
// exceed the limit; new records may not.
func (s *Store) reserve(size int64, stream, owner string) bool {
	for s.bytes+size > s.maxBytes && len(s.finishedStreams) > 0 {
		oldest := s.finishedStreams[0]
		if oldest == stream {
			break
		}
		s.remove(oldest)
	}
	_, exists := s.records[stream]
	return size <= 0 || s.bytes+size <= s.maxBytes || exists && owner == s.self
}

func (s *Store) remove(stream string) {
	e, ok := s.records[stream]
	if !ok {
		return
	}
	s.bytes -= e.size
	delete(s.records, stream)
	if e.Finished {
		if i := slices.Index(s.finishedStreams, stream); i >= 0 {
			s.finishedStreams = slices.Delete(s.finishedStreams, i, i+1)
		}
	}
}
