package generation

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

// session implements Session: it reads the stream record for one caller.
type session struct {
	generation   *generation
	stream       *streamrecord.Stream
	request      Request
	changes      chan struct{}
	nextPosition int
	ended        bool
	closeOnce    sync.Once
}

// newSession returns a session that starts at a position. The generation is nil
// if it has already ended.
func newSession(g *generation, st *streamrecord.Stream, r Request, position int) *session {
	return &session{generation: g, stream: st, request: r, changes: st.Watch(), nextPosition: position}
}

// StreamID implements Session.
func (s *session) StreamID() string { return s.stream.ID() }

// Request implements Session.
func (s *session) Request() Request { return s.request }

// Next implements Session.
func (s *session) Next(ctx context.Context) (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	token, err := s.stream.Read(ctx, s.changes, s.nextPosition)
	switch {
	case errors.Is(err, streamrecord.ErrTakenOver):
		return Event{}, ErrTakenOver
	case errors.Is(err, streamrecord.ErrGone):
		return Event{}, ErrUnrecoverable
	case err != nil:
		return Event{}, err
	}
	event := Event{
		Position: s.nextPosition, Text: token.Text,
		Finished: token.Finished, FinishReason: token.FinishReason,
	}
	if token.Finished {
		s.ended = true
	} else {
		s.nextPosition++
	}
	return event, nil
}

// Close implements Session.
func (s *session) Close() {
	s.closeOnce.Do(func() {
		s.stream.Unwatch(s.changes)
		if s.generation != nil {
			s.generation.detachSession()
		}
	})
}
