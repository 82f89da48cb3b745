// Package quarantine finds the parts of prompts under which engines end, and decides which
// requests are kept from the engines because of them. It does no I/O: time is passed in.
//
// The evidence is a report of each engine that ended under a request before this had proved sound, with the
// parts that the request shares with others, and of each run that went on writing. Several
// requests are at one engine, and a harmful part comes together with sound ones, so a part is
// suspected only after several engines, and a request is kept back only if it has everything
// that the reports have in common.
//
// An engine that ended as it began to answer the request is certain evidence. One that ended before the head of
// the response, or some time after the first event, is uncertain: the request may just as well have waited
// behind a harmful one. A part is suspected after minEndings engines with certain evidence, or when engines ended under it
// at several moments. Engines that end at the same moment may do so for one other reason.
package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// minEndings is the number of engine processes that must have ended under a part before it is
	// suspected. Two may end at the same time for another reason.
	minEndings = 3
	// minMoments is the number of moments at which engines must have ended under a part before uncertain evidence
	// makes it suspected, and minMomentsOfSoundPart the number for a part that had proved sound before: most
	// prompts that wait at an engine have parts that are popular.
	minMoments            = 3
	minMomentsOfSoundPart = 5
	// momentGap is the least time between two moments. An engine that ends under another attempt of the same
	// request is a moment of its own.
	momentGap = 300 * time.Millisecond
	// minRestartTime is the least time between two ends of an engine that are taken for ends of two processes
	// although no new start is known yet.
	minRestartTime = time.Second
	// evidenceTTL is how long an ended engine counts. If a trial of a suspicion has ended an engine, its evidence counts
	// until the next trials.
	evidenceTTL = 10 * time.Minute
	// maxEndings bounds the ended engine processes that are remembered, and maxRequestsPerEnding
	// the requests that began on each.
	maxEndings           = 128
	maxRequestsPerEnding = 8
	// baseHold is the time after the last ended engine for which a suspected request is kept back
	// before one is tried again. It grows by holdGrowth with each trial that ends an engine, up to maxHold, so that a part
	// that goes on ending engines ends three more in nine hours.
	baseHold   = time.Minute
	holdGrowth = 8
	maxHold    = 512 * baseHold
	// trialInterval is the mean interval between the trials of all gateways. It exceeds the time until
	// the others learn what became of one.
	trialInterval = 10 * time.Second
	// soundInterval is the least time between two reports that a part is sound.
	soundInterval = 200 * time.Millisecond
	// commonTime is the time after its last sound run for which a part is taken for common.
	commonTime = 30 * time.Second
	// maxProvenParts bounds the parts of which it is remembered that runs at this gateway proved them sound.
	maxProvenParts = 4096
)

// Report is the evidence of one run, as gateways exchange it.
type Report struct {
	// Parts are the parts of the prompt that other requests may have too.
	Parts []string
	// Engine and StartedMS identify the process of the engine that ended as it began to answer;
	// StartedMS is its start in Unix milliseconds. Engine is empty in the report of a run that
	// went on writing.
	Engine    string
	StartedMS int64
	// Uncertain means that the run had not begun to write when the engine ended, or had been writing for a while
	// without having proved sound.
	Uncertain bool
	// Repeated means that an engine had ended under an earlier attempt of the same request.
	Repeated bool
	// Age is the time since the event.
	Age time.Duration
}

// Change is the begin or the end of a suspicion.
type Change struct {
	// Parts are the parts that a request must all have to be kept back.
	Parts []string
	// Began is false if the suspicion ended.
	Began bool
	// Endings is the number of engine processes that ended under the parts.
	Endings int
}

// IsSameEnd reports whether an end of an engine at one time and one of the same known process at another are the same:
// an engine that starts again may end again before its new start is known.
func IsSameEnd(at, otherAt time.Time) bool { return at.Sub(otherAt).Abs() < minRestartTime }

// Tracker holds the evidence and the suspicions that follow from it. It is not safe for
// concurrent use.
type Tracker struct {
	// endings are the ended engine processes, the oldest first.
	endings []ending
	// soundAt holds the last time at which a run with a part went on writing, for the parts in
	// endings, and soundBefore those of them that had proved sound at this gateway before the first of these.
	soundAt     map[string]time.Time
	soundBefore map[string]bool
	// proven and formerlyProven hold when runs at this gateway last proved a part sound. formerlyProven is replaced by
	// proven when that is full.
	proven, formerlyProven map[string]time.Time
	suspicions             []suspicion
	// triedAt holds the last time at which a suspected request was let through, by the key of the
	// suspicion.
	triedAt map[string]time.Time
	// spread is from 0 to 1. It tells when within the time of trials that all gateways share this one has its turn.
	spread float64
}

