package once

import (
	"maps"
	"time"
)

const (
	hourMS = int64(time.Hour / time.Millisecond)
	// keptHours is how long marks are kept: the lifetime of a key and the hour in
	// which it was minted, so that a mark always outlives its key.
	keptHours = int64(KeyLifetime/time.Hour) + 1
)

// Limits bound one record.
type Limits struct {
	// Marks bounds the keys that are marked as used.
	Marks int
	// AnswerBytes bounds the stored answers.
	AnswerBytes int64
}

// DefaultLimits allows 6 keyed calls a second over 24 hours, a quarter of the
// 22 requests a second that one of 500 nodes serves at the stated peak. A mark
// takes about 120 bytes, so the marks take a quarter of the 256 MB for control
// and the answers a sixteenth. Calls beyond the limit are refused as not run.
func DefaultLimits() Limits { return Limits{Marks: 1 << 19, AnswerBytes: 16 << 20} }

// mark tells that a key was claimed.
type mark struct {
	digest   Digest
	executor uint64
	answered bool
}

// Record decides about the keys of one incarnation of one instance. It is pure.
type Record struct {
	limits Limits
	// nowMS never goes back, whatever the clock does: an expired mark may be
	// gone, so an expired key must stay expired.
	nowMS int64
	// hours holds the marks by the hour in which the keys were minted.
	hours   map[int64]map[ID]mark
	count   int
	answers *answers
}

// NewRecord returns an empty record.
func NewRecord(limits Limits) *Record {
	return &Record{limits: limits, hours: map[int64]map[ID]mark{}, answers: newAnswers(limits.AnswerBytes)}
}

// advance moves the clock and drops the marks of keys that expired.
func (r *Record) advance(nowMS int64) {
	if nowMS <= r.nowMS {
		return
	}
	r.nowMS = nowMS
	maps.DeleteFunc(r.hours, func(hour int64, marks map[ID]mark) bool {
		if r.nowMS/hourMS-hour <= keptHours {
			return false
		}
		r.count -= len(marks)
		return true
	})
}

func (r *Record) expired(mintedMS int64) bool {
	return r.nowMS-mintedMS > int64(KeyLifetime/time.Millisecond)
}

// Claim decides whether executor may run the call. A claim repeated by the same
// executor gets the same outcome.
func (r *Record) Claim(nowMS int64, k Key, digest Digest, executor uint64) Verdict {
	r.advance(nowMS)
	if r.expired(k.MintedMS) {
		return Verdict{Outcome: Unknown, Reason: ReasonExpired}
	}
	m, used := r.hours[k.MintedMS/hourMS][k.ID]
	switch {
	case !used && r.count >= r.limits.Marks:
		return Verdict{Outcome: NotRun, Reason: ReasonRecordFull}
	case !used:
		r.set(k.MintedMS, k.ID, mark{digest: digest, executor: executor})
		return Verdict{Outcome: Claimed}
	case m.digest != digest:
		return Verdict{Outcome: Mismatch}
	case !m.answered && m.executor == executor:
		return Verdict{Outcome: Claimed}
	case !m.answered:
		return Verdict{Outcome: Unknown, Reason: ReasonStarted}
	}
	if stored, ok := r.answers.get(k.ID); ok {
		return Verdict{Outcome: Answered, Answer: stored.answer}
	}
	return Verdict{Outcome: Unknown, Reason: ReasonAnswerGone}
}

func (r *Record) set(mintedMS int64, id ID, m mark) {
	hour := mintedMS / hourMS
	marks := r.hours[hour]
	if marks == nil {
		marks = map[ID]mark{}
		r.hours[hour] = marks
	}
	before := len(marks)
	marks[id] = m
	r.count += len(marks) - before
}

// held returns the mark of a key that executor holds.
func (r *Record) held(k Key, executor uint64) (mark, bool) {
	m, used := r.hours[k.MintedMS/hourMS][k.ID]
	return m, used && m.executor == executor
}

// Complete stores the answer of a claimed call and reports whether executor
// holds the claim. A nil answer was too large to be stored.
func (r *Record) Complete(k Key, executor uint64, a *Answer) bool {
	m, ok := r.held(k, executor)
	if !ok {
		return false
	}
	if !m.answered {
		m.answered = true
		r.set(k.MintedMS, k.ID, m)
		r.answers.put(k.ID, m.digest, a)
	}
	return true
}

// Release makes a key new again and reports whether executor held the claim
// without an answer.
func (r *Record) Release(k Key, executor uint64) bool {
	m, ok := r.held(k, executor)
	if !ok || m.answered {
		return false
	}
	delete(r.hours[k.MintedMS/hourMS], k.ID)
	r.count--
	return true
}

// State is the state of one used key, for a hand-over.
type State struct {
	ID       ID
	MintedMS int64
	Digest   Digest
	Executor uint64
	Answered bool
	// Answer is nil when it was dropped or the call has none yet.
	Answer *Answer
}

// States calls yield for each used key. MintedMS is exact to the hour.
func (r *Record) States(yield func(State) bool) {
	for hour, marks := range r.hours {
		for id, m := range marks {
			s := State{ID: id, MintedMS: hour * hourMS, Digest: m.digest, Executor: m.executor, Answered: m.answered}
			if stored, ok := r.answers.get(id); ok && m.answered {
				s.Answer = stored.answer
			}
			if !yield(s) {
				return
			}
		}
	}
}

// restore adds a state from a hand-over. It keeps marks beyond the limit: a
// dropped mark would make its key new.
func (r *Record) restore(s State) {
	r.set(s.MintedMS, s.ID, mark{digest: s.Digest, executor: s.Executor, answered: s.Answered})
	if s.Answered {
		r.answers.put(s.ID, s.Digest, s.Answer)
	}
}
