package streamrecord

import (
	"context"
	"slices"
	"time"
)

// Stream is a stream that this instance owns. All fields but name, term and
// lost are guarded by the mutex of the service.
type Stream struct {
	service *Service
	name    string
	term    Term
	// lost is closed when the ownership ends.
	lost chan struct{}
	err  error

	// replicated tells that the record is to be copied to a holder.
	replicated bool
	// target is the session to the present holder; nil without one.
	target *session
	// opened tells that the holder was sent the whole record.
	opened bool
	queued bool
	// sent is the number of tokens sent to the holder, sentEngine the engine
	// that it knows of.
	sent       int
	sentAt     time.Time
	sentEngine Engine
	// refusedBy is the holder that had no room for the record.
	refusedBy    string
	refusedUntil time.Time

	// held is the number of tokens that a holder acknowledged.
	held    int
	heldEnd bool
	// confirmed is the send time of the newest batch that was acknowledged.
	confirmed  time.Time
	confirming int

	watchers []chan struct{}
}

// Token is what Read returns.
type Token struct {
	Text         string
	Finished     bool
	FinishReason string
}

// Name returns the identifier of the stream.
func (st *Stream) Name() string { return st.name }

// Epoch returns the epoch of the ownership.
func (st *Stream) Epoch() uint64 { return st.term.Epoch }

// Lost is closed when the ownership ends; Err tells why.
func (st *Stream) Lost() <-chan struct{} { return st.lost }

// Err returns the reason of the end of the ownership, or nil.
func (st *Stream) Err() error {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	return st.err
}

// Record returns the record; its slices must not be changed.
func (st *Stream) Record() (Record, bool) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	r, ok := st.service.store.Get(st.name)
	if !ok {
		return Record{}, false
	}
	c := *r
	c.Tokens = slices.Clip(c.Tokens)
	return c, true
}

// Append adds one token at a position and starts to copy it.
func (st *Stream) Append(position int, token string) error {
	tokens := [1]string{token}
	return st.change(func(a *Append) { a.Position, a.Tokens = position, tokens[:] })
}

// Replicate starts to copy the record to a holder.
func (st *Stream) Replicate() {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	if !st.replicated && st.err == nil {
		st.replicated = true
		st.service.assign(st)
	}
}

// SetEngine records where the stream is generated.
func (st *Stream) SetEngine(e Engine) error {
	defer st.Replicate()
	return st.change(func(a *Append) { a.Engine = e })
}

// Finish records the end of the stream.
func (st *Stream) Finish(reason string) error {
	return st.change(func(a *Append) { a.Finished, a.FinishReason = true, reason })
}

func (st *Stream) change(set func(*Append)) error {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil {
		return st.err
	}
	if _, ok := s.store.Get(st.name); !ok {
		st.end(ErrGone)
		return ErrGone
	}
	a := Append{Stream: st.name, Term: st.term}
	set(&a)
	if s.store.size(st.name)+tokenBytes(a.Tokens) > MaxRecordBytes {
		return ErrTooLarge
	}
	switch reason := s.store.Append(a, time.Now()); reason {
	case Accepted:
	case StaleEpoch, UnknownStream:
		st.lose()
		return st.err
	default:
		panic("append to an owned record: " + string(reason))
	}
	switch {
	case !st.replicated:
	case st.target != nil:
		st.target.enqueue(st)
		if s.alone {
			s.goAlone(st)
		}
	case s.alone:
		s.goAlone(st)
	}
	return nil
}

// Drop forgets a stream of which nothing was sent.
func (st *Stream) Drop() {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Drop(st.name, st.term)
	st.end(ErrGone)
}

// Read blocks until the token at position is held by another instance, and
// returns it; or, at the position after the last one, the end. The watch must
// be from Watch of the same stream.
func (st *Stream) Read(ctx context.Context, watch chan struct{}, position int) (Token, error) {
	for {
		t, ok, err := st.read(position)
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

func (st *Stream) read(position int) (Token, bool, error) {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil {
		return Token{}, false, st.err
	}
	r, ok := s.store.Get(st.name)
	if !ok {
		return Token{}, false, ErrGone
	}
	switch {
	case position < st.held:
		return Token{Text: r.Tokens[position]}, true, nil
	case st.heldEnd && r.Finished:
		return Token{Finished: true, FinishReason: r.FinishReason}, true, nil
	}
	return Token{}, false, nil
}

// WaitHeld blocks until n tokens are held by another instance.
func (st *Stream) WaitHeld(ctx context.Context, n int) error {
	if n < 1 {
		return nil
	}
	watch := st.Watch()
	defer st.Unwatch(watch)
	_, err := st.Read(ctx, watch, n-1)
	return err
}

// Watch returns a channel that receives after each change of what can be read.
func (st *Stream) Watch() chan struct{} {
	watch := make(chan struct{}, 1)
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	st.watchers = append(st.watchers, watch)
	return watch
}

// Unwatch ends a watch.
func (st *Stream) Unwatch(watch chan struct{}) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	if i := slices.Index(st.watchers, watch); i >= 0 {
		st.watchers = slices.Delete(st.watchers, i, i+1)
	}
}

// Confirm blocks until a holder has acknowledged a batch that was sent after
// the call: no instance that it can reach knows a newer term. Instances alone
// do not wait.
func (st *Stream) Confirm(ctx context.Context) error {
	watch := st.Watch()
	defer st.Unwatch(watch)
	start := time.Now()
	st.countConfirming(1)
	defer st.countConfirming(-1)
	for {
		if done, err := st.isConfirmed(start); done || err != nil {
			return err
		}
		select {
		case <-watch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (st *Stream) countConfirming(change int) {
	st.service.mu.Lock()
	defer st.service.mu.Unlock()
	st.confirming += change
}

func (st *Stream) isConfirmed(start time.Time) (bool, error) {
	s := st.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.err != nil || !st.replicated || s.alone || !st.confirmed.Before(start) {
		return true, st.err
	}
	if st.target != nil {
		st.target.enqueue(st)
	}
	return false, nil
}

// confirm notes the acknowledgement of a batch that was sent at a time.
func (st *Stream) confirm(at time.Time) {
	st.confirmed = at
	if st.confirming > 0 {
		st.notify()
	}
}

// hold notes what a holder acknowledged.
func (st *Stream) hold(n int, end bool) {
	if n <= st.held && (!end || st.heldEnd) {
		return
	}
	st.held = max(st.held, n)
	st.heldEnd = st.heldEnd || end
	st.notify()
}

func (st *Stream) notify() {
	for _, w := range st.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// lose ends the ownership because another instance has a newer term.
func (st *Stream) lose() { st.end(ErrTakenOver) }

func (st *Stream) end(err error) {
	if st.err != nil {
		return
	}
	st.err = err
	close(st.lost)
	if st.target != nil {
		delete(st.target.streams, st)
		st.target = nil
	}
	delete(st.service.unheld, st)
	if st.service.owned[st.name] == st {
		delete(st.service.owned, st.name)
	}
	st.notify()
}
