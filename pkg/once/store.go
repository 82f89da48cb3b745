package once

import "slices"

// Ownership states whether an instance decides about the keys of a record.
type Ownership uint8

// Ownership of a record, as seen by one instance.
const (
	// Owned means that this instance decides about the key: it has the record or,
	// for a claim, no record but a copy of the answer.
	Owned Ownership = iota
	// NotOwned means that this instance does not hold the record of the key.
	NotOwned
	// HandingOver means that a hand-over is in progress; the request can be
	// repeated after it.
	HandingOver
	// HandedOver means that the record was handed over to a successor.
	HandedOver
)

// RecordID identifies a record: the instance that minted its keys and the
// incarnation of that instance's record.
type RecordID struct {
	Home        string
	Incarnation uint64
}

func (k Key) recordID() RecordID { return RecordID{k.Home, k.Incarnation} }

// recordEntry is a record with its ownership. After a hand-over record is nil, and
// successor is set unless the record was lost.
type recordEntry struct {
	ownership Ownership
	record    *Record
	successor string
}

// maxIncomingHandOvers bounds the incomplete hand-overs, some of which never complete.
// When it is exceeded, the oldest is dropped and its later parts are refused, so
// its keys become unknown.
const maxIncomingHandOvers = 8

// incomingHandOver is a hand-over whose last part was not received yet.
type incomingHandOver struct {
	recordID      RecordID
	id            uint64
	record        *Record
	receivedParts uint32
}

// Store holds what one instance knows about keys: the record of the keys that it
// minted, the records handed over to it, and copies of answers. It does no I/O
// and reads no clock. A restarted instance has a new Store with a new incarnation.
type Store struct {
	localRecordID RecordID
	limits        Limits
	records       map[RecordID]*recordEntry
	incoming      []*incomingHandOver
	answerCopies  *answerCache
	stopped       bool
}

// NewStore returns the store of an instance that has just started.
func NewStore(localRecordID RecordID, limits Limits) *Store {
	return &Store{
		localRecordID: localRecordID, limits: limits, records: map[RecordID]*recordEntry{localRecordID: {record: NewRecord(limits)}},
		answerCopies: newAnswerCache(limits.MaxAnswerBytes),
	}
}

// Claim decides about a key, or returns the ownership and successor with which
// the caller finds the instance that does. If this instance has no entry for the
// record but a copy of the answer, it replays the copy.
func (s *Store) Claim(nowMS int64, k Key, digest Digest, executor uint64) (Verdict, Ownership, string) {
	entry, exists := s.records[k.recordID()]
	if exists && entry.ownership == Owned {
		return entry.record.Claim(nowMS, k, digest, executor), Owned, ""
	}
	if exists {
		return Verdict{}, entry.ownership, entry.successor
	}
	if stored, found := s.answerCopies.get(k.ID); found {
		if stored.digest != digest {
			return Verdict{Outcome: Mismatch}, Owned, ""
		}
		return Verdict{Outcome: Answered, Answer: stored.answer}, Owned, ""
	}
	return Verdict{}, NotOwned, ""
}

// Finish completes or releases a claim, or returns the ownership and successor
// with which the caller finds the instance that decides about the key.
func (s *Store) Finish(k Key, executor uint64, released bool, a *Answer) (accepted bool, ownership Ownership, successor string) {
	entry, exists := s.records[k.recordID()]
	switch {
	case !exists:
		return false, NotOwned, ""
	case entry.ownership != Owned:
		return false, entry.ownership, entry.successor
	case released:
		return entry.record.Release(k, executor), Owned, ""
	}
	return entry.record.Complete(k, executor, a), Owned, ""
}

// AddAnswerCopy stores a copy of an answer, which is replayed if its record is lost.
func (s *Store) AddAnswerCopy(id ID, digest Digest, a *Answer) { s.answerCopies.put(id, digest, a) }

// BeginHandOver permanently stops all decisions of this instance and returns the
// records to hand over.
func (s *Store) BeginHandOver() map[RecordID]*Record {
	s.stopped = true
	handingOver := map[RecordID]*Record{}
	for id, entry := range s.records {
		if entry.ownership == Owned {
			entry.ownership = HandingOver
			handingOver[id] = entry.record
		}
	}
	return handingOver
}

// EndHandOver records the successor of a record; an empty successor means that the
// record is lost.
func (s *Store) EndHandOver(id RecordID, successor string) {
	entry := s.records[id]
	entry.ownership, entry.successor, entry.record = HandedOver, successor, nil
	if successor == "" {
		entry.ownership = NotOwned
	}
}

// Part is one message of a hand-over.
type Part struct {
	RecordID RecordID
	// HandOverID is unique to this hand-over.
	HandOverID uint64
	// ReceiverIncarnation is that of the record of the receiver; it is unset in
	// part 0.
	ReceiverIncarnation uint64
	Number              uint32
	Last                bool
	NowMS               int64
	KeyStates           []KeyState
}

// Receive processes one part of a hand-over and reports whether it was accepted.
// This instance decides about the keys once it has accepted the last part.
// Repeated parts must not restore an old state, because keys may have been
// claimed since then: parts that arrive after the last one change nothing, and
// parts that were sent to an earlier incarnation of this instance are refused.
func (s *Store) Receive(part Part) bool {
	first := part.Number == 0
	if first && part.Last || !first && part.ReceiverIncarnation != s.localRecordID.Incarnation {
		return false
	}
	if _, complete := s.records[part.RecordID]; complete {
		return true
	}
	if s.stopped {
		return false
	}
	incoming := s.findOrBeginHandOver(part)
	if incoming == nil || part.Number > incoming.receivedParts {
		return false
	}
	if part.Number == incoming.receivedParts {
		incoming.receivedParts++
		incoming.record.advanceClock(part.NowMS)
		for _, state := range part.KeyStates {
			incoming.record.restoreKey(state)
		}
	}
	if part.Last {
		s.incoming = slices.DeleteFunc(s.incoming, func(h *incomingHandOver) bool { return h.recordID == part.RecordID })
		s.records[part.RecordID] = &recordEntry{record: incoming.record}
	}
	return true
}

// findOrBeginHandOver returns the incoming hand-over that a part belongs to. Part
// 0 begins one; for other parts the result is nil if there is none. Hand-overs
// of one record by two instances are kept apart, because their states differ.
func (s *Store) findOrBeginHandOver(part Part) *incomingHandOver {
	for _, h := range s.incoming {
		if h.recordID == part.RecordID && h.id == part.HandOverID {
			return h
		}
	}
	if part.Number != 0 {
		return nil
	}
	if len(s.incoming) == maxIncomingHandOvers {
		s.incoming = slices.Delete(s.incoming, 0, 1)
	}
	h := &incomingHandOver{recordID: part.RecordID, id: part.HandOverID, record: NewRecord(s.limits)}
	s.incoming = append(s.incoming, h)
	return h
}
