package generation

// Action is what the generation has to do after an event.
type Action uint8

// Actions.
const (
	// Ignore means that nothing has to be done.
	Ignore Action = iota
	// Accept means that the token is the next one of the answer; after
	// StartAttempt it means that the attempt was started.
	Accept
	// Reconnect means that a new connection to the same engine stream is needed.
	Reconnect
	// NewAttempt means that another engine has to continue after the tokens
	// received so far.
	NewAttempt
	// Finish means that the answer is complete.
	Finish
)

// Finish reasons of engine streams. reasonCancelled and reasonError mark an engine
// stream that ended before the answer was complete.
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
	// active is set while the current attempt may add tokens. reconnecting is set
	// from a reconnect until the new connection delivers its first event.
	active       bool
	reconnecting bool
	finished     bool
	finishReason string
}

// NewState returns the state of a generation that has tokenCount tokens and has
// made the given number of attempts.
func NewState(maxTokens, tokenCount int, attempts uint32) State {
	return State{maxTokens: maxTokens, nextPosition: tokenCount, attempt: attempts}
}

// NextPosition returns the position of the next token.
func (s *State) NextPosition() int { return s.nextPosition }

// Attempt returns the number of the current attempt.
func (s *State) Attempt() uint32 { return s.attempt }

// Connection returns the number of the current connection.
func (s *State) Connection() uint32 { return s.connection }

// Reconnecting reports whether a new connection to the same engine stream has yet to
// deliver its first event.
func (s *State) Reconnecting() bool { return s.reconnecting }

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
	s.active, s.reconnecting = true, false
	return Accept
}

// ReconnectAttempt continues the last attempt of the previous owner on a new connection.
func (s *State) ReconnectAttempt() {
	s.connection++
	s.active, s.reconnecting = true, true
}

// EndAttempt ends the current attempt; its later events are ignored.
func (s *State) EndAttempt() { s.active, s.reconnecting = false, false }

// FinishEarly finishes the generation with the tokens received so far.
func (s *State) FinishEarly(reason string) Action { return s.finish(reason) }

// HandleToken handles a token of an attempt.
func (s *State) HandleToken(attempt, connection uint32, position int) Action {
	if !s.isCurrent(attempt) || position < s.nextPosition {
		return s.endReconnect(attempt, connection)
	}
	if position > s.nextPosition {
		return s.reconnect(connection)
	}
	if s.nextPosition >= s.maxTokens {
		return s.finish(ReasonLength)
	}
	s.nextPosition++
	s.endReconnect(attempt, connection)
	return Accept
}

// HandleHeartbeat handles a heartbeat. The first event of a new connection
// completes the reconnect.
func (s *State) HandleHeartbeat(attempt, connection uint32) Action {
	return s.endReconnect(attempt, connection)
}

// endReconnect completes a reconnect when the event is of the current connection.
func (s *State) endReconnect(attempt, connection uint32) Action {
	if s.isCurrent(attempt) && connection == s.connection {
		s.reconnecting = false
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
		return s.reconnect(connection)
	case position < s.nextPosition:
		return Ignore
	}
	return s.finish(reason)
}

// HandleConnectionError handles a connection that failed with an error.
func (s *State) HandleConnectionError(attempt, connection uint32) Action {
	if !s.isCurrent(attempt) || connection != s.connection {
		return Ignore
	}
	s.EndAttempt()
	if s.nextPosition >= s.maxTokens {
		return s.finish(ReasonLength)
	}
	return NewAttempt
}

// HandleSilence handles the silence timeout of the current connection: the owner
// first reconnects to the engine stream, and if that connection is silent too, uses
// another engine.
func (s *State) HandleSilence() Action {
	if !s.active {
		return Ignore
	}
	return s.reconnect(s.connection)
}

// reconnect handles a silent or incomplete connection: it requests a reconnect, or
// a new attempt if a reconnect is already under way.
func (s *State) reconnect(connection uint32) Action {
	switch {
	case connection != s.connection:
		return Ignore
	case s.nextPosition >= s.maxTokens:
		return s.finish(ReasonLength)
	case s.reconnecting:
		s.EndAttempt()
		return NewAttempt
	}
	s.connection++
	s.reconnecting = true
	return Reconnect
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
