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
	// carrierQueue bounds the messages that wait for one address; consensus
	// repeats what is dropped.
	carrierQueue = 128
	// stepLimit bounds one call. It is below the election time-out, so that a
	// silent connection is replaced before a leader is given up.
	stepLimit = 300 * time.Millisecond
	// batchBytes bounds one call; drpc refuses messages above 4 MiB.
	batchBytes = 2 << 20
)

// carrier takes consensus messages to the machines that hold the slots.
type carrier struct {
	ctx    context.Context
	dialer *rpc.Dialer
	log    *slog.Logger

	mu sync.Mutex
	// routes maps slots to peer addresses; a slot without one is reached at the
	// address that it is named after.
	routes map[consensus.MemberID]string
	queues map[string]chan consensus.Message
}

func newCarrier(ctx context.Context, dialer *rpc.Dialer, log *slog.Logger) *carrier {
	return &carrier{
		ctx: ctx, dialer: dialer, log: log, routes: map[consensus.MemberID]string{},
		queues: map[string]chan consensus.Message{},
	}
}

// route sets the peer address of a slot.
func (c *carrier) route(slot consensus.MemberID, address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[slot] = address
}

// send queues a message; it is dropped when the queue is full.
func (c *carrier) send(m consensus.Message) {
	c.mu.Lock()
	address, ok := c.routes[m.To]
	if !ok {
		address = string(m.To)
	}
	queue, ok := c.queues[address]
	if !ok {
		queue = make(chan consensus.Message, carrierQueue)
		c.queues[address] = queue
		go c.deliver(address, queue)
	}
	c.mu.Unlock()
	select {
	case queue <- m:
	default:
	}
}

func (c *carrier) deliver(address string, queue chan consensus.Message) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-queue:
			// A failed call is a lost message to consensus.
			_, _ = rpc.Call(c.ctx, c.dialer, address, stepLimit,
				func(ctx context.Context, conn drpc.Conn) (*wire.GroupStepResponse, error) {
					return wire.NewDRPCCoordinatorClient(conn).StepGroup(ctx, c.batch(m, queue))
				})
		}
	}
}

// batch returns a request with a message and those queued behind it.
func (c *carrier) batch(m consensus.Message, queue chan consensus.Message) *wire.GroupStepRequest {
	request := &wire.GroupStepRequest{}
	for size := 0; ; {
		data, err := consensus.Encode(m)
		if err != nil {
			c.log.Error("a consensus message cannot be encoded", "error", err)
		} else {
			request.Messages = append(request.Messages, data)
			size += len(data)
		}
		if size >= batchBytes {
			return request
		}
		select {
		case m = <-queue:
		default:
			return request
		}
	}
}
