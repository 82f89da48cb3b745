package generation

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

// session reads the answer for one caller.
type session struct {
	running  *running
	st       *streamrecord.Stream
	request  Request
	watch    chan struct{}
	position int
	ended    bool
	close    sync.Once
}

// newSession returns a session from a position on. The generation is nil when
// it has ended.
func newSession(g *running, st *streamrecord.Stream, r Request, position int) *session {
	return &session{running: g, st: st, request: r, watch: st.Watch(), position: position}
}

// Stream implements Session.
func (s *session) Stream() string { return s.st.Name() }

// Request implements Session.
func (s *session) Request() Request { return s.request }

// Next implements Session.
func (s *session) Next(ctx context.Context) (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	token, err := s.st.Read(ctx, s.watch, s.position)
	switch {
	case errors.Is(err, streamrecord.ErrTakenOver):
		return Event{}, ErrTakenOver
	case errors.Is(err, streamrecord.ErrGone):
		return Event{}, ErrLost
	case err != nil:
		return Event{}, err
	}
	event := Event{
		Position: s.position, Text: token.Text,
		Finished: token.Finished, FinishReason: token.FinishReason,
	}
	if token.Finished {
		s.ended = true
	} else {
		s.position++
	}
	return event, nil
}

// Close implements Session.
func (s *session) Close() {
	s.close.Do(func() {
		s.st.Unwatch(s.watch)
		if s.running != nil {
			s.running.detach()
		}
	})
}
