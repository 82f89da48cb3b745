package streamrecord

import (
	"context"
	"slices"
	"time"
)

// Stream is a stream that this instance owns. The mutex of the service guards all
// fields except service, name, term and lost.
type Stream struct {
	service *Service
	id      string
	term    Term
	// lost is closed when the ownership ends.
	lost chan struct{}
	err  error

	// replicated is set once the replication to a holder was started.
	replicated bool
	// holderSession is the session with the current holder, or nil.
	holderSession *holderSession
	// recordSent is set once the whole record was sent on the current
	// connection; afterwards only changes are sent.
	recordSent bool
	queued     bool
	// sentTokens, sentAt and sentEngine are the number of tokens, the time and
	// the engine of the newest append that was sent to the holder.
	sentTokens int
	sentAt     time.Time
	sentEngine EngineLocation
	// fullHolder is the holder that had no room for the record; it is not
	// selected again before fullHolderUntil.
	fullHolder      string
	fullHolderUntil time.Time

	// readableTokens is the number of tokens that may be read, and so sent to a
	// caller: those that a holder acknowledged, or all while no other instance can
	// be reached. endReadable is set when this includes the end of the stream.
	readableTokens int
	endReadable    bool
	// ackedSentAt is the send time of the newest batch that was acknowledged.
	ackedSentAt time.Time
	// pendingConfirms is the number of ConfirmOwnership calls that are waiting.
	pendingConfirms int

	watchers []chan struct{}
}

// Token is one token of a stream, or its end.
type Token struct {
	Text         string
	Finished     bool
	FinishReason string
}

// ID returns the stream identifier.
func (st *Stream) ID() string { return st.id }

// Epoch returns the epoch of this ownership.
func (st *Stream) Epoch() uint64 { return st.term.Epoch }

// Lost returns a channel that is closed when the ownership ends; Err returns the
// reason.
func (st *Stream) Lost() <-chan struct{} { return st.lost }

// Err returns the error that ended the ownership, or nil while it lasts.
func (st *Stream) Err() error {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	return st.err
}

// Record returns the record, whose slices must not be changed, and reports whether
// it exists.
func (st *Stream) Record() (Record, bool) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	r, ok := st.service.store.Get(st.id)
	if !ok {
		return Record{}, false
	}
	c := *r
	c.Tokens = slices.Clip(c.Tokens)
	return c, true
}

// Append adds one token at a position and queues it for replication.
func (st *Stream) Append(position int, token string) error {
	tokens := [1]string{token}
	return st.appendToRecord(func(a *Append) { a.Position, a.Tokens = position, tokens[:] })
}

// Replicate starts the replication of the record to a holder.
func (st *Stream) Replicate() {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	if !st.replicated && st.err == nil {
		st.replicated = true
		st.service.assign(st)
	}
}

// SetEngine records the engine stream and starts the replication.
func (st *Stream) SetEngine(e EngineLocation) error {
	defer st.Replicate()
	return st.appendToRecord(func(a *Append) { a.Engine = e })
}

// Finish records the end of the stream.
func (st *Stream) Finish(reason string) error {
	return st.appendToRecord(func(a *Append) { a.Finished, a.FinishReason = true, reason })
}

// appendToRecord applies an append that set fills in and queues it for replication.
func (st *Stream) appendToRecord(set func(*Append)) error {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil {
		return st.err
	}
	if _, ok := s.store.Get(st.id); !ok {
		st.endOwnership(ErrGone)
		return ErrGone
	}
	a := Append{StreamID: st.id, Term: st.term}
	set(&a)
	if s.store.recordSize(st.id)+tokenBytes(a.Tokens) > MaxRecordBytes {
		return ErrTooLarge
	}
	switch reason := s.store.Append(a, time.Now()); reason {
	case Accepted:
	case StaleEpoch, UnknownStream:
		st.loseOwnership()
		return st.err
	default:
		panic("append to the owned record of stream " + st.id + ": " + string(reason))
	}
	switch {
	case !st.replicated:
	case st.holderSession != nil:
		st.holderSession.enqueue(st)
		if s.isolated {
			s.releaseUnreplicated(st)
		}
	case s.isolated:
		s.releaseUnreplicated(st)
	}
	return nil
}

// Drop removes the local record and ends the ownership. It is for streams that
// end before their first token. A holder, if there is one, keeps its copy until that
// expires.
func (st *Stream) Drop() {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Drop(st.id, st.term)
	st.endOwnership(ErrGone)
}

