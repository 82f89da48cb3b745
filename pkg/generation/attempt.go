package generation

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

// reconnectPreviousAttempt reconnects to the engine stream of the previous owner and
// reports whether that succeeded. The measured recovery time begins here.
func (g *generation) reconnectPreviousAttempt() bool {
	g.engineLostAt = time.Now()
	if g.location.StreamID == "" || g.state.NextPosition() >= g.request.MaxTokens {
		return false
	}
	g.engine = g.service.newEngine(g.location.Address)
	ctx, cancel := context.WithTimeout(g.ctx, reconnectTimeout)
	defer cancel()
	stream, err := g.engine.Resume(ctx, g.location.StreamID, g.state.NextPosition())
	if err != nil {
		g.cancelEngineStream()
		return false
	}
	g.state.ReconnectAttempt()
	g.setEngineStream(stream)
	return true
}

// startNextAttempt acquires a slot and starts an attempt on it, with retries. It
// reports whether an attempt was started; otherwise the generation has ended.
// Before the admission a refused slot ends the generation, unless backend servers
// are excluded: then the exclusions are cleared and the slot is requested again after
// a backoff. After the admission the exclusions are kept: without them a generation
// waited up to 3.9 s for the probe of a dead engine.
func (g *generation) startNextAttempt() bool {
	backoff := retryBackoffInitial
	for attempts := 1; ; attempts++ {
		if g.state.NextPosition() >= g.request.MaxTokens {
			g.state.StartAttempt()
			g.finish()
			return false
		}
		lease, err := g.acquireSlot()
		if err == nil {
			g.lease, g.leaseGrantedAt, g.timeToFirstToken, g.leaseStartPosition = lease, time.Now(), 0, g.state.NextPosition()
			if err = g.startAttempt(); err == nil {
				return true
			}
		}
		if g.ctx.Err() != nil || g.ownershipEnded() {
			g.finishDetached()
			return false
		}
		var refusal *broker.Refusal
		refused := errors.As(err, &refusal)
		if isPermanent(err) || refused && !g.admitted && len(g.exclusions) == 0 {
			g.fail(err)
			return false
		}
		if refused && !g.admitted {
			g.exclusions = nil
		} else if !refused && attempts < maxImmediateAttempts {
			continue
		}
		if !g.waitBackoff(backoff) {
			g.finishDetached()
			return false
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// acquireSlot waits for a slot and returns its lease. It stops when this instance
// loses the ownership of the stream.
func (g *generation) acquireSlot() (broker.Lease, error) {
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	go func() {
		select {
		case <-g.stream.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	return g.service.slots.Acquire(ctx, g.slotRequest())
}

// isPermanent reports whether every engine would return the same error.
func isPermanent(err error) bool {
	var e *engine.Error
	return errors.As(err, &e) && e.Reason == engine.BadRequest
}

// fail ends the generation after an error that a retry cannot repair.
func (g *generation) fail(err error) {
	if !g.admitted {
		g.refuse(err)
		return
	}
	g.service.log.Warn("generation cannot be continued", "stream", g.stream.ID(), "error", err)
	_ = g.stream.Finish(reasonError)
}

// ownershipEnded reports whether this instance no longer owns the stream.
func (g *generation) ownershipEnded() bool {
	select {
	case <-g.stream.Lost():
		return true
	default:
		return false
	}
}

// waitBackoff waits before the next request for a slot. It returns false if the
// generation was cancelled or the ownership ended meanwhile.
func (g *generation) waitBackoff(d time.Duration) bool {
	g.timer.Reset(d)
	select {
	case <-g.timer.C:
		return true
	case <-g.ctx.Done():
	case <-g.stream.Lost():
	}
	return false
}

// slotRequest returns the request for the slot of the next attempt. It removes
// the exclusions that have expired.
func (g *generation) slotRequest() broker.Request {
	now := time.Now()
	g.exclusions = slices.DeleteFunc(g.exclusions, func(x exclusion) bool { return now.After(x.until) })
	var exclude []string
	for _, x := range g.exclusions {
		exclude = append(exclude, x.id)
	}
	return broker.Request{
		Pool: g.request.Model, Organisation: g.request.Organisation, Rank: g.request.Rank,
		EstimatedTokens: g.request.MaxTokens - g.state.NextPosition(),
		PrefixHash:      xxhash.Sum64String(g.request.Prompt[:min(len(g.request.Prompt), prefixHashBytes)]),
		Exclude:         exclude, ResumedTokens: g.state.NextPosition(),
	}
}

// startAttempt starts an attempt at the backend server of the lease.
func (g *generation) startAttempt() error {
	id, address := g.lease.Backend()
	record, ok := g.stream.Record()
	if !ok {
		g.releaseLease(broker.Cancelled)
		return streamrecord.ErrTakenOver
	}
	g.state.StartAttempt()
	g.engine = g.service.newEngine(address)
	g.location = streamrecord.EngineLocation{
		Address: address, Attempt: g.state.Attempt(),
		StreamID: g.stream.ID() + "." + strconv.FormatUint(g.stream.Epoch(), 10) + "." +
			strconv.FormatUint(uint64(g.state.Attempt()), 10),
	}
	ctx, cancel := context.WithTimeout(g.ctx, silenceTimeout)
	defer cancel()
	stream, err := g.engine.Start(ctx, engine.Request{
		StreamID: g.location.StreamID, Model: g.request.Model, Prompt: g.request.Prompt, Prefix: record.Tokens,
		MaxTokens: g.request.MaxTokens, Urgent: g.request.Rank == document.Urgent, Seed: Seed(g.stream.ID()),
	})
	g.service.metrics.attemptCount.Add(g.ctx, 1)
	if err != nil {
		g.handleStartFailure(id, err)
		return err
	}
	if g.admitted {
		g.service.metrics.recomputedTokens.Add(g.ctx, int64(len(record.Tokens)))
	}
	g.markAdmitted()
	if err := g.stream.SetEngine(g.location); err != nil {
		stream.Close()
		g.cancelEngineStream()
		return err
	}
	g.setEngineStream(stream)
	return nil
}

// markAdmitted ends the wait for admission: from now on the request cannot be refused.
func (g *generation) markAdmitted() {
	if !g.admitted {
		g.admitted = true
		close(g.admissionDecided)
	}
}

func (g *generation) excludeBackend(id string, d time.Duration) {
	g.exclusions = append(g.exclusions, exclusion{id: id, until: time.Now().Add(d)})
}

// handleStartFailure excludes the backend server and releases the lease. If the
// engine may have started the stream, the generation counts as admitted.
func (g *generation) handleStartFailure(id string, err error) {
	g.state.EndAttempt()
	var e *engine.Error
	if errors.As(err, &e) && e.Reason == engine.Refused {
		g.excludeBackend(id, refusedExclusionTTL)
	} else {
		g.excludeBackend(id, failedExclusionTTL)
	}
	switch {
	case errors.As(err, &e) && e.Reason == engine.Refused:
		g.releaseLease(broker.ServerFull)
	case errors.As(err, &e) && e.Reason == engine.BadRequest:
		g.releaseLease(broker.Cancelled)
	default:
		g.releaseLease(broker.Failed)
	}
	if errors.As(err, &e) && e.Reason == engine.MayHaveRun {
		g.service.log.Warn("no response from an engine that may have begun", "stream", g.stream.ID(), "backend", id, "error", err)
		g.markAdmitted()
		g.cancelEngineStream()
	}
}

// setEngineStream replaces the engine connection and receives its events in the
// background.
func (g *generation) setEngineStream(stream engine.Stream) {
	if g.engineStream != nil {
		g.engineStream.Close()
	}
	g.engineStream = stream
	g.lastEventAt = time.Now()
	go g.forwardEvents(stream, g.state.Attempt(), g.state.Connection())
}

// forwardEvents passes the events of one connection to processAttempt.
func (g *generation) forwardEvents(stream engine.Stream, attempt, connection uint32) {
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

// reconnectEngineStream opens a new connection to the engine stream in the background.
func (g *generation) reconnectEngineStream() {
	g.lastEventAt = time.Now()
	attempt, connection, from := g.state.Attempt(), g.state.Connection(), g.state.NextPosition()
	eng, name := g.engine, g.location.StreamID
	g.service.metrics.reconnectCount.Add(g.ctx, 1)
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, reconnectTimeout)
		defer cancel()
		stream, err := eng.Resume(ctx, name, from)
		select {
		case g.events <- event{attempt: attempt, connection: connection, err: err, newStream: stream}:
		case <-g.ctx.Done():
			if stream != nil {
				stream.Close()
			}
		}
	}()
}

// endAttempt closes the current attempt, cancels it at the engine in the
// background and releases its lease.
func (g *generation) endAttempt(outcome broker.Outcome) {
	if g.engineStream != nil {
		g.engineStream.Close()
		g.engineStream = nil
	}
	if g.lease != nil && outcome == broker.Failed {
		id, _ := g.lease.Backend()
		g.excludeBackend(id, failedExclusionTTL)
	}
	g.cancelEngineStream()
	g.releaseLease(outcome)
}

// releaseLease reports the usage of the lease and releases it.
func (g *generation) releaseLease(outcome broker.Outcome) {
	if g.lease == nil {
		return
	}
	g.lease.Release(broker.Usage{
		Outcome: outcome, Tokens: g.state.NextPosition() - g.leaseStartPosition, TimeToFirstToken: g.timeToFirstToken,
	})
	g.lease = nil
}

// cancelEngineStream cancels the current attempt at its engine. It retries in the
// background, because the engine may be temporarily unreachable.
func (g *generation) cancelEngineStream() {
	if g.engine == nil {
		return
	}
	eng, name, parent := g.engine, g.location.StreamID, g.service.ctx
	go func() {
		for range maxCancelAttempts {
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
