package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

var (
	errSilent     = eris.New("the engine stopped responding")
	errRefused    = eris.New("the engine refused the run")
	errFailed     = eris.New("the engine returned an error response")
	errCallerLeft = eris.New("the caller disconnected")
)

// causeLabel returns the cause label for the error that ended an attempt.
func causeLabel(err error) string {
	var notSent *upstream.NotSentError
	switch {
	case errors.Is(err, errRelocated):
		return "moved"
	case errors.Is(err, errVersionMoved):
		return "rollout"
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

// streamState is the state of one stream across all its attempts.
type streamState struct {
	g          *Gateway
	req        *callerRequest
	ctx        context.Context
	w          http.ResponseWriter
	controller *http.ResponseController
	sends      *sendLedger
	limit      *limitWait
	// pending is the place of the stream in the admission queue. waitsForPlace is set by selectEngine.
	pending       placement.PendingStream
	waitsForPlace bool
	// excessDraw decides whether the stream is in excess, if its organisation is.
	excessDraw float64

	// headSent means that the head of the response was sent to the caller, with contentType.
	headSent    bool
	contentType string
	// lastEventID is the identifier of the last event that the caller received.
	lastEventID string
	// retryEngineID identifies the engine for the next attempt: it broke off the stream but
	// may still have the prompt cached. It is empty if there is none.
	retryEngineID string
	// brokenEngineID identifies the last engine that broke off the stream,
	// consecutiveBreakOffs is how often in a row it did so.
	brokenEngineID       string
	consecutiveBreakOffs int
	// excludedIDs lists the engines that failed or refused this run, the latest last.
	excludedIDs []string
	latestCopy  latestCopy
	// engineID and firstEngineID identify the last and the first engine tried.
	engineID, firstEngineID string
	// sentAt is when the latest attempt began.
	sentAt time.Time
	// attempts counts the attempts, including waits for an engine.
	attempts int
	// possibleRuns counts the attempts that an engine may have run.
	possibleRuns int
	pauseStats   pauseStats
	// errorResult is the last error response of an engine.
	errorResult *result
	// headReceived is set when the last engine has sent the head of a response, and
	// firstEventAt when it has sent an event.
	headReceived bool
	firstEventAt time.Time
	// eventsReceived counts the events that were received in the present attempt.
	eventsReceived atomic.Int64
	// ends counts the engines that ended under this stream.
	ends engineEnds
	// quarantined is set when an attempt is aborted because the prompt is suspected, and
	// quarantineRetryAfter when the prompt is not admitted.
	quarantined          atomic.Bool
	quarantineRetryAfter time.Duration
	// soundReported is set when the prompt of this stream has proved to be sound.
	soundReported bool
	// send and versionRun are the present attempt as far as rollouts need it, nil if there is none or they
	// are off. newFailures counts the attempts that failed, or were refused, at engines of a
	// new version.
	send        *versionSend
	versionRun  *versionRun
	newFailures int
}

// serveStream serves a request whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *callerRequest) *reply {
	s := &streamState{g: g, req: req, ctx: ctx, w: w, controller: http.NewResponseController(w), lastEventID: req.fields.LastEventID, sends: g.newSendLedger(req.service.Name)}
	defer s.sends.release()
	s.limit = g.newLimitWait(req, time.Duration(float64(req.route.Objective)*limitPatienceShare))
	defer s.endLimitWait()
	s.pending = placement.PendingStream{Rank: req.rank, OnTimeUntil: g.latestPlacement(req), Tokens: req.fields.PromptTokens}
	defer s.leaveAdmissionQueue()
	s.excessDraw = g.recordStreamDemand(req.service, req.organisation)
	if s.lastEventID != "" {
		g.mu.Lock()
		engines := g.promptLocations.CandidateEngines(req.fields.SessionPart, req.startedAt)
		g.mu.Unlock()
		g.log.Info("caller resumes a stream", "request", req.fields.ID, "last_event", s.lastEventID, "prompt_at", engines)
	}
	for {
		err := s.attempt()
		s.endStreamSend(err)
		if err == nil {
			s.logCompleted()
			g.releaseCopy(req.service, s.latestCopy.take())
			return nil
		}
		s.pauseStats.nextCause = err.Error()
		if errors.Is(err, errCallerLeft) || errors.Is(err, errQuarantined) || errors.Is(err, errRetryBudget) || errors.Is(err, errServerLimits) || errors.Is(err, errNoTimeLeft) || errors.Is(err, errCannotEnd) || !s.canContinue() {
			errReply := s.fail(err)
			if errReply != nil {
				errReply.servers = append(s.excludedIDs, s.engineID)
			}
			return errReply
		}
		g.metrics.countResume(causeLabel(err))
		copyHolderID, copyHandle := s.describeCopy()
		g.log.Info("stream attempt ended, resuming", "request", req.fields.ID, "last_event", s.lastEventID, "cause", err.Error(),
			"engine", s.engineID, "tries", s.attempts, "copy_at", copyHolderID, "copy_handle", copyHandle, "has_head", s.headReceived,
			"writing_ms", s.writingTime().Milliseconds(), "shared_parts", req.fields.SuspectParts())
	}
}

// writingTime returns how long the last engine had been writing when the attempt ended.
func (s *streamState) writingTime() time.Duration {
	if s.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(s.firstEventAt)
}

// canContinue reports whether another attempt may be made.
func (s *streamState) canContinue() bool {
	if s.ctx.Err() != nil || s.attempts >= maxStreamAttempts {
		return false
	}
	if s.possibleRuns == 0 {
		return true
	}
	return s.ends.certain.Load() < maxEnginesEnded && s.req.route.Retryable() && s.possibleRuns < s.req.route.MaxPossibleRuns
}

// fail ends the stream without a further attempt. It breaks off a stream that has begun,
// so that it does not look complete; the caller may resume it at another gateway.
func (s *streamState) fail(err error) *reply {
	if errors.Is(err, errCallerLeft) {
		return nil
	}
	if s.headSent {
		s.g.log.Warn("stream broken off", "request", s.req.fields.ID, "last_event", s.lastEventID, "cause", err.Error(),
			"engine", s.engineID, "tries", s.attempts, "stopping", s.g.stopping())
		panic(http.ErrAbortHandler)
	}
	if s.errorResult != nil {
		return s.g.forwardResponse(s.ctx, s.w, s.req, s.errorResult)
	}
	switch {
	case s.possibleRuns == 0 && errors.Is(err, errQuarantined):
		return newRefusal(err.Error(), s.quarantineRetryAfter)
	case s.possibleRuns == 0:
		return newRefusal("no engine accepted the run: "+err.Error(), s.g.retryAfter(s.req))
	case s.ctx.Err() != nil:
		return newReply(http.StatusGatewayTimeout, "no response before the deadline: "+err.Error())
	}
	return newReply(http.StatusBadGateway, err.Error())
}

// attempt sends the run to one engine and forwards its events. It returns nil when the
// stream is complete.
func (s *streamState) attempt() error {
	if !s.sends.beginWhenGranted(s.ctx, s.retryPurpose()) {
		return errRetryBudget
	}
	engine, resumeCopy := s.selectEngine()
	if s.waitsForPlace {
		var err error
		if engine, resumeCopy, err = s.waitForPlace(); err != nil {
			s.sends.cancel()
			return err
		}
	}
	if engine == nil {
		s.sends.cancel()
		return errors.Join(eris.Errorf("no engine available for service %q", s.req.service.Name), s.waitForEngine())
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if err := s.admitPrompt(cancel); err != nil {
		s.sends.cancel()
		return err
	}
	defer s.recordStarted()
	run := s.requirements()
	var backup *placement.Server
	mayRelocate := resumeCopy == nil && s.mayRelocate(engine, run)
	if !mayRelocate {
		// A run that may be relocated gets its copy after the prefill; before that there
		// is nothing to copy.
		backup = s.selectBackup(engine, run)
	}
	s.endLimitWait()
	s.sentAt = time.Now()
	s.attempts++
	s.possibleRuns++
	s.engineID = engine.ID
	s.headReceived, s.firstEventAt = false, time.Time{}
	s.eventsReceived.Store(0)
	if s.firstEngineID == "" {
		s.firstEngineID = engine.ID
	}
	prompt := s.promptToRead(engine, resumeCopy)
	s.recordPlacement(engine, backup, resumeCopy != nil)
	s.adjustReservation(engine, backup, run.Tokens, 1)
	defer s.adjustReservation(engine, backup, -run.Tokens, -1)
	s.startVersionRun(ctx, cancel, engine, run)

	watch := s.watchFirstEvent(ctx, cancel, engine)
	defer watch.stop()
	header := s.req.header.Clone()
	fields := ServerFields{
		ServerID: engine.ID, Organisation: s.req.organisation, TimeLeft: time.Until(s.req.deadline), LastEventID: s.lastEventID,
		QueuePriority: s.queuePriority(),
	}
	if backup != nil {
		fields.BackupAddress = backup.Address
	}
	if resumeCopy != nil {
		fields.CopyAddress, fields.CopyHandle = resumeCopy.sourceAddress, resumeCopy.handle
	}
	s.g.protocol.PrepareHeaders(header, fields)
	response, err := s.g.client.Do(ctx, engine.Address, s.g.connectionLimit(s.req.service), s.g.newUpstreamRequest(s.req, header))
	if err != nil {
		return s.handleNoResponse(engine, watch, err)
	}
	s.headReceived = true
	defer response.Abort()
	if err := s.checkResponseHead(cancel, engine, response); err != nil {
		return err
	}
	s.latestCopy.set(s.backupCopy(backup))
	var activeRelocation *relocation
	if mayRelocate {
		activeRelocation = &relocation{done: make(chan struct{})}
		watch.onFirstEvent = func() { go s.relocate(ctx, engine, run, activeRelocation) }
	} else {
		go s.maintainCopy(ctx, engine, run)
	}
	err = s.forwardEvents(ctx, cancel, engine, response, watch, prompt)
	if err == nil && response.EndsWithConnection() && activeRelocation != nil && activeRelocation.endedRun(s.ctx) {
		// Without a length, a run that the engine stopped on order ends like one that is complete.
		err = s.handleBrokenStream(ctx, engine, false, io.ErrUnexpectedEOF)
	}
	err = s.settleMove(response, err)
	if err != nil && !errors.Is(err, errCallerLeft) && !errors.Is(err, errVersionMoved) && activeRelocation != nil && watch.prefillDone && s.awaitRelocation(activeRelocation) {
		err = errRelocated
	}
	s.recordEngineEnd(engine, err)
	if err == nil {
		response.Release()
		s.recordWriting(true)
		s.g.mu.Lock()
		s.g.pool(s.req.service.Name).RecordSuccess(engine.ID, time.Since(s.req.startedAt), time.Now())
		s.g.mu.Unlock()
	}
	return err
}

// retryPurpose returns the purpose of another attempt.
func (s *streamState) retryPurpose() placement.RetryPurpose {
	if s.headSent {
		return placement.Resume
	}
	return placement.Restart
}

// handleNoResponse handles an attempt that ended without a response. There is no copy
// to resume from, as the prefill has not ended.
func (s *streamState) handleNoResponse(engine *placement.Server, watch *firstEventWatch, err error) error {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		s.possibleRuns--
		s.sends.cancel()
		s.g.mu.Lock()
		s.g.pool(s.req.service.Name).RecordNotSent(engine.ID, s.sentAt)
		s.g.mu.Unlock()
	}
	if s.ctx.Err() != nil {
		return err
	}
	if s.quarantined.Load() {
		return errQuarantined
	}
	if s.activeMove() != nil {
		return errVersionMoved
	}
	if watch.engineLost() {
		s.exclude(engine, true)
		return errSilent
	}
	if notSent == nil {
		s.recordEngineEnd(engine, err)
		if s.scheduleRetry(engine) {
			return err
		}
	}
	s.exclude(engine, !errors.Is(err, upstream.ErrTooManyConnections))
	return err
}

// checkResponseHead checks the head of a response. For an error response it reads the
// body, decides where to retry, and returns an error.
func (s *streamState) checkResponseHead(abort context.CancelFunc, engine *placement.Server, response *upstream.Response) error {
	fields := s.g.recordResponse(s.req, engine, response, s.sentAt)
	if response.StatusCode >= http.StatusInternalServerError && !fields.NotRun {
		s.g.mu.Lock()
		s.g.pool(s.req.service.Name).RecordFailure(engine.ID)
		s.g.mu.Unlock()
	}
	if response.StatusCode < http.StatusMultipleChoices {
		if contentType := response.Header.Get("Content-Type"); s.headSent && !isSameMediaType(contentType, s.contentType) {
			s.exclude(engine, false)
			return eris.Wrapf(errFailed, "the stream would go on with the content type %q", contentType)
		}
		return nil
	}
	timer := time.AfterFunc(errorBodyTimeout, abort)
	defer timer.Stop()
	body, err := response.ReadAll(maxBufferedResponseBytes)
	if fields.NotRun {
		s.possibleRuns--
		s.exclude(engine, false)
		if !fields.Misdirected {
			sleepContext(s.ctx, refusalRetryDelay)
		}
		return eris.Wrapf(errRefused, "status %d", response.StatusCode)
	}
	s.exclude(engine, false)
	if err == nil && !s.headSent {
		s.errorResult = &result{status: response.StatusCode, header: response.Header, body: body}
	}
	if response.StatusCode < http.StatusInternalServerError {
		// The request itself is invalid; every engine would reject it.
		s.possibleRuns = s.req.route.MaxPossibleRuns
	}
	return errFailed
}

// isSameMediaType reports whether two values of Content-Type name the same media type. Parameters, such
// as a charset, do not change the format of the events.
func isSameMediaType(a, b string) bool {
	typeA, _, _ := strings.Cut(a, ";")
	typeB, _, _ := strings.Cut(b, ";")
	return strings.EqualFold(strings.TrimSpace(typeA), strings.TrimSpace(typeB))
}

// forwardEvents forwards events to the caller until the stream is complete.
func (s *streamState) forwardEvents(
	ctx context.Context, cancel context.CancelFunc, engine *placement.Server, response *upstream.Response, watch *firstEventWatch, prompt pace.Prompt,
) error {
	reader := newEventReader(response)
	// The timeout begins with the first event; watch checks the engine before that.
	silence := s.newSilenceWatch(ctx, cancel, engine)
	defer silence.timer.Stop()
	var gaps gapMeter
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) && s.firstEventAt.IsZero() && response.EndsWithConnection() {
			// An engine that ended before its first event closes the connection in the same way.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			return s.completeStream(response)
		}
		if err != nil {
			return s.handleBrokenStream(ctx, engine, silence.engineSlow.Load(), err)
		}
		arrivedAt := time.Now()
		if e.id != "" {
			s.eventsReceived.Add(1)
		}
		watch.recordFirstEvent()
		if s.firstEventAt.IsZero() {
			s.firstEventAt = arrivedAt
			s.recordFirstEvent(engine, prompt)
			s.recordStarted()
			s.recordVersionLatency()
		}
		s.recordWriting(false)
		s.recordGap(&gaps, engine, arrivedAt)
		silence.recordEvent()
		if e.id != "" && !isAfter(e.id, s.lastEventID) {
			continue
		}
		// A caller that is slow to read an event does not make the engine a silent one.
		silence.pause()
		if err := s.forwardEvent(response, e); err != nil {
			return err
		}
		silence.resume()
		if time.Since(arrivedAt) > maxForwardTime {
			gaps = gapMeter{}
		}
	}
}