// ending is an engine process that ended under requests.
type ending struct {
	engine    string
	startedMS int64
	at        time.Time
	requests  []request
}

// request is a request under which an engine ended. Its fields are those of Report.
type request struct {
	parts               []string
	uncertain, repeated bool
}

// suspicion is a set of parts that is held to end engines.
type suspicion struct {
	parts       []string
	endings     int
	lastEndedAt time.Time
	// certain is the number of endings with certain evidence, and moments that of the moments of all.
	certain, moments int
	// failedTrials is the number of endings that came so long after the one before that a trial was due.
	failedTrials int
}

func (s suspicion) key() string { return strings.Join(s.parts, ",") }

// hold returns how long after the last ended engine no request is tried.
func (s suspicion) hold() time.Duration {
	hold := baseHold
	for range s.failedTrials {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

// NewTracker returns a tracker without evidence.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{
		soundAt: map[string]time.Time{}, soundBefore: map[string]bool{}, proven: map[string]time.Time{}, triedAt: map[string]time.Time{},
		spread: random.Float64(),
	}
}

// Record adds a report and returns the suspicions that begin or end with it. A report that is
// known already changes nothing.
func (t *Tracker) Record(r Report, now time.Time) []Change {
	at := now.Add(-r.Age)
	if r.Engine == "" {
		for _, part := range r.Parts {
			if at.After(t.soundAt[part]) && t.hasEvidence(part) {
				t.soundAt[part] = at
			}
		}
		if len(t.suspicions) == 0 {
			return nil
		}
		return t.update(now)
	}
	if len(r.Parts) == 0 {
		return nil
	}
	i := slices.IndexFunc(t.endings, func(e ending) bool {
		return e.engine == r.Engine && e.startedMS == r.StartedMS && IsSameEnd(at, e.at)
	})
	if i < 0 {
		t.endings = append(t.endings, ending{engine: r.Engine, startedMS: r.StartedMS, at: at})
		t.endings = slices.Delete(t.endings, 0, max(0, len(t.endings)-maxEndings))
		i = len(t.endings) - 1
	}
	e := &t.endings[i]
	if !e.add(r) {
		return nil
	}
	for _, part := range r.Parts {
		provenAt := t.provenAt(part)
		if provenAt.After(t.soundAt[part]) && provenAt.After(at) {
			t.soundAt[part] = provenAt
		}
		if !provenAt.IsZero() && !provenAt.After(at) {
			t.soundBefore[part] = true
		}
	}
	if len(t.suspicions) == 0 && !slices.ContainsFunc(r.Parts, t.isSuspicious) {
		return nil
	}
	return t.update(now)
}

// isSuspicious reports whether the evidence against a part alone makes it suspected. Most reports, as those of many engines that
// end at once, make no part suspected, and all suspicions need not be derived again for them.
func (t *Tracker) isSuspicious(part string) bool {
	// An upper bound of the moments is enough to rule out most parts.
	var count, certain, repeated int
	var first, last time.Time
	soundAt := t.soundAt[part]
	for i := range t.endings {
		e := &t.endings[i]
		if !e.at.After(soundAt) {
			continue
		}
		j := slices.IndexFunc(e.requests, func(q request) bool { return slices.Contains(q.parts, part) })
		if j < 0 {
			continue
		}
		if count++; count == 1 || e.at.Before(first) {
			first = e.at
		}
		if e.at.After(last) {
			last = e.at
		}
		for _, q := range e.requests[j:] {
			if !q.uncertain {
				certain++
			}
			if q.repeated {
				repeated++
			}
		}
	}
	maxMoments := min(count, 1+repeated+int(last.Sub(first)/momentGap))
	if certain < minEndings && maxMoments < minMoments {
		return false
	}
	return t.isWellFounded(t.suspicionOf(part, t.endings), part)
}

// add adds the request of a report and reports whether that changes the evidence. Certain evidence replaces uncertain
// evidence of a request with the same parts.
func (e *ending) add(r Report) bool {
	added := request{parts: slices.Clone(r.Parts), uncertain: r.Uncertain, repeated: r.Repeated}
	i := slices.IndexFunc(e.requests, func(q request) bool { return slices.Equal(q.parts, r.Parts) })
	switch {
	case i >= 0:
		known := e.requests[i]
		added.uncertain, added.repeated = known.uncertain && r.Uncertain, known.repeated || r.Repeated
		if added.uncertain == known.uncertain && added.repeated == known.repeated {
			return false
		}
		e.requests[i] = added
	case len(e.requests) >= maxRequestsPerEnding:
		return false
	default:
		e.requests = append(e.requests, added)
	}
	return true
}

