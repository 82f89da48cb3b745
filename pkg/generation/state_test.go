package generation

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against wrong decisions on single failures: each row is one rule of
// the recovery.
func TestSteps(t *testing.T) {
	c := quicktest.New(t)
	for _, row := range []struct {
		name string
		do   func(s *State) Step
		want Step
	}{
		{"next token", func(s *State) Step { return s.Token(1, 1, 2) }, Accept},
		{"repeated token", func(s *State) Step { return s.Token(1, 1, 1) }, Ignore},
		{"gap", func(s *State) Step { return s.Token(1, 1, 3) }, Resume},
		{"earlier attempt", func(s *State) Step { s.Begin(); return s.Token(1, 1, 2) }, Ignore},
		{"attempt given up", func(s *State) Step { s.End(); return s.Token(1, 1, 2) }, Ignore},
		{"reset", func(s *State) Step { return s.Reset(1, 1) }, Another},
		{"reset of an earlier attempt", func(s *State) Step { s.Begin(); return s.Reset(1, 1) }, Ignore},
		{"reset of an earlier connection", func(s *State) Step { s.Silence(); return s.Reset(1, 1) }, Ignore},
		{"silence", func(s *State) Step { return s.Silence() }, Resume},
		{"silence while resuming", func(s *State) Step { s.Silence(); return s.Silence() }, Another},
		{"silence after a resume", func(s *State) Step { s.Silence(); s.Alive(1, 2); return s.Silence() }, Resume},
		{"old connection while resuming", func(s *State) Step { s.Silence(); s.Alive(1, 1); return s.Silence() }, Another},
		{"end", func(s *State) Step { return s.EngineEnd(1, 1, 2, "stop") }, Finish},
		{"end with missing tokens", func(s *State) Step { return s.EngineEnd(1, 1, 4, "stop") }, Resume},
		{"end too early", func(s *State) Step { return s.EngineEnd(1, 1, 1, "stop") }, Ignore},
		{"end of an earlier attempt", func(s *State) Step { s.Begin(); return s.EngineEnd(1, 1, 2, "stop") }, Ignore},
		{"cancelled by the engine", func(s *State) Step { return s.EngineEnd(1, 1, 2, reasonCancelled) }, Another},
		{"reset after the last token", func(s *State) Step {
			s.Token(1, 1, 2)
			s.Token(1, 1, 3)
			return s.Reset(1, 1)
		}, Finish},
		{"begin after the last token", func(s *State) Step {
			s.Token(1, 1, 2)
			s.Token(1, 1, 3)
			return s.Begin()
		}, Finish},
	} {
		s := NewState(4, 2, 0)
		s.Begin()
		c.Check(row.do(&s), quicktest.Equals, row.want, quicktest.Commentf(row.name))
	}
}

// attempt is one engine stream of the model, which makes tokens of its own
// from a prefix on.
type attempt struct {
	from, made int
	ended      bool
}

// delivery is one event under way on a connection.
type delivery struct {
	attempt, connection uint32
	kind                string
	position            int
}

// Guards against gaps, repeats and mixed attempts under any order of events,
// late and crossed ones included, and over takeovers. The oracle names for
// each position the attempt that may deliver it.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 5
		s := NewState(total, 0, 0)
		attempts := map[uint32]*attempt{}
		var wire []delivery
		var answer []uint32
		begin := func() {
			if s.Begin() == Accept {
				attempts[s.Attempt()] = &attempt{from: len(answer), made: len(answer)}
			}
		}
		begin()
		react := func(step Step) {
			if step == Another {
				begin()
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
				if a.made == total {
					a.ended = true
					wire = append(wire, delivery{number, connection, "end", total})
					return
				}
				wire = append(wire, delivery{number, connection, "token", a.made})
				a.made++
			},
			"repeat": func(t *rapid.T) {
				if len(wire) > 0 {
					wire = append(wire, wire[rapid.IntRange(0, len(wire)-1).Draw(t, "event")])
				}
			},
			"deliver": func(t *rapid.T) {
				if len(wire) == 0 {
					return
				}
				// Mostly in order, at times not.
				i := max(0, rapid.IntRange(-3, len(wire)-1).Draw(t, "event"))
				d := wire[i]
				wire = append(wire[:i:i], wire[i+1:]...)
				next, current := s.Next(), s.Attempt()
				_, finished := s.Finished()
				var step Step
				if d.kind == "end" {
					step = s.EngineEnd(d.attempt, d.connection, d.position, "length")
				} else {
					step = s.Token(d.attempt, d.connection, d.position)
				}
				if step == Accept {
					if finished || d.attempt != current || d.position != next || d.position != len(answer) {
						t.Fatalf("accepted %+v at %d in attempt %d", d, next, current)
					}
					if d.position < attempts[d.attempt].from {
						t.Fatalf("attempt %d began at %d", d.attempt, attempts[d.attempt].from)
					}
					answer = append(answer, d.attempt)
				}
				react(step)
			},
			"reset": func(t *rapid.T) {
				react(s.Reset(uint32(rapid.IntRange(0, int(s.Attempt())).Draw(t, "attempt")),
					uint32(rapid.IntRange(0, int(s.Connection())).Draw(t, "connection"))))
			},
			"silence": func(*rapid.T) { react(s.Silence()) },
			"alive":   func(*rapid.T) { s.Alive(s.Attempt(), s.Connection()) },
			"take over": func(t *rapid.T) {
				if _, finished := s.Finished(); finished {
					return
				}
				s = NewState(total, len(answer), s.Attempt())
				if rapid.Bool().Draw(t, "adopt") && s.Next() < total {
					s.Adopt()
				} else {
					begin()
				}
			},
			"": func(t *rapid.T) {
				if s.Next() != len(answer) {
					t.Fatalf("next is %d after %d tokens", s.Next(), len(answer))
				}
				for p := 1; p < len(answer); p++ {
					if answer[p] < answer[p-1] {
						t.Fatalf("attempts %v are mixed", answer)
					}
				}
				if reason, ok := s.Finished(); ok && (len(answer) != total || reason != ReasonLength) {
					t.Fatalf("finished after %d of %d tokens: %s", len(answer), total, reason)
				}
			},
		})
		// Whatever happened, the next attempt completes the answer.
		begin()
		for p := s.Next(); p < total; p++ {
			if step := s.Token(s.Attempt(), s.Connection(), p); step != Accept {
				t.Fatal(fmt.Sprint("the last attempt stops at ", p, " with ", step))
			}
		}
		if _, finished := s.Finished(); !finished && s.EngineEnd(s.Attempt(), s.Connection(), total, ReasonLength) != Finish {
			t.Fatal("the answer does not finish")
		}
	})
}