// handleBrokenStream handles a stream that ended early. An engine that became silent is
// excluded, and counts as unreachable unless it is only slow. One that broke off the stream may still have
// the prompt cached, so it is
// retried up to maxRetriesAtSameEngine times, unless there is a copy.
func (s *streamState) handleBrokenStream(ctx context.Context, engine *placement.Server, engineSlow bool, err error) error {
	if s.quarantined.Load() {
		return errQuarantined
	}
	if s.activeMove() != nil {
		return errVersionMoved
	}
	if s.ctx.Err() == nil && ctx.Err() != nil {
		s.exclude(engine, !engineSlow)
		return errSilent
	}
	if !s.scheduleRetry(engine) {
		s.exclude(engine, false)
	}
	return eris.Wrap(err, "read an event of the stream")
}

// scheduleRetry selects an engine that broke off the stream for the next attempt. It
// reports whether that is allowed: at most maxRetriesAtSameEngine times in a row.
func (s *streamState) scheduleRetry(engine *placement.Server) bool {
	if s.brokenEngineID != engine.ID {
		s.brokenEngineID, s.consecutiveBreakOffs = engine.ID, 0
	}
	s.consecutiveBreakOffs++
	if s.consecutiveBreakOffs > maxRetriesAtSameEngine {
		return false
	}
	s.retryEngineID = engine.ID
	return true
}

// forwardEvent forwards one event to the caller, after the head of the response if that has not been
// sent.
func (s *streamState) forwardEvent(response *upstream.Response, e event) error {
	s.sendHead(response)
	s.pauseStats.record(time.Now(), s.req.startedAt)
	if _, err := s.w.Write(e.data); err != nil {
		return errCallerLeft
	}
	if err := s.controller.Flush(); err != nil {
		return errCallerLeft
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	return nil
}

// sendHead sends the head of the response to the caller, if it has not been sent.
func (s *streamState) sendHead(response *upstream.Response) {
	if s.headSent {
		return
	}
	s.headSent, s.contentType = true, response.Header.Get("Content-Type")
	copyResponseHeaders(s.w.Header(), response.Header)
	s.w.WriteHeader(response.StatusCode)
}

// completeStream ends a complete stream, which may have no events.
func (s *streamState) completeStream(response *upstream.Response) error {
	s.sendHead(response)
	return nil
}
