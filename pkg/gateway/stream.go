package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

var (
	errSilent  = eris.New("the engine is silent")
	errRefused = eris.New("the engine refused the run")
	errFailed  = eris.New("the engine answered with a failure")
	errCaller  = eris.New("the caller has left")
)

// causeOf returns the label of the end of an attempt.
func causeOf(err error) string {
	var notSent *upstream.NotSentError
	switch {
	case errors.Is(err, errMoved):
		return "moved"
	case errors.Is(err, errSilent):
		return "silent"
	case errors.Is(err, errRefused):
		return "refused"
	case errors.Is(err, errFailed):
		return "failure"
	case errors.As(err, &notSent):
		return "unreachable"
	}
	return "broken_off"
}

// streaming is the state of one stream over all its attempts.
type streaming struct {
	g   *Gateway
	j   *job
	ctx context.Context
	w   http.ResponseWriter
	out *http.ResponseController

	// begun tells that the caller has the head of the answer.
	begun bool
	// last is the identifier of the last event that the caller has.
	last string
	// again is an engine that broke off and may still have the prompt, empty if
	// there is none.
	again string
	// broke is the last engine that broke off, breaks how often in a row.
	broke  string
	breaks int
	// excluded lists the engines that failed or refused this run, newest last.
	excluded []string
	copies   copies
	// engine and first are the identifiers of the last and the first engine tried.
	engine, first string
	tries         int
	// ran counts the engines that may have worked on the run.
	ran    int
	pauses pauses
	// failure is the last answer of an engine that tells of a failure.
	failure *result
}

// stream serves a request whose answer is a stream of events.
func (g *Gateway) stream(ctx context.Context, w http.ResponseWriter, j *job) *outcome {
	s := &streaming{g: g, j: j, ctx: ctx, w: w, out: http.NewResponseController(w), last: j.fields.LastEvent}
	if s.last != "" {
		g.mu.Lock()
		known := g.memory.Engines(j.fields.Subject, j.started)
		g.mu.Unlock()
		g.log.Info("caller goes on with a stream", "request", j.fields.ID, "last_event", s.last, "prompt_at", known)
	}
	for {
		err := s.attempt()
		if err == nil {
			s.logServed()
			g.release(j.service, s.copies.take())
			return nil
		}
		s.pauses.cause = err.Error()
		if errors.Is(err, errCaller) || !s.mayGoOn() {
			fault := s.giveUp(err)
			if fault != nil {
				fault.servers = append(s.excluded, s.engine)
			}
			return fault
		}
		g.metrics.resume(causeOf(err))
		g.log.Info("stream goes on elsewhere", "request", j.fields.ID, "last_event", s.last, "cause", err.Error(),
			"engine", s.engine, "tries", s.tries, "copy_at", s.copyAt())
	}
}

// mayGoOn tells whether another engine may be tried.
func (s *streaming) mayGoOn() bool {
	if s.ctx.Err() != nil || s.tries >= maxStreamTries {
		return false
	}
	if s.ran == 0 {
		return true
	}
	return s.j.route.Repeatable() && s.ran < s.j.route.MaxServers
}

// giveUp ends the stream. One that has begun is broken off, so that it does not
// look complete; its caller may go on with it elsewhere.
func (s *streaming) giveUp(err error) *outcome {
	if errors.Is(err, errCaller) {
		return nil
	}
	if s.begun {
		s.g.log.Warn("stream broken off", "request", s.j.fields.ID, "last_event", s.last, "cause", err.Error(),
			"engine", s.engine, "tries", s.tries, "stopping", s.g.stopping.Load())
		panic(http.ErrAbortHandler)
	}
	if s.failure != nil {
		return s.g.deliver(s.ctx, s.w, s.failure)
	}
	switch {
	case s.ran == 0:
		return refused("no engine: "+err.Error(), s.g.comeBackFor(s.j))
	case s.ctx.Err() != nil:
		return unknown(http.StatusGatewayTimeout, "no answer in time: "+err.Error())
	}
	return unknown(http.StatusBadGateway, err.Error())
}

