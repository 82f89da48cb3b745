package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// forwardTimeout bounds one call to the leader.
	forwardTimeout = 2 * time.Second
	// retryDelay is the delay before a request that was provably not proposed is
	// retried.
	retryDelay = 50 * time.Millisecond
)

// peerClient calls other control instances.
type peerClient interface {
	propose(ctx context.Context, leader consensus.MemberID, c *document.Change) Result
	read(ctx context.Context, leader consensus.MemberID) (version uint64, ok bool)
}

// rpcPeerClient implements peerClient over pkg/rpc.
type rpcPeerClient struct {
	dialer    *rpc.Dialer
	addresses map[consensus.MemberID]string
}

func (r *rpcPeerClient) propose(ctx context.Context, leader consensus.MemberID, c *document.Change) Result {
	data, err := json.Marshal(c)
	if err != nil {
		return Result{ChangeID: c.ID, Outcome: Invalid, Message: err.Error()}
	}
	response, err := rpc.Call(ctx, r.dialer, r.addresses[leader], forwardTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ProposeResponse, error) {
			return wire.NewDRPCControlClient(conn).Propose(ctx, &wire.ProposeRequest{Change: data, Forwarded: true})
		})
	var dialErr *rpc.DialError
	if errors.As(err, &dialErr) {
		return Result{ChangeID: c.ID, Outcome: Unavailable, Message: err.Error()}
	}
	var result Result
	if err == nil {
		err = json.Unmarshal(response.Result, &result)
	}
	if err != nil {
		return Result{ChangeID: c.ID, Outcome: Unknown, Message: err.Error()}
	}
	return result
}

func (r *rpcPeerClient) read(ctx context.Context, leader consensus.MemberID) (uint64, bool) {
	response, err := rpc.Call(ctx, r.dialer, r.addresses[leader], forwardTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{Linearizable: true, Forwarded: true})
		})
	if err != nil {
		return 0, false
	}
	return response.Version, response.Confirmed
}

// router routes proposals and reads to the leader, which may be this instance.
type router struct {
	node   *Node
	self   consensus.MemberID
	client peerClient
}

// Propose submits a change to the leader and returns its result. Attempts that
// were provably not proposed are retried until ctx ends or requestTimeout
// expires. After Unknown, the caller must resend the change under the same
// identifier to learn the result.
func (r *router) Propose(ctx context.Context, c *document.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		result := r.proposeOnce(ctx, c)
		if result.Outcome != Unavailable || !sleepContext(ctx, retryDelay) {
			return result
		}
	}
}

func (r *router) proposeOnce(ctx context.Context, c *document.Change) Result {
	if leader := r.node.Status().Leader; leader != "" && leader != r.self {
		return r.client.propose(ctx, leader, c)
	}
	return r.node.ProposeLocal(ctx, c)
}

// Read returns the document in force by a linearizable read: it includes every
// change accepted before the call. It fails if no leader confirms the read in time.
func (r *router) Read(ctx context.Context) (*document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		if d, ok := r.readOnce(ctx); ok {
			return d, nil
		}
		if !sleepContext(ctx, retryDelay) {
			return nil, eris.New("no leader confirmed the read in time")
		}
	}
}

func (r *router) readOnce(ctx context.Context) (*document.Document, bool) {
	leader := r.node.Status().Leader
	if leader == "" || leader == r.self {
		if !r.node.confirmRead(ctx) {
			return nil, false
		}
		return r.node.Document(), true
	}
	version, ok := r.client.read(ctx, leader)
	if !ok {
		return nil, false
	}
	d, err := r.node.waitVersion(ctx, version)
	return d, err == nil
}

// sleepContext waits for d or until ctx ends, and reports whether d has passed.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