// RecordSound records that a run of this gateway proved the parts of its prompt sound.
func (t *Tracker) RecordSound(parts []string, now time.Time) {
	for _, part := range parts {
		t.proven[part] = now
	}
	if len(t.proven) >= maxProvenParts/2 {
		t.proven, t.formerlyProven = map[string]time.Time{}, t.proven
	}
}

// provenAt returns when a run of this gateway last proved a part sound, the zero time if that is not known.
func (t *Tracker) provenAt(part string) time.Time {
	if at, ok := t.proven[part]; ok {
		return at
	}
	return t.formerlyProven[part]
}

// IsCommon reports whether runs at this gateway proved all parts sound not long ago, so that uncertain evidence against them is
// likely that of requests which waited.
func (t *Tracker) IsCommon(parts []string, now time.Time) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return now.Sub(t.provenAt(part)) > commonTime })
}

// Expire forgets old evidence and returns the suspicions that end.
func (t *Tracker) Expire(now time.Time) []Change {
	count := len(t.endings)
	t.endings = slices.DeleteFunc(t.endings, func(e ending) bool {
		return now.Sub(e.at) > evidenceTTL && !slices.ContainsFunc(t.suspicions, func(s suspicion) bool {
			return now.Sub(s.lastEndedAt) <= evidenceTTL+2*(s.hold()-baseHold) && e.supports(s)
		})
	})
	if len(t.endings) == count {
		return nil
	}
	maps.DeleteFunc(t.soundAt, func(part string, _ time.Time) bool { return !t.hasEvidence(part) })
	maps.DeleteFunc(t.soundBefore, func(part string, _ bool) bool { return !t.hasEvidence(part) })
	return t.update(now)
}

// IsSuspected reports whether a request with these parts is suspected.
func (t *Tracker) IsSuspected(parts []string) bool { return t.find(parts) != nil }

// Admit reports whether a request with these parts may be sent to an engine. A suspected request
// may not, except for one at a time after a hold, which shows whether the suspicion still holds. The given number of
// gateways share the trials: each has its turn at a time of its own.
// If it is not admitted, retryAfter is the time until the next such trial.
func (t *Tracker) Admit(parts []string, gateways int, now time.Time) (admitted bool, retryAfter time.Duration) {
	s := t.find(parts)
	if s == nil {
		return true, 0
	}
	since := s.lastEndedAt
	if triedAt := t.triedAt[s.key()]; triedAt.After(since) {
		since = triedAt
	}
	hold := s.hold()
	turns := max(hold, time.Duration(gateways)*trialInterval)
	wait := hold + time.Duration(t.spread*float64(turns)) - now.Sub(since)
	if wait > 0 {
		return false, wait
	}
	t.triedAt[s.key()] = now
	return true, 0
}

// Unproven returns those of the parts for which a report of a run that goes on writing is of use:
// engines ended under them since they were last reported sound, and that was not just now.
func (t *Tracker) Unproven(parts []string, now time.Time) []string {
	var unproven []string
	for _, part := range parts {
		soundAt := t.soundAt[part]
		if now.Sub(soundAt) >= soundInterval && slices.ContainsFunc(t.endings, func(e ending) bool { return e.at.After(soundAt) && e.has(part) }) {
			unproven = append(unproven, part)
		}
	}
	return unproven
}

// find returns the suspicion of which a request has all parts, nil if there is none.
func (t *Tracker) find(parts []string) *suspicion {
	for i := range t.suspicions {
		if containsAll(parts, t.suspicions[i].parts) {
			return &t.suspicions[i]
		}
	}
	return nil
}

func (t *Tracker) hasEvidence(part string) bool {
	return slices.ContainsFunc(t.endings, func(e ending) bool { return e.has(part) })
}

// has reports whether the engine ended under a request with a part.
func (e *ending) has(part string) bool {
	return slices.ContainsFunc(e.requests, func(q request) bool { return slices.Contains(q.parts, part) })
}

// supports reports whether the engine ended under a request that a suspicion keeps back.
func (e *ending) supports(s suspicion) bool {
	return slices.ContainsFunc(e.requests, func(q request) bool { return containsAll(q.parts, s.parts) })
}