// attempt sends the run to one engine and passes its events on.
func (s *streaming) attempt() error {
	engine, source := s.choose()
	if engine == nil {
		return errors.Join(eris.New("no engine takes work"), s.pauseForEngine())
	}
	run := s.demand()
	var backup *placement.Server
	moves := source == nil && s.movesOn(engine, run)
	if !moves {
		// A run that moves gets its backup then: before the prompt was read, there
		// is nothing that a copy could save.
		backup = s.chooseBackup(engine, run)
	}
	s.tries++
	s.ran++
	s.engine = engine.ID
	if s.first == "" {
		s.first = engine.ID
	}
	s.notePlacement(engine, backup, source != nil)
	s.reserve(engine, backup, run.Tokens, 1)
	defer s.reserve(engine, backup, -run.Tokens, -1)

	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	watch := s.watchFirstEvent(ctx, cancel, engine)
	defer watch.stop()
	header := s.j.header.Clone()
	fields := ServerFields{
		Instance: engine.ID, Organisation: s.j.organisation, Patience: time.Until(s.j.deadline), LastEvent: s.last,
		Rank: s.urgency(),
	}
	if backup != nil {
		fields.Backup = backup.Address
	}
	if source != nil {
		fields.CopyAt, fields.CopyRun = source.source, source.handle
	}
	s.g.protocol.Prepare(header, fields)
	response, err := s.g.client.Do(ctx, engine.Address, s.g.connectionLimit(s.j.service), s.g.request(s.j, header))
	if err != nil {
		return s.lost(engine, watch, err)
	}
	defer response.Abort()
	if err := s.checkHead(engine, response); err != nil {
		return err
	}
	s.copies.set(s.backupCopy(backup))
	var r *relocation
	if moves {
		r = &relocation{done: make(chan struct{})}
		watch.onFirstEvent = func() { go s.relocate(ctx, engine, run, r) }
	} else {
		go s.protect(ctx, engine, run)
	}
	err = s.pass(ctx, cancel, engine, response, watch)
	if err != nil && !errors.Is(err, errCaller) && r != nil && watch.read && s.moved(r) {
		err = errMoved
	}
	if err == nil {
		response.Finish()
		s.g.mu.Lock()
		s.g.pool(s.j.service.Name).Succeeded(engine.ID, time.Since(s.j.started), time.Now())
		s.g.mu.Unlock()
	}
	return err
}

// lost handles an attempt without an answer. There is no copy yet, as the prompt
// was not read.
func (s *streaming) lost(engine *placement.Server, watch *firstEventWatch, err error) error {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		s.ran--
	}
	if s.ctx.Err() != nil {
		return err
	}
	if watch.fired() {
		s.exclude(engine, true)
		return errSilent
	}
	if notSent == nil && s.tryAgainAt(engine) {
		return err
	}
	s.exclude(engine, true)
	return err
}

// checkHead decides on the head of an answer.
func (s *streaming) checkHead(engine *placement.Server, response *upstream.Response) error {
	fields := s.g.noteAnswer(s.j, engine.ID, response)
	if response.StatusCode >= http.StatusInternalServerError && !fields.NotRun {
		s.g.mu.Lock()
		s.g.pool(s.j.service.Name).Failed(engine.ID)
		s.g.mu.Unlock()
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response, answerBytes))
	if err == nil {
		response.Finish()
	}
	if fields.NotRun {
		s.ran--
		s.exclude(engine, false)
		if !fields.Misdirected {
			pause(s.ctx, refusalPause)
		}
		return eris.Wrapf(errRefused, "status %d", response.StatusCode)
	}
	s.exclude(engine, false)
	if err == nil && !s.begun {
		s.failure = &result{status: response.StatusCode, header: response.Header, body: body}
	}
	if response.StatusCode < http.StatusInternalServerError {
		// The request itself is at fault; no other engine would take it.
		s.ran = s.j.route.MaxServers
	}
	return errFailed
}

// pass passes events on until the stream is complete.
func (s *streaming) pass(
	ctx context.Context, cancel context.CancelFunc, engine *placement.Server, response *upstream.Response, watch *firstEventWatch,
) error {
	events := newEventReader(response)
	silent := time.AfterFunc(time.Hour, cancel)
	defer silent.Stop()
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return s.finish(response)
		}
		if err != nil {
			return s.broken(ctx, engine, err)
		}
		watch.firstEvent()
		silent.Reset(s.silence())
		if e.id != "" && !follows(e.id, s.last) {
			continue
		}
		if err := s.send(response, e); err != nil {
			return err
		}
	}
}

// broken handles an engine that ended a stream early. One that fell silent is
// passed over; one that broke off may be there and have the prompt, so it is tried
// again once, unless there is a copy.
func (s *streaming) broken(ctx context.Context, engine *placement.Server, err error) error {
	if s.ctx.Err() == nil && ctx.Err() != nil {
		s.exclude(engine, true)
		return errSilent
	}
	if !s.tryAgainAt(engine) {
		s.exclude(engine, false)
	}
	return eris.Wrap(err, "read an event")
}

// tryAgainAt plans another attempt at an engine that broke off: it may be there
// and have the prompt. It is false after a few of them.
func (s *streaming) tryAgainAt(engine *placement.Server) bool {
	if s.broke != engine.ID {
		s.broke, s.breaks = engine.ID, 0
	}
	s.breaks++
	if s.breaks > maxBreaks {
		return false
	}
	s.again = engine.ID
	return true
}

// send passes one event to the caller.
func (s *streaming) send(response *upstream.Response, e event) error {
	s.begin(response)
	s.pauses.note(time.Now(), s.j.started)
	if _, err := s.w.Write(e.data); err != nil {
		return errCaller
	}
	if err := s.out.Flush(); err != nil {
		return errCaller
	}
	if e.id != "" {
		s.last = e.id
	}
	return nil
}

// begin sends the head of the first engine's answer.
func (s *streaming) begin(response *upstream.Response) {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.w.Header(), response.Header)
	s.w.WriteHeader(response.StatusCode)
}

// finish ends a complete stream.
func (s *streaming) finish(response *upstream.Response) error {
	s.begin(response)
	return nil
}
