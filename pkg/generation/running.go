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

// prefixHashBytes is the length of the prompt prefix whose hash routes requests
// with equal prefixes to the same backend server, for its prefix cache.
const prefixHashBytes = 256

// maxImmediateAttempts is the number of attempts before retries use a backoff.
const maxImmediateAttempts = 4

// failedExclusionTTL and refusedExclusionTTL are the times for which a generation
// excludes a backend server after a failure and after a refusal for lack of
// capacity.
const (
	failedExclusionTTL  = 2 * time.Second
	refusedExclusionTTL = 200 * time.Millisecond
)

// ReasonDetached is the finish reason of a stream that had no caller for too long.
const ReasonDetached = "detached"

// errNoCaller cancels a generation that has no caller before its first attempt runs.
var errNoCaller = errors.New("no caller is attached to the generation that waits for a slot")

// generation runs one stream at the instance that owns it. The fields from state
// on belong to the goroutine of run.
type generation struct {
	service *Service
	stream  *streamrecord.Stream
	request Request
	// admissionDecided is closed when the first attempt runs or the request is
	// refused. In the second case refusal is set before.
	admissionDecided chan struct{}
	refusal          error

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	sessionCount int
	ended        bool
	detachTimer  *time.Timer

	state State
	// admitted is set when the first attempt runs, or may run: from then on the
	// request cannot be refused.
	admitted     bool
	events       chan event
	lease        broker.Lease
	engine       engine.Engine
	location     streamrecord.EngineLocation
	engineStream engine.Stream
	exclusions   []exclusion
	engineLostAt time.Time
	// leaseGrantedAt and leaseStart are the time and the token position at
	// which the lease was granted.
	leaseGrantedAt     time.Time
	leaseStartPosition int
	timeToFirstToken   time.Duration
	// lastEventAt is the time of the last event of the current connection, or of
	// the request for this connection.
	lastEventAt time.Time
	timer       *time.Timer
}

// exclusion is a backend server that is not selected again before a given time.
type exclusion struct {
	id    string
	until time.Time
}

// event is an engine event with the connection that delivered it, or, if
// newStream is set, the connection that a reconnect opened.
type event struct {
	attempt, connection uint32
	engine.Event
	err       error
	newStream engine.Stream
}

func newGeneration(s *Service, st *streamrecord.Stream, r Request, state State, location streamrecord.EngineLocation) *generation {
	g := &generation{
		service: s, stream: st, request: r, admissionDecided: make(chan struct{}),
		state: state, location: location, events: make(chan event, 16),
	}
	g.admitted = location.Address != ""
	g.ctx, g.cancel = context.WithCancelCause(s.ctx)
	g.timer = time.NewTimer(time.Hour)
	return g
}

// attachSession adds a session from a position on and stops the detach timer.
func (g *generation) attachSession(position int) *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessionCount++
	if g.detachTimer != nil {
		g.detachTimer.Stop()
		g.detachTimer = nil
	}
	return newSession(g, g.stream, g.request, position)
}

// attachWhenAdmitted attaches a session and returns it when the first attempt
// runs. It returns an error if the request is refused.
func (g *generation) attachWhenAdmitted(ctx context.Context, position int) (Session, error) {
	session := g.attachSession(position)
	select {
	case <-g.admissionDecided:
	case <-ctx.Done():
		session.Close()
		g.cancelIfNotAdmitted()
		return nil, ctx.Err()
	}
	if g.refusal != nil {
		session.Close()
		return nil, g.refusal
	}
	return session, nil
}

// detachSession removes a session. Without sessions the generation ends after
// the detached timeout.
func (g *generation) detachSession() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessionCount--
	g.startDetachTimerLocked()
}

// startDetachTimer starts the detached timeout if no session is attached.
func (g *generation) startDetachTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startDetachTimerLocked()
}

// startDetachTimerLocked is startDetachTimer for callers that hold g.mu.
func (g *generation) startDetachTimerLocked() {
	if g.sessionCount == 0 && g.detachTimer == nil && !g.ended {
		g.detachTimer = time.AfterFunc(g.service.detachedTimeout, func() { g.cancel(nil) })
	}
}

// cancelIfNotAdmitted cancels the generation if it was not admitted yet and no
// session is attached.
func (g *generation) cancelIfNotAdmitted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.admissionDecided:
	default:
		if g.sessionCount == 0 {
			g.cancel(errNoCaller)
		}
	}
}

// run starts attempts until the answer is complete, the ownership ends, or the
// generation is cancelled because no caller is attached.
func (g *generation) run() {
	defer g.close()
	connected := false
	if g.admitted {
		close(g.admissionDecided)
		connected = g.reconnectPreviousAttempt()
	}
	for ended := false; !ended; connected = false {
		if !connected && !g.startNextAttempt() {
			return
		}
		ended = g.processAttempt()
	}
}

