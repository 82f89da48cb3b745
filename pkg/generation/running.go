package generation

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/replica"
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
	st      *replica.Stream
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
	at      replica.Engine
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

func newRunning(s *Service, st *replica.Stream, r Request, state State, last replica.Engine) *running {
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

// adopt tries to resume the engine stream of the owner before.
func (g *running) adopt() bool {
	g.lostAt = time.Now()
	if g.at.Stream == "" || g.state.Next() >= g.request.MaxTokens {
		return false
	}
	g.engine = g.service.connect(g.at.Address)
	ctx, cancel := context.WithTimeout(g.ctx, resumeLimit)
	defer cancel()
	stream, err := g.engine.Resume(ctx, g.at.Stream, g.state.Next())
	if err != nil {
		g.cancelEngine()
		return false
	}
	g.state.Adopt()
	g.connected(stream)
	return true
}

// begin starts the next attempt. It reports false when the generation ended.
func (g *running) begin() bool {
	backoff := retryFirst
	for tries := 1; ; tries++ {
		if g.state.Next() >= g.request.MaxTokens {
			g.state.Begin()
			g.finish()
			return false
		}
		lease, err := g.acquire()
		if err == nil {
			g.lease, g.granted, g.first, g.from = lease, time.Now(), 0, g.state.Next()
			if err = g.try(); err == nil {
				return true
			}
		}
		if g.ctx.Err() != nil || g.taken() {
			g.stopped()
			return false
		}
		var refusal *broker.Refusal
		refused := errors.As(err, &refusal)
		if final(err) || refused && !g.started && len(g.exclude) == 0 {
			g.giveUp(err)
			return false
		}
		if refused && !g.started {
			g.exclude = nil
		} else if !refused && tries < quickTries {
			continue
		}
		if !g.pause(backoff) {
			g.stopped()
			return false
		}
		backoff = min(2*backoff, retryMost)
	}
}

// acquire waits for a slot, at most as long as this instance owns the stream.
func (g *running) acquire() (broker.Lease, error) {
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	go func() {
		select {
		case <-g.st.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	return g.service.slots.Acquire(ctx, g.ask())
}

// final reports whether an error recurs at every engine.
func final(err error) bool {
	var e *engine.Error
	return errors.As(err, &e) && e.Reason == engine.BadRequest
}

func (g *running) giveUp(err error) {
	if !g.started {
		g.refuse(err)
		return
	}
	g.service.log.Warn("generation cannot be continued", "stream", g.st.Name(), "error", err)
	_ = g.st.Finish(reasonError)
}

func (g *running) taken() bool {
	select {
	case <-g.st.Lost():
		return true
	default:
		return false
	}
}

// pause waits between two requests for a slot.
func (g *running) pause(d time.Duration) bool {
	g.timer.Reset(d)
	select {
	case <-g.timer.C:
		return true
	case <-g.ctx.Done():
	case <-g.st.Lost():
	}
	return false
}

func (g *running) ask() broker.Request {
	now := time.Now()
	g.exclude = slices.DeleteFunc(g.exclude, func(x excluded) bool { return now.After(x.until) })
	var exclude []string
	for _, x := range g.exclude {
		exclude = append(exclude, x.id)
	}
	return broker.Request{
		Pool: g.request.Model, Organisation: g.request.Organisation, Rank: g.request.Rank,
		EstimatedTokens: g.request.MaxTokens - g.state.Next(),
		PrefixHash:      xxhash.Sum64String(g.request.Prompt[:min(len(g.request.Prompt), prefixBytes)]),
		Exclude:         exclude, ResumedTokens: g.state.Next(),
	}
}

// try starts an attempt at the granted backend server.
func (g *running) try() error {
	id, address := g.lease.Backend()
	record, ok := g.st.Record()
	if !ok {
		g.release(broker.Cancelled)
		return replica.ErrTakenOver
	}
	g.state.Begin()
	g.engine = g.service.connect(address)
	g.at = replica.Engine{
		Address: address, Attempt: g.state.Attempt(),
		Stream: g.st.Name() + "." + strconv.FormatUint(g.st.Epoch(), 10) + "." +
			strconv.FormatUint(uint64(g.state.Attempt()), 10),
	}
	ctx, cancel := context.WithTimeout(g.ctx, silenceLimit)
	defer cancel()
	stream, err := g.engine.Start(ctx, engine.Request{
		Stream: g.at.Stream, Model: g.request.Model, Prompt: g.request.Prompt, Prefix: record.Tokens,
		MaxTokens: g.request.MaxTokens, Urgent: g.request.Rank == document.Urgent, Seed: Seed(g.st.Name()),
	})
	g.service.metrics.attempts.Add(g.ctx, 1)
	if err != nil {
		g.failedStart(id, err)
		return err
	}
	if g.started {
		g.service.metrics.recomputed.Add(g.ctx, int64(len(record.Tokens)))
	}
	g.admit()
	if err := g.st.SetEngine(g.at); err != nil {
		stream.Close()
		g.cancelEngine()
		return err
	}
	g.connected(stream)
	return nil
}

func (g *running) admit() {
	if !g.started {
		g.started = true
		close(g.admitted)
	}
}

func (g *running) avoid(id string, d time.Duration) {
	g.exclude = append(g.exclude, excluded{id: id, until: time.Now().Add(d)})
}

func (g *running) failedStart(id string, err error) {
	g.state.End()
	var e *engine.Error
	if errors.As(err, &e) && e.Reason == engine.Refused {
		g.avoid(id, excludeFull)
	} else {
		g.avoid(id, excludeFailed)
	}
	switch {
	case errors.As(err, &e) && e.Reason == engine.Refused:
		g.release(broker.Refused)
	case errors.As(err, &e) && e.Reason == engine.BadRequest:
		g.release(broker.Cancelled)
	default:
		g.release(broker.Failed)
	}
	if errors.As(err, &e) && e.Reason == engine.Broken {
		// The engine may run it, so the request cannot be refused any more.
		g.admit()
		g.cancelEngine()
	}
}

// connected reads the events of a new connection.
func (g *running) connected(stream engine.Stream) {
	if g.stream != nil {
		g.stream.Close()
	}
	g.stream = stream
	g.lastSeen = time.Now()
	go g.pump(stream, g.state.Attempt(), g.state.Connection())
}

func (g *running) pump(stream engine.Stream, attempt, connection uint32) {
	for {
		e, err := stream.Next(g.ctx)
		select {
		case g.events <- event{attempt: attempt, connection: connection, Event: e, err: err}:
		case <-g.ctx.Done():
			return
		}
		if err != nil || e.Kind == engine.Finished {
			return
		}
	}
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
	if errors.Is(g.st.Append(e.Position, e.Text), replica.ErrTooLarge) {
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

// resume connects again to the engine stream in the background.
func (g *running) resume() {
	g.lastSeen = time.Now()
	attempt, connection, from := g.state.Attempt(), g.state.Connection(), g.state.Next()
	eng, name := g.engine, g.at.Stream
	g.service.metrics.reconnects.Add(g.ctx, 1)
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, resumeLimit)
		defer cancel()
		stream, err := eng.Resume(ctx, name, from)
		select {
		case g.events <- event{attempt: attempt, connection: connection, err: err, stream: stream}:
		case <-g.ctx.Done():
			if stream != nil {
				stream.Close()
			}
		}
	}()
}

// leave gives up the present attempt; the engine is told in the background.
func (g *running) leave(result broker.Result) {
	if g.stream != nil {
		g.stream.Close()
		g.stream = nil
	}
	if g.lease != nil && result == broker.Failed {
		id, _ := g.lease.Backend()
		g.avoid(id, excludeFailed)
	}
	g.cancelEngine()
	g.release(result)
}

func (g *running) release(result broker.Result) {
	if g.lease == nil {
		return
	}
	g.lease.Release(broker.Usage{
		Result: result, Tokens: g.state.Next() - g.from, FirstToken: g.first,
	})
	g.lease = nil
}

// cancelEngine ends the present attempt at its engine, which may not answer at
// the moment.
func (g *running) cancelEngine() {
	if g.engine == nil {
		return
	}
	eng, name, parent := g.engine, g.at.Stream, g.service.ctx
	go func() {
		for range cancelTries {
			ctx, cancel := context.WithTimeout(parent, cancelTimeout)
			err := eng.Cancel(ctx, name)
			cancel()
			var e *engine.Error
			if err == nil || parent.Err() != nil ||
				errors.As(err, &e) && (e.Reason == engine.UnknownStream || e.Reason == engine.NotSent) {
				return
			}
		}
	}()
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
