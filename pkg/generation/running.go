package generation

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

// prefixBytes is the length of the start of a prompt that chooses a backend
// server with a warm cache.
const prefixBytes = 256

// quickTries is the number of engines that are tried without a pause.
const quickTries = 4

// excludeFailed and excludeFull are how long a backend server is not tried
// again by the same generation after a failure or for lack of room. Without
// the exclusion over a refusal, a generation waited up to 3.9 s for the probe
// of a dead engine.
const (
	excludeFailed = 2 * time.Second
	excludeFull   = 200 * time.Millisecond
)

// ReasonDetached is the reason of the end of a stream without a caller.
const ReasonDetached = "detached"

// errAbandoned ends a generation whose caller left before anything ran.
var errAbandoned = errors.New("the caller left")

// running is one generation at its owner. The goroutine of run owns all fields
// below state.
type running struct {
	service *Service
	st      *streamrecord.Stream
	request Request
	// admitted is closed when the first attempt runs or the request is refused.
	admitted chan struct{}
	refused  error

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	sessions int
	ended    bool
	expiry   *time.Timer

	state   State
	started bool
	events  chan event
	lease   broker.Lease
	engine  engine.Engine
	at      streamrecord.Engine
	stream  engine.Stream
	exclude []excluded
	lostAt  time.Time
	// granted and from are the time and the position at which the lease began.
	granted  time.Time
	from     int
	first    time.Duration
	lastSeen time.Time
	timer    *time.Timer
}

// excluded is a backend server that is not tried again for a while.
type excluded struct {
	id    string
	until time.Time
}

// event is an engine event with the connection that it came from. A non-nil
// stream is a new connection to the same engine stream.
type event struct {
	attempt, connection uint32
	engine.Event
	err    error
	stream engine.Stream
}

func newRunning(s *Service, st *streamrecord.Stream, r Request, state State, last streamrecord.Engine) *running {
	g := &running{
		service: s, st: st, request: r, admitted: make(chan struct{}),
		state: state, at: last, events: make(chan event, 16),
	}
	g.started = last.Address != ""
	g.ctx, g.cancel = context.WithCancelCause(s.ctx)
	g.timer = time.NewTimer(time.Hour)
	return g
}

// attach adds a caller.
func (g *running) attach(position int) *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions++
	if g.expiry != nil {
		g.expiry.Stop()
		g.expiry = nil
	}
	return newSession(g, g.st, g.request, position)
}

// wait attaches a caller once the first attempt runs.
func (g *running) wait(ctx context.Context, position int) (Session, error) {
	session := g.attach(position)
	select {
	case <-g.admitted:
	case <-ctx.Done():
		session.Close()
		g.abandon()
		return nil, ctx.Err()
	}
	if g.refused != nil {
		session.Close()
		return nil, g.refused
	}
	return session, nil
}

// detach removes a caller; without callers the generation ends after a while.
func (g *running) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions--
	g.expireDetached()
}

// watchDetached ends the generation after a while if no caller attaches.
func (g *running) watchDetached() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireDetached()
}

func (g *running) expireDetached() {
	if g.sessions == 0 && g.expiry == nil && !g.ended {
		g.expiry = time.AfterFunc(g.service.detached, func() { g.cancel(nil) })
	}
}

// abandon ends the generation if nothing runs yet and no caller waits for it.
func (g *running) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.admitted:
	default:
		if g.sessions == 0 {
			g.cancel(errAbandoned)
		}
	}
}

// run goes on until the answer is complete, the ownership ends, or nobody
// wants the answer any more.
func (g *running) run() {
	defer g.close()
	connected := false
	if g.started {
		close(g.admitted)
		connected = g.adopt()
	}
	for ended := false; !ended; connected = false {
		if !connected && !g.begin() {
			return
		}
		ended = g.follow()
	}
}

func (g *running) close() {
	g.cancel(nil)
	g.timer.Stop()
	if g.stream != nil {
		g.stream.Close()
	}
	g.release(broker.Cancelled)
	if !g.started && g.refused == nil {
		err := g.ctx.Err()
		if g.taken() {
			err = ErrTakenOver
		}
		g.refuse(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.expiry != nil {
		g.expiry.Stop()
	}
}

// refuse ends a generation of which nothing ran.
func (g *running) refuse(err error) {
	g.refused = err
	g.st.Drop()
	close(g.admitted)
}

// follow handles the events of the present attempt. It reports true when the
// generation ended and false when another engine has to go on.
func (g *running) follow() bool {
	for {
		g.timer.Reset(time.Until(g.deadline()))
		var preempted <-chan struct{}
		if g.lease != nil {
			preempted = g.lease.Preempted()
		}
		var step Step
		result := broker.Failed
		select {
		case e := <-g.events:
			step = g.handle(e)
		case now := <-g.timer.C:
			if now.Before(g.deadline()) {
				continue
			}
			if g.lostAt.IsZero() {
				g.lostAt = g.lastSeen
			}
			step = g.state.Silence()
		case <-preempted:
			g.state.End()
			g.lostAt = time.Now()
			step, result = Another, broker.Cancelled
		case <-g.st.Lost():
			g.stopped()
			return true
		case <-g.ctx.Done():
			g.stopped()
			return true
		}
		switch step {
		case Resume:
			g.resume()
		case Another:
			g.leave(result)
			return false
		case Finish:
			g.finish()
			return true
		}
	}
}

// deadline returns the time at which the present connection counts as silent.
func (g *running) deadline() time.Time {
	if g.state.Resuming() {
		return g.lastSeen.Add(resumeLimit)
	}
	return g.lastSeen.Add(silenceLimit)
}

// handle passes an engine event to the state.
func (g *running) handle(e event) Step {
	current := e.attempt == g.state.Attempt() && e.connection == g.state.Connection()
	if e.stream != nil {
		if !current || !g.state.Resuming() {
			e.stream.Close()
			return Ignore
		}
		g.connected(e.stream)
		return Ignore
	}
	if e.err != nil {
		if current && g.lostAt.IsZero() {
			g.lostAt = time.Now()
		}
		return g.state.Reset(e.attempt, e.connection)
	}
	if current {
		g.lastSeen = time.Now()
	}
	switch e.Kind {
	case engine.Token:
		step := g.state.Token(e.attempt, e.connection, e.Position)
		if step == Accept && !g.accept(e) {
			return g.state.Stop(ReasonLength)
		}
		return step
	case engine.Finished:
		return g.state.EngineEnd(e.attempt, e.connection, e.Position, e.FinishReason)
	}
	return g.state.Alive(e.attempt, e.connection)
}

// accept adds the next token to the record. It reports false when the record
// has no room for it.
func (g *running) accept(e event) bool {
	if errors.Is(g.st.Append(e.Position, e.Text), streamrecord.ErrTooLarge) {
		g.cancelEngine()
		return false
	}
	if g.first == 0 && g.lease != nil {
		g.first = time.Since(g.granted)
	}
	if !g.lostAt.IsZero() {
		g.service.metrics.resume.Record(g.ctx, time.Since(g.lostAt).Seconds())
		g.lostAt = time.Time{}
	}
	return true
}

// finish records the end of a complete answer.
func (g *running) finish() {
	reason, _ := g.state.Finished()
	_ = g.st.Finish(reason)
	g.release(broker.OK)
}

// stopped handles the end of the ownership or of the interest in the answer.
// After a takeover, and when the process exits, the engine stream is left to
// the next owner.
func (g *running) stopped() {
	if g.taken() || !g.started || g.service.ctx.Err() != nil {
		return
	}
	g.cancelEngine()
	_ = g.st.Finish(ReasonDetached)
}
