package generation

// Step is what the runner has to do after an event.
type Step uint8

// Steps.
const (
	// Ignore tells that the event changes nothing.
	Ignore Step = iota
	// Accept tells that the token is the next one of the answer.
	Accept
	// Resume tells to connect again to the same engine stream.
	Resume
	// Another tells to go on from the prefix at another engine.
	Another
	// Finish tells that the answer is complete.
	Finish
)

// Reasons with which an engine ends a generation that is not complete.
const (
	reasonCancelled = "cancelled"
	reasonError     = "error"
	// ReasonLength tells that the answer has the requested number of tokens.
	ReasonLength = "length"
)

// State is the state of one generation at its owner. It is pure. Attempts and
// the connections of one attempt are numbered; an event of an earlier attempt
// changes nothing, and a failure of an earlier connection neither.
type State struct {
	max        int
	next       int
	attempt    uint32
	connection uint32
	// active tells that the present attempt may add tokens, resuming that a new
	// connection to it is being made.
	active   bool
	resuming bool
	finished bool
	reason   string
}

// NewState returns the state of a generation of which next tokens are known
// and the given number of attempts were made.
func NewState(maxTokens, next int, attempts uint32) State {
	return State{max: maxTokens, next: next, attempt: attempts}
}

// Next returns the position of the next token.
func (s *State) Next() int { return s.next }

// Attempt returns the number of the present attempt.
func (s *State) Attempt() uint32 { return s.attempt }

// Connection returns the number of the present connection.
func (s *State) Connection() uint32 { return s.connection }

// Resuming reports whether a new connection to the same engine stream is
// being made.
func (s *State) Resuming() bool { return s.resuming }

// Finished returns the reason of the end, if the answer is complete.
func (s *State) Finished() (reason string, ok bool) { return s.reason, s.finished }

// Begin starts the next attempt and ends the one before. When all tokens are
// known it finishes the generation instead.
func (s *State) Begin() Step {
	if s.finished || s.next >= s.max {
		return s.finish(ReasonLength)
	}
	s.attempt++
	s.connection++
	s.active, s.resuming = true, false
	return Accept
}

// Adopt goes on with the last attempt of an earlier owner on a new connection.
func (s *State) Adopt() {
	s.connection++
	s.active, s.resuming = true, true
}

// End stops the present attempt; its later events are ignored.
func (s *State) End() { s.active, s.resuming = false, false }

// Stop finishes the generation with the tokens that are known.
func (s *State) Stop(reason string) Step { return s.finish(reason) }

// Token handles a token of an attempt.
func (s *State) Token(attempt, connection uint32, position int) Step {
	if !s.current(attempt) || position < s.next {
		return s.alive(attempt, connection)
	}
	if position > s.next {
		return s.fault(connection)
	}
	if s.next >= s.max {
		return s.finish(ReasonLength)
	}
	s.next++
	s.alive(attempt, connection)
	return Accept
}

// Alive handles a heartbeat: a new connection that delivers works.
func (s *State) Alive(attempt, connection uint32) Step { return s.alive(attempt, connection) }

func (s *State) alive(attempt, connection uint32) Step {
	if s.current(attempt) && connection == s.connection {
		s.resuming = false
	}
	return Ignore
}

// EngineEnd handles the last event of an attempt, which names the token count.
func (s *State) EngineEnd(attempt, connection uint32, position int, reason string) Step {
	switch {
	case !s.current(attempt):
		return Ignore
	case reason == reasonCancelled || reason == reasonError:
		if connection != s.connection {
			return Ignore
		}
		s.End()
		return Another
	case position > s.next:
		return s.fault(connection)
	case position < s.next:
		return Ignore
	}
	return s.finish(reason)
}

// Reset handles the failure of a connection that an error told of.
func (s *State) Reset(attempt, connection uint32) Step {
	if !s.current(attempt) || connection != s.connection {
		return Ignore
	}
	s.End()
	if s.next >= s.max {
		return s.finish(ReasonLength)
	}
	return Another
}

// Silence handles the time-out of the present connection: the same engine
// stream is tried on a new connection first, then another engine.
func (s *State) Silence() Step {
	if !s.active {
		return Ignore
	}
	return s.fault(s.connection)
}

func (s *State) fault(connection uint32) Step {
	switch {
	case connection != s.connection:
		return Ignore
	case s.next >= s.max:
		return s.finish(ReasonLength)
	case s.resuming:
		s.End()
		return Another
	}
	s.connection++
	s.resuming = true
	return Resume
}

func (s *State) current(attempt uint32) bool {
	return s.active && !s.finished && attempt == s.attempt
}

func (s *State) finish(reason string) Step {
	if !s.finished {
		s.finished, s.reason = true, reason
	}
	s.End()
	return Finish
}