// Read blocks until the token at position is readable and returns it; at the
// position after the last token it returns the end. A token is readable once a
// holder acknowledged it, or when no other instance can be reached. The watch must
// come from Watch of the same stream.
func (st *Stream) Read(ctx context.Context, watch chan struct{}, position int) (Token, error) {
	for {
		t, ok, err := st.tryRead(position)
		if ok || err != nil {
			return t, err
		}
		select {
		case <-watch:
		case <-ctx.Done():
			return Token{}, ctx.Err()
		}
	}
}

// tryRead is Read without blocking; it reports whether there is a token or the end.
func (st *Stream) tryRead(position int) (Token, bool, error) {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil {
		return Token{}, false, st.err
	}
	r, ok := s.store.Get(st.id)
	if !ok {
		return Token{}, false, ErrGone
	}
	switch {
	case position < st.readableTokens:
		return Token{Text: r.Tokens[position]}, true, nil
	case st.endReadable && r.Finished:
		return Token{Finished: true, FinishReason: r.FinishReason}, true, nil
	}
	return Token{}, false, nil
}

// WaitReadable blocks until the first n tokens are readable.
func (st *Stream) WaitReadable(ctx context.Context, n int) error {
	if n < 1 {
		return nil
	}
	watch := st.Watch()
	defer st.Unwatch(watch)
	_, err := st.Read(ctx, watch, n-1)
	return err
}

// Watch returns a channel that receives a value when more tokens or the end become
// readable, when an awaited confirmation arrives, and when the ownership ends.
func (st *Stream) Watch() chan struct{} {
	watch := make(chan struct{}, 1)
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	st.watchers = append(st.watchers, watch)
	return watch
}

// Unwatch removes a channel that Watch returned.
func (st *Stream) Unwatch(watch chan struct{}) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	if i := slices.Index(st.watchers, watch); i >= 0 {
		st.watchers = slices.Delete(st.watchers, i, i+1)
	}
}

// ConfirmOwnership blocks until the holder has acknowledged a batch that was sent after the
// call, which shows that the holder has seen no newer term. It does not wait while
// no other instance can be reached.
func (st *Stream) ConfirmOwnership(ctx context.Context) error {
	watch := st.Watch()
	defer st.Unwatch(watch)
	start := time.Now()
	st.addPendingConfirms(1)
	defer st.addPendingConfirms(-1)
	for {
		if done, err := st.checkConfirmed(start); done || err != nil {
			return err
		}
		select {
		case <-watch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (st *Stream) addPendingConfirms(delta int) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	st.pendingConfirms += delta
}

// checkConfirmed reports whether a batch sent after start was acknowledged, and
// otherwise queues one.
func (st *Stream) checkConfirmed(start time.Time) (bool, error) {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil || !st.replicated || s.isolated || !st.ackedSentAt.Before(start) {
		return true, st.err
	}
	if st.holderSession != nil {
		st.holderSession.enqueue(st)
	}
	return false, nil
}

// handleAck records that the batch that was sent at sentAt was acknowledged.
func (st *Stream) handleAck(sentAt time.Time) {
	st.ackedSentAt = sentAt
	if st.pendingConfirms > 0 {
		st.notifyWatchers()
	}
}

// setReadable makes the first n tokens, and the end if finished is set, readable.
func (st *Stream) setReadable(n int, finished bool) {
	if n <= st.readableTokens && (!finished || st.endReadable) {
		return
	}
	st.readableTokens = max(st.readableTokens, n)
	st.endReadable = st.endReadable || finished
	st.notifyWatchers()
}

func (st *Stream) notifyWatchers() {
	for _, w := range st.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// loseOwnership ends the ownership because another instance took the stream over.
func (st *Stream) loseOwnership() { st.endOwnership(ErrTakenOver) }

// endOwnership ends the ownership with err, which watchers receive.
func (st *Stream) endOwnership(err error) {
	if st.err != nil {
		return
	}
	st.err = err
	close(st.lost)
	if st.holderSession != nil {
		delete(st.holderSession.streams, st)
		st.holderSession = nil
	}
	delete(st.service.withoutHolder, st)
	if st.service.owned[st.id] == st {
		delete(st.service.owned, st.id)
	}
	st.notifyWatchers()
}