// update derives the suspicions from the evidence and returns what has changed.
func (t *Tracker) update(now time.Time) []Change {
	previous := t.suspicions
	t.suspicions = t.deriveSuspicions()
	var changes []Change
	has := func(list []suspicion, s suspicion) bool {
		return slices.ContainsFunc(list, func(other suspicion) bool { return other.key() == s.key() })
	}
	for _, s := range previous {
		if !has(t.suspicions, s) {
			delete(t.triedAt, s.key())
			changes = append(changes, Change{Parts: s.parts, Endings: s.endings})
		}
	}
	for _, s := range t.suspicions {
		if !has(previous, s) {
			changes = append(changes, Change{Parts: s.parts, Began: true, Endings: s.endings})
		}
	}
	return changes
}

// deriveSuspicions explains the ended engines by as few parts as possible: the part with the most
// engines first, then the parts with the most of the remaining ones.
func (t *Tracker) deriveSuspicions() []suspicion {
	var suspicions []suspicion
	unexplained := t.endings
	for {
		s, ok := t.strongestSuspicion(unexplained)
		if !ok {
			return suspicions
		}
		suspicions = append(suspicions, s)
		var remaining []ending
		for _, e := range unexplained {
			if !e.supports(s) {
				remaining = append(remaining, e)
			}
		}
		unexplained = remaining
	}
}

// strongestSuspicion returns the suspicion that explains the most ended engines. If a suspicion of
// more parts, which keeps back fewer requests, leaves too few of these engines unexplained to be
// suspicious, it is returned instead: a sound part that many requests have also meets engines
// that end for another reason.
func (t *Tracker) strongestSuspicion(endings []ending) (strongest suspicion, ok bool) {
	var candidates []suspicion
	for part, count := range countEndings(endings) {
		if count < min(minEndings, minMoments) {
			continue
		}
		if s := t.suspicionOf(part, endings); t.isWellFounded(s, part) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return suspicion{}, false
	}
	slices.SortFunc(candidates, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(b.endings, a.endings), cmp.Compare(len(b.parts), len(a.parts)), cmp.Compare(a.key(), b.key()))
	})
	strongest = candidates[0]
	for _, s := range candidates[1:] {
		if len(s.parts) > len(strongest.parts) && containsAll(s.parts, strongest.parts) && candidates[0].endings-s.endings < minEndings {
			strongest = s
		}
	}
	return strongest, true
}

// isWellFounded reports whether the evidence for the suspicion of a part is sufficient.
func (t *Tracker) isWellFounded(s suspicion, part string) bool {
	needed := minMoments
	if t.soundBefore[part] {
		needed = minMomentsOfSoundPart
	}
	return s.certain >= minEndings || s.moments >= needed
}

// countEndings returns for each part the number of engines that ended under it.
func countEndings(endings []ending) map[string]int {
	counts := map[string]int{}
	for _, e := range endings {
		parts := map[string]bool{}
		for _, request := range e.requests {
			for _, part := range request.parts {
				parts[part] = true
			}
		}
		for part := range parts {
			counts[part]++
		}
	}
	return counts
}

// suspicionOf returns the suspicion of a part: the engines that ended under it since it was last
// sound, and the parts that all requests with it had in common, without those that were sound
// since the first of these engines ended.
func (t *Tracker) suspicionOf(part string, endings []ending) suspicion {
	var s suspicion
	var under []ending
	for _, e := range endings {
		if e.at.After(t.soundAt[part]) && e.has(part) {
			under = append(under, e)
		}
	}
	slices.SortStableFunc(under, func(a, b ending) int { return a.at.Compare(b.at) })
	var momentAt time.Time
	for _, e := range under {
		certain, repeated := false, false
		for _, q := range e.requests {
			if !slices.Contains(q.parts, part) {
				continue
			}
			if s.parts == nil {
				s.parts = slices.Clone(q.parts)
			} else {
				s.parts = slices.DeleteFunc(s.parts, func(p string) bool { return !slices.Contains(q.parts, p) })
			}
			certain, repeated = certain || !q.uncertain, repeated || q.repeated
		}
		if s.endings > 0 && e.at.Sub(s.lastEndedAt) >= baseHold {
			s.failedTrials++
		}
		s.endings++
		s.lastEndedAt = e.at
		if certain {
			s.certain++
		}
		if repeated || s.moments == 0 || e.at.Sub(momentAt) >= momentGap {
			s.moments, momentAt = s.moments+1, e.at
		}
	}
	if len(under) > 0 {
		firstEndedAt := under[0].at
		s.parts = slices.DeleteFunc(s.parts, func(p string) bool { return p != part && t.soundAt[p].After(firstEndedAt) })
	}
	slices.Sort(s.parts)
	s.parts = slices.Compact(s.parts)
	return s
}

func containsAll(parts, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(p string) bool { return !slices.Contains(parts, p) })
}
