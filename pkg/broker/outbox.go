package broker

import (
	"context"
	"sync"
)

// outbox is an unbounded queue of messages to a connection, so that no sender blocks on a
// slow peer. A silent peer loses its session after silenceTimeout.
type outbox[T any] struct {
	state *outboxState[T]
}

type outboxState[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

func newOutbox[T any]() outbox[T] {
	return outbox[T]{&outboxState[T]{wake: make(chan struct{}, 1)}}
}

func (o outbox[T]) push(item T) {
	o.state.mu.Lock()
	o.state.items = append(o.state.items, item)
	o.state.mu.Unlock()
	select {
	case o.state.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all items.
func (o outbox[T]) takeAll() []T {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	items := o.state.items
	o.state.items = nil
	return items
}

// wait blocks until there may be items or ctx ends, and reports whether there may be items.
func (o outbox[T]) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-o.state.wake:
		return true
	}
}
