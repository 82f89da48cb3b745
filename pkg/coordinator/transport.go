package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// peerQueueCapacity is the capacity of the queue of each address. Messages beyond
	// it are dropped; consensus retransmits them.
	peerQueueCapacity = 128
	// stepTimeout is the timeout of one call. It is below the election timeout, so that
	// an unresponsive connection is replaced before an election starts.
	stepTimeout = 300 * time.Millisecond
	// maxBatchBytes limits the size of one call; drpc rejects messages above 4 MiB.
	maxBatchBytes = 2 << 20
)

// transport sends consensus messages to the instances that hold the slots.
type transport struct {
	ctx    context.Context
	dialer *rpc.Dialer
	log    *slog.Logger

	mu sync.Mutex
	// routes maps slots to peer addresses. A slot without a route is reached at the
	// address that is its name.
	routes map[consensus.MemberID]string
	// queues maps peer addresses to the messages that wait to be sent there.
	queues map[string]chan consensus.Message
}

func newTransport(ctx context.Context, dialer *rpc.Dialer, log *slog.Logger) *transport {
	return &transport{
		ctx: ctx, dialer: dialer, log: log, routes: map[consensus.MemberID]string{},
		queues: map[string]chan consensus.Message{},
	}
}

// setRoute sets the peer address of a slot; it ignores an empty address.
func (t *transport) setRoute(slot consensus.MemberID, address string) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[slot] = address
}

// send enqueues a message for the holder of its slot, or drops it if the queue is full.
func (t *transport) send(m consensus.Message) {
	t.mu.Lock()
	address, ok := t.routes[m.To]
	if !ok {
		address = string(m.To)
	}
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan consensus.Message, peerQueueCapacity)
		t.queues[address] = queue
		go t.runSender(address, queue)
	}
	t.mu.Unlock()
	select {
	case queue <- m:
	default:
	}
}

// runSender sends the queued messages of one address until the context ends.
func (t *transport) runSender(address string, queue chan consensus.Message) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-queue:
			// The error is ignored: consensus tolerates lost messages.
			_, _ = rpc.Call(t.ctx, t.dialer, address, stepTimeout,
				func(ctx context.Context, conn drpc.Conn) (*wire.GroupStepResponse, error) {
					return wire.NewDRPCCoordinatorClient(conn).StepGroup(ctx, t.collectBatch(m, queue))
				})
		}
	}
}

// collectBatch returns a request with a message and further messages from the queue, up to
// maxBatchBytes.
func (t *transport) collectBatch(m consensus.Message, queue chan consensus.Message) *wire.GroupStepRequest {
	request := &wire.GroupStepRequest{}
	for size := 0; ; {
		data, err := consensus.Encode(m)
		if err != nil {
			t.log.Error("failed to encode a consensus message", "kind", m.Kind, "slot", m.To, "error", err)
		} else {
			request.Messages = append(request.Messages, data)
			size += len(data)
		}
		if size >= maxBatchBytes {
			return request
		}
		select {
		case m = <-queue:
		default:
			return request
		}
	}
}
