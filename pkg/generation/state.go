package generation

// Action is what the generation has to do after an event.
type Action uint8

// Actions.
const (
	// Ignore means that nothing has to be done.
	Ignore Action = iota
	// Accept means that the token is the next one of the answer, or that a new
	// attempt was started.
	Accept
	// Resume means that a new connection to the same engine stream is needed.
	Resume
	// NewAttempt means that another engine has to continue after the tokens
	// received so far.
	NewAttempt
	// Finish means that the answer is complete.
	Finish
)

// Finish reasons. Cancelled and error mark an engine stream that ended early.
const (
	reasonCancelled = "cancelled"
	reasonError     = "error"
	// ReasonLength means that the answer reached its token limit.
	ReasonLength = "length"
)

// State is the recovery state machine of one generation. It does no I/O and reads
// no clock. Attempts and connections are numbered: events of earlier attempts and
// failures of earlier connections are ignored.
type State struct {
	maxTokens    int
	nextPosition int
	attempt      uint32
	connection   uint32
	// active is set while the current attempt may add tokens, resuming until a
	// new connection to its engine stream delivers an event.
	active       bool
	resuming     bool
	finished     bool
	finishReason string
}

// NewState returns the state of a generation that has next tokens after the given
// number of attempts.
func NewState(maxTokens, next int, attempts uint32) State {
	return State{maxTokens: maxTokens, nextPosition: next, attempt: attempts}
}

// NextPosition returns the position of the next token.
func (s *State) NextPosition() int { return s.nextPosition }

// Attempt returns the number of the current attempt.
func (s *State) Attempt() uint32 { return s.attempt }

// Connection returns the number of the current connection.
func (s *State) Connection() uint32 { return s.connection }

// Resuming reports whether a new connection to the same engine stream has yet to
// deliver its first event.
func (s *State) Resuming() bool { return s.resuming }

// FinishReason returns the finish reason; ok reports whether the answer is complete.
func (s *State) FinishReason() (reason string, ok bool) { return s.finishReason, s.finished }

// StartAttempt ends the current attempt and starts the next one. If no tokens are
// missing, it finishes the generation instead.
func (s *State) StartAttempt() Action {
	if s.finished || s.nextPosition >= s.maxTokens {
		return s.finish(ReasonLength)
	}
	s.attempt++
	s.connection++
	s.active, s.resuming = true, false
	return Accept
}

// ResumeAttempt continues the last attempt of the previous owner on a new connection.
func (s *State) ResumeAttempt() {
	s.connection++
	s.active, s.resuming = true, true
}

// EndAttempt ends the current attempt; its later events are ignored.
func (s *State) EndAttempt() { s.active, s.resuming = false, false }

// FinishEarly finishes the generation with the tokens received so far.
func (s *State) FinishEarly(reason string) Action { return s.finish(reason) }

// HandleToken handles a token of an attempt.
func (s *State) HandleToken(attempt, connection uint32, position int) Action {
	if !s.isCurrent(attempt) || position < s.nextPosition {
		return s.endResume(attempt, connection)
	}
	if position > s.nextPosition {
		return s.handleConnectionFault(connection)
	}
	if s.nextPosition >= s.maxTokens {
		return s.finish(ReasonLength)
	}
	s.nextPosition++
	s.endResume(attempt, connection)
	return Accept
}

// HandleHeartbeat handles a heartbeat. The first event of a new connection
// completes the resume.
func (s *State) HandleHeartbeat(attempt, connection uint32) Action {
	return s.endResume(attempt, connection)
}

// endResume completes a resume when the event is of the current connection.
func (s *State) endResume(attempt, connection uint32) Action {
	if s.isCurrent(attempt) && connection == s.connection {
		s.resuming = false
	}
	return Ignore
}

// HandleEnd handles the end event of an attempt; its position is the token count.
func (s *State) HandleEnd(attempt, connection uint32, position int, reason string) Action {
	switch {
	case !s.isCurrent(attempt):
		return Ignore
	case reason == reasonCancelled || reason == reasonError:
		if connection != s.connection {
			return Ignore
		}
		s.EndAttempt()
		return NewAttempt
	case position > s.nextPosition:
		return s.handleConnectionFault(connection)
	case position < s.nextPosition:
		return Ignore
	}
	return s.finish(reason)
}

// HandleReset handles a connection that failed with an error.
func (s *State) HandleReset(attempt, connection uint32) Action {
	if !s.isCurrent(attempt) || connection != s.connection {
		return Ignore
	}
	s.EndAttempt()
	if s.nextPosition >= s.maxTokens {
		return s.finish(ReasonLength)
	}
	return NewAttempt
}

// HandleSilence handles the silence timeout of the current connection: the engine
// stream is first resumed on a new connection, and if that connection is silent
// too, another engine is used.
func (s *State) HandleSilence() Action {
	if !s.active {
		return Ignore
	}
	return s.handleConnectionFault(s.connection)
}

// handleConnectionFault resumes the engine stream, or requests a new attempt if a
// resume is already under way.
func (s *State) handleConnectionFault(connection uint32) Action {
	switch {
	case connection != s.connection:
		return Ignore
	case s.nextPosition >= s.maxTokens:
		return s.finish(ReasonLength)
	case s.resuming:
		s.EndAttempt()
		return NewAttempt
	}
	s.connection++
	s.resuming = true
	return Resume
}

// isCurrent reports whether events of the attempt may change the state.
func (s *State) isCurrent(attempt uint32) bool {
	return s.active && !s.finished && attempt == s.attempt
}

// finish completes the generation; the first finish reason is kept.
func (s *State) finish(reason string) Action {
	if !s.finished {
		s.finished, s.finishReason = true, reason
	}
	s.EndAttempt()
	return Finish
}
