package overload

import "time"

// Load pattern: callers offer refused calls again, so that 230 calls per second become 270 offers. An offer that
// comes back after 300 ms of an objective of 150 ms takes the place of a call that could be on time.

const (
	// timeLimitStep is the accuracy with which time limits are compared.
	timeLimitStep = 20 * time.Millisecond
	// commonLimitShare is the share of the calls from which a time limit counts as usual. Refused calls come back with
	// limits that are spread over a tenth of a second and more, so that each of them has two or three of a hundred.
	commonLimitShare = 0.1
	// minCommonCalls is the number of calls with the same limit from which it may be common, and maxLimitCalls the
	// number of calls at which the counts are halved.
	minCommonCalls = 3
	maxLimitCalls  = 64
	// limitSlots is the number of different time limits that are counted.
	limitSlots = 8
)

// TimeLimits counts the time limits that the callers of a route send. The zero value is ready for use.
type TimeLimits struct {
	slots [limitSlots]struct{ limit, count int }
	total int
}

// IsLate counts the time that a caller has left, 0 if it does not say, and reports whether its call cannot be on
// time any more, as it was offered before. The gateway knows neither the first offer nor the gateway that
// received it. It compares the time left with the time limit of the route; callers that always have less time
// are recognized by limits that are common. duration is the time that a call takes.
func (t *TimeLimits) IsLate(left, routeLimit, objective, duration time.Duration) bool {
	if left <= 0 {
		return false
	}
	limit := int(left / timeLimitStep)
	isCommon := t.record(limit)
	return !isCommon && objective > 0 && routeLimit-left+duration > objective
}

// record counts a time limit and reports whether it is common.
func (t *TimeLimits) record(limit int) bool {
	t.total++
	if t.total > maxLimitCalls {
		t.total /= 2
		for i := range t.slots {
			t.slots[i].count /= 2
		}
	}
	rarest := 0
	for i := range t.slots {
		if s := &t.slots[i]; s.limit == limit && s.count > 0 {
			s.count++
			return s.count >= minCommonCalls && float64(s.count) >= commonLimitShare*float64(t.total)
		}
		if t.slots[i].count < t.slots[rarest].count {
			rarest = i
		}
	}
	t.slots[rarest].limit, t.slots[rarest].count = limit, 1
	return false
}
