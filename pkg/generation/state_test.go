package generation

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against wrong actions after single events: each row is one rule of the
// recovery.
func TestSteps(t *testing.T) {
	c := quicktest.New(t)
	for _, row := range []struct {
		name  string
		event func(s *State) Action
		want  Action
	}{
		{"next token", func(s *State) Action { return s.HandleToken(1, 1, 2) }, Accept},
		{"repeated token", func(s *State) Action { return s.HandleToken(1, 1, 1) }, Ignore},
		{"gap", func(s *State) Action { return s.HandleToken(1, 1, 3) }, Reconnect},
		{"earlier attempt", func(s *State) Action { s.StartAttempt(); return s.HandleToken(1, 1, 2) }, Ignore},
		{"ended attempt", func(s *State) Action { s.EndAttempt(); return s.HandleToken(1, 1, 2) }, Ignore},
		{"reset", func(s *State) Action { return s.HandleConnectionError(1, 1) }, NewAttempt},
		{"reset of an earlier attempt", func(s *State) Action { s.StartAttempt(); return s.HandleConnectionError(1, 1) }, Ignore},
		{"reset of an earlier connection", func(s *State) Action { s.HandleSilence(); return s.HandleConnectionError(1, 1) }, Ignore},
		{"silence", func(s *State) Action { return s.HandleSilence() }, Reconnect},
		{"silence while resuming", func(s *State) Action { s.HandleSilence(); return s.HandleSilence() }, NewAttempt},
		{"silence after a resume", func(s *State) Action { s.HandleSilence(); s.HandleHeartbeat(1, 2); return s.HandleSilence() }, Reconnect},
		{"old connection while resuming", func(s *State) Action { s.HandleSilence(); s.HandleHeartbeat(1, 1); return s.HandleSilence() }, NewAttempt},
		{"end", func(s *State) Action { return s.HandleEnd(1, 1, 2, "stop") }, Finish},
		{"end with missing tokens", func(s *State) Action { return s.HandleEnd(1, 1, 4, "stop") }, Reconnect},
		{"end too early", func(s *State) Action { return s.HandleEnd(1, 1, 1, "stop") }, Ignore},
		{"end of an earlier attempt", func(s *State) Action { s.StartAttempt(); return s.HandleEnd(1, 1, 2, "stop") }, Ignore},
		{"cancelled by the engine", func(s *State) Action { return s.HandleEnd(1, 1, 2, reasonCancelled) }, NewAttempt},
		{"reset after the last token", func(s *State) Action {
			s.HandleToken(1, 1, 2)
			s.HandleToken(1, 1, 3)
			return s.HandleConnectionError(1, 1)
		}, Finish},
		{"begin after the last token", func(s *State) Action {
			s.HandleToken(1, 1, 2)
			s.HandleToken(1, 1, 3)
			return s.StartAttempt()
		}, Finish},
	} {
		s := NewState(4, 2, 0)
		s.StartAttempt()
		c.Check(row.event(&s), quicktest.Equals, row.want, quicktest.Commentf(row.name))
	}
}

// modelAttempt is one engine stream of the model; it produces tokens after a prefix.
type modelAttempt struct {
	start, produced int
	ended           bool
}

// engineEvent is an event that a connection has not delivered yet.
type engineEvent struct {
	attempt, connection uint32
	kind                string
	position            int
}

// Guards against gaps, repeats and mixed attempts under any order of events,
// including delayed and reordered ones, and across takeovers. The oracle records
// for each position the attempt whose token was accepted.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 5
		s := NewState(total, 0, 0)
		attempts := map[uint32]*modelAttempt{}
		var inFlight []engineEvent
		var answer []uint32
		startAttempt := func() {
			if s.StartAttempt() == Accept {
				attempts[s.Attempt()] = &modelAttempt{start: len(answer), produced: len(answer)}
			}
		}
		startAttempt()
		apply := func(action Action) {
			if action == NewAttempt {
				startAttempt()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"make": func(t *rapid.T) {
				number := uint32(rapid.IntRange(1, max(1, int(s.Attempt()))).Draw(t, "attempt"))
				a := attempts[number]
				if a == nil || a.ended {
					return
				}
				connection := uint32(rapid.IntRange(1, max(1, int(s.Connection()))).Draw(t, "connection"))
				if a.produced == total {
					a.ended = true
					inFlight = append(inFlight, engineEvent{number, connection, "end", total})
					return
				}
				inFlight = append(inFlight, engineEvent{number, connection, "token", a.produced})
				a.produced++
			},
			"repeat": func(t *rapid.T) {
				if len(inFlight) > 0 {
					inFlight = append(inFlight, inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "event")])
				}
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				// Negative draws count as 0, so that delivery in order is frequent.
				i := max(0, rapid.IntRange(-3, len(inFlight)-1).Draw(t, "event"))
				e := inFlight[i]
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				next, current := s.NextPosition(), s.Attempt()
				_, finished := s.FinishReason()
				var action Action
				if e.kind == "end" {
					action = s.HandleEnd(e.attempt, e.connection, e.position, "length")
				} else {
					action = s.HandleToken(e.attempt, e.connection, e.position)
				}
				if action == Accept {
					if finished || e.attempt != current || e.position != next || e.position != len(answer) {
						t.Fatalf("accepted %+v at %d in attempt %d", e, next, current)
					}
					if e.position < attempts[e.attempt].start {
						t.Fatalf("attempt %d began at %d", e.attempt, attempts[e.attempt].start)
					}
					answer = append(answer, e.attempt)
				}
				apply(action)
			},
			"reset": func(t *rapid.T) {
				apply(s.HandleConnectionError(uint32(rapid.IntRange(0, int(s.Attempt())).Draw(t, "attempt")),
					uint32(rapid.IntRange(0, int(s.Connection())).Draw(t, "connection"))))
			},
			"silence": func(*rapid.T) { apply(s.HandleSilence()) },
			"alive":   func(*rapid.T) { s.HandleHeartbeat(s.Attempt(), s.Connection()) },
			"take over": func(t *rapid.T) {
				if _, finished := s.FinishReason(); finished {
					return
				}
				s = NewState(total, len(answer), s.Attempt())
				if rapid.Bool().Draw(t, "resume attempt") && s.NextPosition() < total {
					s.ReconnectAttempt()
				} else {
					startAttempt()
				}
			},
			"": func(t *rapid.T) {
				if s.NextPosition() != len(answer) {
					t.Fatalf("next is %d after %d tokens", s.NextPosition(), len(answer))
				}
				for p := 1; p < len(answer); p++ {
					if answer[p] < answer[p-1] {
						t.Fatalf("attempts %v are mixed", answer)
					}
				}
				if reason, ok := s.FinishReason(); ok && (len(answer) != total || reason != ReasonLength) {
					t.Fatalf("finished after %d of %d tokens: %s", len(answer), total, reason)
				}
			},
		})
		// After any history, the next attempt must complete the answer.
		startAttempt()
		for p := s.NextPosition(); p < total; p++ {
			if action := s.HandleToken(s.Attempt(), s.Connection(), p); action != Accept {
				t.Fatal(fmt.Sprint("the last attempt stops at ", p, " with ", action))
			}
		}
		if _, finished := s.FinishReason(); !finished && s.HandleEnd(s.Attempt(), s.Connection(), total, ReasonLength) != Finish {
			t.Fatal("the answer does not finish")
		}
	})
}