// close releases the resources of a generation that has ended.
func (g *generation) close() {
	g.cancel(nil)
	g.timer.Stop()
	if g.engineStream != nil {
		g.engineStream.Close()
	}
	g.releaseLease(broker.Cancelled)
	if !g.admitted && g.refusal == nil {
		err := g.ctx.Err()
		if g.ownershipEnded() {
			err = ErrTakenOver
		}
		g.refuse(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.detachTimer != nil {
		g.detachTimer.Stop()
	}
}

// refuse ends a generation that never ran and returns err to the waiting callers.
func (g *generation) refuse(err error) {
	g.refusal = err
	g.stream.Drop()
	close(g.admissionDecided)
}

// processAttempt handles the events of the current attempt until the attempt ends.
// It reports whether the generation has ended too; otherwise a new attempt is needed.
func (g *generation) processAttempt() bool {
	for {
		g.timer.Reset(time.Until(g.silenceDeadline()))
		var preempted <-chan struct{}
		if g.lease != nil {
			preempted = g.lease.Preempted()
		}
		var action Action
		outcome := broker.Failed
		select {
		case e := <-g.events:
			action = g.handleEvent(e)
		case now := <-g.timer.C:
			if now.Before(g.silenceDeadline()) {
				continue
			}
			if g.engineLostAt.IsZero() {
				g.engineLostAt = g.lastEventAt
			}
			action = g.state.HandleSilence()
		case <-preempted:
			g.state.EndAttempt()
			g.engineLostAt = time.Now()
			action, outcome = NewAttempt, broker.Cancelled
		case <-g.stream.Lost():
			g.finishDetached()
			return true
		case <-g.ctx.Done():
			g.finishDetached()
			return true
		}
		switch action {
		case Reconnect:
			g.reconnectEngineStream()
		case NewAttempt:
			g.endAttempt(outcome)
			return false
		case Finish:
			g.finish()
			return true
		}
	}
}

// silenceDeadline returns the time at which the current connection times out.
func (g *generation) silenceDeadline() time.Time {
	if g.state.Reconnecting() {
		return g.lastEventAt.Add(reconnectTimeout)
	}
	return g.lastEventAt.Add(silenceTimeout)
}

// handleEvent applies an engine event to the state and returns the action to take.
func (g *generation) handleEvent(e event) Action {
	current := e.attempt == g.state.Attempt() && e.connection == g.state.Connection()
	if e.newStream != nil {
		if !current || !g.state.Reconnecting() {
			e.newStream.Close()
			return Ignore
		}
		g.setEngineStream(e.newStream)
		return Ignore
	}
	if e.err != nil {
		if current && g.engineLostAt.IsZero() {
			g.engineLostAt = time.Now()
		}
		return g.state.HandleConnectionError(e.attempt, e.connection)
	}
	if current {
		g.lastEventAt = time.Now()
	}
	switch e.Kind {
	case engine.Token:
		action := g.state.HandleToken(e.attempt, e.connection, e.Position)
		if action == Accept && !g.appendToken(e) {
			return g.state.FinishEarly(ReasonLength)
		}
		return action
	case engine.Finished:
		return g.state.HandleEnd(e.attempt, e.connection, e.Position, e.FinishReason)
	}
	return g.state.HandleHeartbeat(e.attempt, e.connection)
}

// appendToken adds the next token to the stream record. It reports whether the token
// fits into the size limit of the record.
func (g *generation) appendToken(e event) bool {
	if errors.Is(g.stream.Append(e.Position, e.Text), streamrecord.ErrTooLarge) {
		g.cancelEngineStream()
		return false
	}
	if g.timeToFirstToken == 0 && g.lease != nil {
		g.timeToFirstToken = time.Since(g.leaseGrantedAt)
	}
	if !g.engineLostAt.IsZero() {
		g.service.metrics.resumeSeconds.Record(g.ctx, time.Since(g.engineLostAt).Seconds())
		g.engineLostAt = time.Time{}
	}
	return true
}

// finish records the end of a complete answer and releases the lease.
func (g *generation) finish() {
	reason, _ := g.state.FinishReason()
	_ = g.stream.Finish(reason)
	g.releaseLease(broker.OK)
}

// finishDetached cancels the engine stream and finishes the stream as detached. It
// does nothing before the admission, after a takeover and when the process exits: in
// the last two cases the engine stream keeps running for the next owner.
func (g *generation) finishDetached() {
	if g.ownershipEnded() || !g.admitted || g.service.ctx.Err() != nil {
		return
	}
	g.cancelEngineStream()
	_ = g.stream.Finish(ReasonDetached)
}
