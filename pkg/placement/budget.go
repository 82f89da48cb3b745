package placement

import "time"

// Budget bounds how often requests of a service are sent once more. All
// gateways together keep one limit without talking: each uses the share that its
// own requests earn, and a part of the fixed slack. It answers outages in which
// every request fails and sending all of them again would double the load.
type Budget struct {
	// Ratio is the number of repeats per request, Slack the number without any.
	Ratio float64
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	slots [budgetSlots]budgetSlot
}

const (
	// budgetSlots is the number of parts of the window.
	budgetSlots = 10
	// budgetShare is the part of the limit that is used: windows of callers and
	// gateways are not aligned.
	budgetShare = 0.7
	// slackSharers is the number of gateways that share the slack.
	slackSharers = 16
)

type budgetSlot struct {
	number            int64
	requests, repeats float64
}

func (b *Budget) slot(now time.Time) *budgetSlot {
	number := now.UnixNano() / int64(b.Window/budgetSlots)
	s := &b.slots[number%budgetSlots]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}

// Request notes a first send.
func (b *Budget) Request(now time.Time) { b.slot(now).requests++ }

// Repeat takes one repeat from the budget. It is false when none is left.
func (b *Budget) Repeat(now time.Time) bool {
	current := b.slot(now)
	requests, repeats := 0.0, 0.0
	for _, s := range b.slots {
		if current.number-s.number < budgetSlots {
			requests += s.requests
			repeats += s.repeats
		}
	}
	if repeats+1 > budgetShare*(b.Ratio*requests+b.Slack/slackSharers) {
		return false
	}
	current.repeats++
	return true
}
