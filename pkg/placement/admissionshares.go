package placement

import "slices"

const (
	// largePromptShare is the share of the prompts that count as large, and the share of the placed tokens that they
	// are owed while one of them waits.
	largePromptShare = 0.1
	// recentPrompts is the number of waiting prompts from which it is told which are large, and minRecentPrompts
	// the number below which none is.
	recentPrompts    = 64
	minRecentPrompts = 10
	// maxPlacements is the number of placements at which the counts of large prompts are halved.
	maxPlacements = 64
)

// admissionShares divides the places of a gateway among organisations while streams wait, in the way of deficit round
// robin: the organisation for which the fewest tokens were placed is next. The load pattern is one organisation
// that sends many times its usual load, whose streams would all be ahead of those that arrive later. The largest
// prompts keep a share of the tokens, since their organisations fall behind the others with each of them. The
// zero value is ready for use; it is empty again when no stream waits.
type admissionShares struct {
	// placed holds the placed tokens and waiting the number of waiting streams, by organisation.
	placed  map[string]int
	waiting map[string]int
	// tokens and largeTokens are the placed tokens, of all prompts and of large ones, and placements their number.
	tokens, largeTokens, placements int
	// sizes holds the tokens of the latest prompts, and count the number of all. largeFrom is the size above which a
	// prompt is large, 0 if that is unknown.
	sizes     [recentPrompts]int
	count     int
	largeFrom int
}

// join counts a stream that waits.
func (a *admissionShares) join(s *PendingStream) {
	if a.waiting == nil {
		a.waiting, a.placed = map[string]int{}, map[string]int{}
	}
	// An organisation that has not waited gets no places for the time before.
	a.placed[s.Organisation] = a.placedTokens(s.Organisation)
	a.waiting[s.Organisation]++
	a.sizes[a.count%recentPrompts] = s.Tokens
	a.count++
	n := min(a.count, recentPrompts)
	if n < minRecentPrompts {
		return
	}
	sorted := a.sizes
	slices.Sort(sorted[:n])
	a.largeFrom = sorted[int(float64(n-1)*(1-largePromptShare))]
}

// leave counts a stream that waits no longer.
func (a *admissionShares) leave(s *PendingStream) {
	a.waiting[s.Organisation]--
	if a.waiting[s.Organisation] <= 0 {
		delete(a.waiting, s.Organisation)
	}
	if len(a.waiting) == 0 {
		clear(a.placed)
		a.tokens, a.largeTokens, a.placements = 0, 0, 0
	}
}

// place counts the placement of a stream while others may wait.
func (a *admissionShares) place(s *PendingStream) {
	if len(a.waiting) == 0 {
		return
	}
	a.placed[s.Organisation] = a.placedTokens(s.Organisation) + s.Tokens
	a.tokens += s.Tokens
	if a.isLarge(s) {
		a.largeTokens += s.Tokens
	}
	a.placements++
	if a.placements >= maxPlacements {
		a.placements, a.tokens, a.largeTokens = a.placements/2, a.tokens/2, a.largeTokens/2
	}
}

// placedTokens returns the tokens that count as placed for an organisation: at least as many as for the waiting one
// with the fewest, so that it does not catch up on a time in which it had no waiting streams.
func (a *admissionShares) placedTokens(organisation string) int {
	if a.waiting[organisation] > 0 {
		return a.placed[organisation]
	}
	fewest, found := 0, false
	for other := range a.waiting {
		if tokens := a.placed[other]; !found || tokens < fewest {
			fewest, found = tokens, true
		}
	}
	return max(a.placed[organisation], fewest)
}

func (a *admissionShares) isLarge(s *PendingStream) bool {
	return a.largeFrom > 0 && s.Tokens > a.largeFrom
}

// isOwed reports whether a stream goes before others of its rank because its prompt is large and large prompts had
// less than their share of the placed tokens.
func (a *admissionShares) isOwed(s *PendingStream) bool {
	return a.tokens > 0 && a.isLarge(s) && float64(a.largeTokens) < largePromptShare*float64(a.tokens)
}

// compare orders two streams of the same rank by the shares of their organisations: negative if s goes first,
// 0 if the shares do not tell.
func (a *admissionShares) compare(s, other *PendingStream) int {
	if owed, otherOwed := a.isOwed(s), a.isOwed(other); owed != otherOwed {
		if owed {
			return -1
		}
		return 1
	}
	if s.Organisation == other.Organisation {
		return 0
	}
	return a.placedTokens(s.Organisation) - a.placedTokens(other.Organisation)
}
