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
		return streamrecord.ErrTakenOver
	}
	g.state.Begin()
	g.engine = g.service.connect(address)
	g.at = streamrecord.Engine{
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
