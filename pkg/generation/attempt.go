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

// resumePreviousAttempt connects to the engine stream of the previous owner. It
// reports whether that stream could be resumed.
func (g *generation) resumePreviousAttempt() bool {
	g.engineLostAt = time.Now()
	if g.location.Stream == "" || g.state.NextPosition() >= g.request.MaxTokens {
		return false
	}
	g.engine = g.service.newEngine(g.location.Address)
	ctx, cancel := context.WithTimeout(g.ctx, resumeTimeout)
	defer cancel()
	stream, err := g.engine.Resume(ctx, g.location.Stream, g.state.NextPosition())
	if err != nil {
		g.cancelEngineStream()
		return false
	}
	g.state.ResumeAttempt()
	g.setEngineStream(stream)
	return true
}

// startNextAttempt acquires a slot and starts an attempt on it, with retries. It
// reports whether an attempt was started; otherwise the generation has ended.
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
			g.lease, g.leaseGrantedAt, g.firstTokenDelay, g.leaseStart = lease, time.Now(), 0, g.state.NextPosition()
			if err = g.startAttempt(); err == nil {
				return true
			}
		}
		if g.ctx.Err() != nil || g.ownershipEnded() {
			g.handleStop()
			return false
		}
		var refusal *broker.Refusal
		refused := errors.As(err, &refusal)
		if isPermanent(err) || refused && !g.started && len(g.exclusions) == 0 {
			g.fail(err)
			return false
		}
		if refused && !g.started {
			g.exclusions = nil
		} else if !refused && attempts < maxImmediateAttempts {
			continue
		}
		if !g.waitBackoff(backoff) {
			g.handleStop()
			return false
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// acquireSlot waits for a slot. It stops when this instance loses the ownership
// of the stream.
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
	if !g.started {
		g.refuse(err)
		return
	}
	g.service.log.Warn("generation cannot be continued", "stream", g.stream.Name(), "error", err)
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

// waitBackoff waits before the next request for a slot. It reports whether
// the generation continues; it does not after a cancellation or the end of the
// ownership.
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

// slotRequest returns the request for the slot of the next attempt.
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
		Stream: g.stream.Name() + "." + strconv.FormatUint(g.stream.Epoch(), 10) + "." +
			strconv.FormatUint(uint64(g.state.Attempt()), 10),
	}
	ctx, cancel := context.WithTimeout(g.ctx, silenceTimeout)
	defer cancel()
	stream, err := g.engine.Start(ctx, engine.Request{
		StreamID: g.location.Stream, Model: g.request.Model, Prompt: g.request.Prompt, Prefix: record.Tokens,
		MaxTokens: g.request.MaxTokens, Urgent: g.request.Rank == document.Urgent, Seed: Seed(g.stream.Name()),
	})
	g.service.metrics.attemptCount.Add(g.ctx, 1)
	if err != nil {
		g.handleStartFailure(id, err)
		return err
	}
	if g.started {
		g.service.metrics.recomputedTokens.Add(g.ctx, int64(len(record.Tokens)))
	}
	g.markStarted()
	if err := g.stream.SetEngine(g.location); err != nil {
		stream.Close()
		g.cancelEngineStream()
		return err
	}
	g.setEngineStream(stream)
	return nil
}

// markStarted ends the wait for admission: from now on the request cannot be refused.
func (g *generation) markStarted() {
	if !g.started {
		g.started = true
		close(g.admission)
	}
}

func (g *generation) excludeBackend(id string, d time.Duration) {
	g.exclusions = append(g.exclusions, exclusion{id: id, until: time.Now().Add(d)})
}

// handleStartFailure excludes the backend server and releases the lease.
func (g *generation) handleStartFailure(id string, err error) {
	g.state.EndAttempt()
	var e *engine.Error
	if errors.As(err, &e) && e.Reason == engine.Refused {
		g.excludeBackend(id, fullExclusionTTL)
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
	if errors.As(err, &e) && e.Reason == engine.Broken {
		// The engine may have started the stream, so the request can no longer be refused.
		g.markStarted()
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

// resumeEngineStream opens a new connection to the engine stream in the background.
func (g *generation) resumeEngineStream() {
	g.lastEventAt = time.Now()
	attempt, connection, from := g.state.Attempt(), g.state.Connection(), g.state.NextPosition()
	eng, name := g.engine, g.location.Stream
	g.service.metrics.reconnectCount.Add(g.ctx, 1)
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, resumeTimeout)
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
func (g *generation) endAttempt(result broker.Outcome) {
	if g.engineStream != nil {
		g.engineStream.Close()
		g.engineStream = nil
	}
	if g.lease != nil && result == broker.Failed {
		id, _ := g.lease.Backend()
		g.excludeBackend(id, failedExclusionTTL)
	}
	g.cancelEngineStream()
	g.releaseLease(result)
}

// releaseLease reports the usage of the lease and releases it.
func (g *generation) releaseLease(result broker.Outcome) {
	if g.lease == nil {
		return
	}
	g.lease.Release(broker.Usage{
		Outcome: result, Tokens: g.state.NextPosition() - g.leaseStart, TimeToFirstToken: g.firstTokenDelay,
	})
	g.lease = nil
}

// cancelEngineStream cancels the current attempt at its engine. It retries in the
// background, because the engine may be temporarily unreachable.
func (g *generation) cancelEngineStream() {
	if g.engine == nil {
		return
	}
	eng, name, parent := g.engine, g.location.Stream, g.service.ctx
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
