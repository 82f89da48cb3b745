package once

import (
	"maps"
	"time"
)

const (
	hourMS = int64(time.Hour / time.Millisecond)
	// retentionHours is how long used keys are kept after the hour in which they were
	// minted: one hour more than the lifetime of a key, because keys are removed by
	// whole hours and none may be removed before it expires.
	retentionHours = int64(KeyLifetime/time.Hour) + 1
)

// Limits bound one record.
type Limits struct {
	// MaxKeys bounds the number of used keys.
	MaxKeys int
	// MaxAnswerBytes bounds the total size of the stored answers.
	MaxAnswerBytes int64
}

// DefaultLimits returns limits that allow 6 calls with keys a second over 24
// hours: a quarter of the 22 requests a second that each of 500 nodes serves at
// the planned peak. A used key takes about 120 bytes, so the used keys take a
// quarter of the 256 MB of memory for control, and the answers a sixteenth. Calls
// beyond the limit are refused as not run.
func DefaultLimits() Limits { return Limits{MaxKeys: 1 << 19, MaxAnswerBytes: 16 << 20} }

// usedKey is the state of a key that was claimed.
type usedKey struct {
	digest   Digest
	executor uint64
	answered bool
}

// Record decides about the keys of one incarnation of one instance. It does no
// I/O and reads no clock.
type Record struct {
	limits Limits
	// nowMS never decreases, even if the clock does: an expired key may have been
	// removed, so it must stay expired.
	nowMS int64
	// keysByHour holds the used keys by the hour in which they were minted.
	keysByHour map[int64]map[ID]usedKey
	keyCount   int
	answers    *answerCache
}

// NewRecord returns an empty record.
func NewRecord(limits Limits) *Record {
	return &Record{limits: limits, keysByHour: map[int64]map[ID]usedKey{}, answers: newAnswerCache(limits.MaxAnswerBytes)}
}

// advanceClock sets the clock unless it would go back, and removes the keys whose
// retention has ended.
func (r *Record) advanceClock(nowMS int64) {
	if nowMS <= r.nowMS {
		return
	}
	r.nowMS = nowMS
	maps.DeleteFunc(r.keysByHour, func(hour int64, keys map[ID]usedKey) bool {
		if r.nowMS/hourMS-hour <= retentionHours {
			return false
		}
		r.keyCount -= len(keys)
		return true
	})
}

func (r *Record) expired(mintedMS int64) bool {
	return r.nowMS-mintedMS > int64(KeyLifetime/time.Millisecond)
}

// Claim decides whether executor may run the call. A claim that the same executor
// repeats gets the same outcome.
func (r *Record) Claim(nowMS int64, k Key, digest Digest, executor uint64) Verdict {
	r.advanceClock(nowMS)
	if r.expired(k.MintedMS) {
		return Verdict{Outcome: Unknown, Reason: ReasonExpired}
	}
	prior, used := r.keysByHour[k.MintedMS/hourMS][k.ID]
	switch {
	case !used && r.keyCount >= r.limits.MaxKeys:
		return Verdict{Outcome: NotRun, Reason: ReasonRecordFull}
	case !used:
		r.setKey(k.MintedMS, k.ID, usedKey{digest: digest, executor: executor})
		return Verdict{Outcome: Claimed}
	case prior.digest != digest:
		return Verdict{Outcome: Mismatch}
	case !prior.answered && prior.executor == executor:
		return Verdict{Outcome: Claimed}
	case !prior.answered:
		return Verdict{Outcome: Unknown, Reason: ReasonStarted}
	}
	if stored, ok := r.answers.get(k.ID); ok {
		return Verdict{Outcome: Answered, Answer: stored.answer}
	}
	return Verdict{Outcome: Unknown, Reason: ReasonAnswerGone}
}

func (r *Record) setKey(mintedMS int64, id ID, key usedKey) {
	hour := mintedMS / hourMS
	keys := r.keysByHour[hour]
	if keys == nil {
		keys = map[ID]usedKey{}
		r.keysByHour[hour] = keys
	}
	oldCount := len(keys)
	keys[id] = key
	r.keyCount += len(keys) - oldCount
}

// claimedBy returns the state of a key and reports whether executor claimed it.
func (r *Record) claimedBy(k Key, executor uint64) (usedKey, bool) {
	key, used := r.keysByHour[k.MintedMS/hourMS][k.ID]
	return key, used && key.executor == executor
}

// Complete stores the answer of a claimed call and reports whether executor
// holds the claim. The answer is nil if it was too large to be stored.
func (r *Record) Complete(k Key, executor uint64, a *Answer) bool {
	key, claimed := r.claimedBy(k, executor)
	if !claimed {
		return false
	}
	if !key.answered {
		key.answered = true
		r.setKey(k.MintedMS, k.ID, key)
		r.answers.put(k.ID, key.digest, a)
	}
	return true
}

// Release makes a key unused again if executor holds its claim and the call has
// no answer. It reports whether it did.
func (r *Record) Release(k Key, executor uint64) bool {
	key, claimed := r.claimedBy(k, executor)
	if !claimed || key.answered {
		return false
	}
	delete(r.keysByHour[k.MintedMS/hourMS], k.ID)
	r.keyCount--
	return true
}

// KeyState is the state of one used key in a hand-over.
type KeyState struct {
	ID       ID
	MintedMS int64
	Digest   Digest
	Executor uint64
	Answered bool
	// Answer is nil when it was not stored, was evicted, or the call has none yet.
	Answer *Answer
}

// KeyStates calls yield for each used key. MintedMS is rounded down to the hour.
func (r *Record) KeyStates(yield func(KeyState) bool) {
	for hour, keys := range r.keysByHour {
		for id, key := range keys {
			state := KeyState{ID: id, MintedMS: hour * hourMS, Digest: key.digest, Executor: key.executor, Answered: key.answered}
			if stored, ok := r.answers.get(id); ok && key.answered {
				state.Answer = stored.answer
			}
			if !yield(state) {
				return
			}
		}
	}
}

// restoreKey adds the state of a key from a hand-over. It exceeds MaxKeys if it
// must: a key that is left out could be claimed again.
func (r *Record) restoreKey(state KeyState) {
	r.setKey(state.MintedMS, state.ID, usedKey{digest: state.Digest, executor: state.Executor, answered: state.Answered})
	if state.Answered {
		r.answers.put(state.ID, state.Digest, state.Answer)
	}
}
