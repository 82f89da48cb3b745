package overload

import "time"

// Load pattern: more prompts than the engines read, for example in a burst while a third of the engines of a data
// centre are gone. A stream that waits until shortly before its deadline, and is refused then, has lost the time in
// which its caller could have tried again.

// waitCertainty is the share of the estimated wait that counts. The rate of places and the share of a gateway in them
// are known by a factor of about two, and a stream that would have ended in time is worth more than an early refusal.
const waitCertainty = 0.5

// StreamWait describes a stream that waits for a place at an engine.
type StreamWait struct {
	// AheadTokens are the tokens of the prompts that go before it at this gateway.
	AheadTokens int
	// PlaceRate is the rate at which all engines together take prompts, in tokens per second, and Share the share of
	// this gateway in them; 0 if unknown.
	PlaceRate, Share float64
	// Shortest is the shortest recent duration of streams of the route, 0 if unknown.
	Shortest time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// CannotEnd reports whether the stream cannot end before its deadline, even if places become free sooner than
// estimated and it is as short as any.
func (s StreamWait) CannotEnd() bool {
	if s.Shortest <= 0 {
		return false
	}
	wait := time.Duration(0)
	if rate := s.PlaceRate * s.Share; rate > 0 {
		// A wait of more than an hour would overflow and is as good as none.
		wait = time.Duration(min(waitCertainty*float64(s.AheadTokens)/rate, time.Hour.Seconds()) * float64(time.Second))
	}
	return wait+s.Shortest > s.Left
}
