package once

import "slices"

// Where tells who decides about a key, as far as one instance knows.
type Where uint8

// Places of a record.
const (
	// Here tells that this instance decides.
	Here Where = iota
	// Elsewhere tells that this instance has no record of the key's incarnation.
	Elsewhere
	// Moving tells that a hand-over is in progress; ask again after it.
	Moving
	// Moved tells that the record was handed over to a successor.
	Moved
)

// Origin names a record: an instance and the incarnation of its record.
type Origin struct {
	Home        string
	Incarnation uint64
}

func (k Key) origin() Origin { return Origin{k.Home, k.Incarnation} }

// place is a record with its place.
type place struct {
	where     Where
	record    *Record
	successor string
}

// maxPending bounds the hand-overs that are not complete, some of which never
// will be. The oldest is refused from then on, so its keys become unknown.
const maxPending = 8

// handOver is a hand-over that is not complete.
type handOver struct {
	origin   Origin
	id       uint64
	record   *Record
	received uint32
}

// Keeper is all that one instance knows about keys: its own record, those
// handed over to it and copies of answers. It is pure; a restarted instance has
// a new Keeper with a new incarnation.
type Keeper struct {
	own     Origin
	limits  Limits
	places  map[Origin]*place
	pending []*handOver
	copies  *answers
	closed  bool
}

// NewKeeper returns the state of an instance that has just started.
func NewKeeper(own Origin, limits Limits) *Keeper {
	return &Keeper{
		own: own, limits: limits, places: map[Origin]*place{own: {record: NewRecord(limits)}},
		copies: newAnswers(limits.AnswerBytes),
	}
}

// Claim decides about a key, or tells where else to ask. An answer that was
// copied here is replayed when the record is not here.
func (p *Keeper) Claim(nowMS int64, k Key, digest Digest, executor uint64) (Verdict, Where, string) {
	at, ok := p.places[k.origin()]
	if ok && at.where == Here {
		return at.record.Claim(nowMS, k, digest, executor), Here, ""
	}
	if ok {
		return Verdict{}, at.where, at.successor
	}
	if stored, found := p.copies.get(k.ID); found {
		if stored.digest != digest {
			return Verdict{Outcome: Mismatch}, Here, ""
		}
		return Verdict{Outcome: Answered, Answer: stored.answer}, Here, ""
	}
	return Verdict{}, Elsewhere, ""
}

// Finish completes or releases a claim, or tells where else to ask.
func (p *Keeper) Finish(k Key, executor uint64, released bool, a *Answer) (accepted bool, where Where, successor string) {
	at, ok := p.places[k.origin()]
	switch {
	case !ok:
		return false, Elsewhere, ""
	case at.where != Here:
		return false, at.where, at.successor
	case released:
		return at.record.Release(k, executor), Here, ""
	}
	return at.record.Complete(k, executor, a), Here, ""
}

// Copy keeps an answer for the time when its record is lost.
func (p *Keeper) Copy(id ID, digest Digest, a *Answer) { p.copies.put(id, digest, a) }

// BeginHandOver stops all decisions of this instance, for good, and returns the
// records to hand over.
func (p *Keeper) BeginHandOver() map[Origin]*Record {
	p.closed = true
	moving := map[Origin]*Record{}
	for origin, at := range p.places {
		if at.where == Here {
			at.where = Moving
			moving[origin] = at.record
		}
	}
	return moving
}

// EndHandOver tells where a record went; an empty successor tells that it is lost.
func (p *Keeper) EndHandOver(origin Origin, successor string) {
	at := p.places[origin]
	at.where, at.successor, at.record = Moved, successor, nil
	if successor == "" {
		at.where = Elsewhere
	}
}

// Part is one message of a hand-over.
type Part struct {
	Origin Origin
	// HandOver is unique to this hand-over.
	HandOver uint64
	// Receiver is the incarnation of the receiver, unset in part 0.
	Receiver uint64
	Number   uint32
	Last     bool
	NowMS    int64
	States   []State
}

// Receive takes one part of a hand-over and reports whether it was accepted.
// This instance decides from the last part on. Two cases of repeated parts must
// not bring back an old state, because keys may have been claimed since: parts
// after the last one change nothing, and parts that were sent to an earlier
// incarnation of this instance are refused.
func (p *Keeper) Receive(part Part) bool {
	first := part.Number == 0
	if first && part.Last || !first && part.Receiver != p.own.Incarnation {
		return false
	}
	if _, known := p.places[part.Origin]; known {
		return true
	}
	if p.closed {
		return false
	}
	at := p.handOver(part)
	if at == nil || part.Number > at.received {
		return false
	}
	if part.Number == at.received {
		at.received++
		at.record.advance(part.NowMS)
		for _, s := range part.States {
			at.record.restore(s)
		}
	}
	if part.Last {
		p.pending = slices.DeleteFunc(p.pending, func(h *handOver) bool { return h.origin == part.Origin })
		p.places[part.Origin] = &place{record: at.record}
	}
	return true
}

// handOver returns the hand-over of a part, begun by part 0. Hand-overs of one
// record by two instances are kept apart: their states differ.
func (p *Keeper) handOver(part Part) *handOver {
	for _, h := range p.pending {
		if h.origin == part.Origin && h.id == part.HandOver {
			return h
		}
	}
	if part.Number != 0 {
		return nil
	}
	if len(p.pending) == maxPending {
		p.pending = slices.Delete(p.pending, 0, 1)
	}
	h := &handOver{origin: part.Origin, id: part.HandOver, record: NewRecord(p.limits)}
	p.pending = append(p.pending, h)
	return h
}
