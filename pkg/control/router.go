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
	// retryPause is the wait before a request that was provably not proposed is
	// tried again.
	retryPause = 50 * time.Millisecond
)

// remote calls other control instances.
type remote interface {
	propose(ctx context.Context, leader consensus.MemberID, c *document.Change) Result
	read(ctx context.Context, leader consensus.MemberID) (version uint64, ok bool)
}

// rpcRemote is the remote over pkg/rpc.
type rpcRemote struct {
	dialer    *rpc.Dialer
	addresses map[consensus.MemberID]string
}

func (r *rpcRemote) propose(ctx context.Context, leader consensus.MemberID, c *document.Change) Result {
	data, err := json.Marshal(c)
	if err != nil {
		return Result{ChangeID: c.ID, Outcome: Invalid, Message: err.Error()}
	}
	response, err := rpc.Call(ctx, r.dialer, r.addresses[leader], forwardTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ProposeResponse, error) {
			return wire.NewDRPCControlClient(conn).Propose(ctx, &wire.ProposeRequest{Change: data, Forwarded: true})
		})
	var dial *rpc.DialError
	if errors.As(err, &dial) {
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

func (r *rpcRemote) read(ctx context.Context, leader consensus.MemberID) (uint64, bool) {
	response, err := rpc.Call(ctx, r.dialer, r.addresses[leader], forwardTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{Linearizable: true, Forwarded: true})
		})
	if err != nil {
		return 0, false
	}
	return response.Version, response.Confirmed
}

// router sends proposals and reads to the leader, here or elsewhere.
type router struct {
	node   *Node
	self   consensus.MemberID
	remote remote
}

// Propose submits a change at the leader and returns its result. Only attempts
// that were provably not proposed are repeated, until ctx or requestTimeout
// ends. After Unknown the caller resends the change under the same identifier.
func (r *router) Propose(ctx context.Context, c *document.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		result := r.proposeOnce(ctx, c)
		if result.Outcome != Unavailable || !pause(ctx, retryPause) {
			return result
		}
	}
}

func (r *router) proposeOnce(ctx context.Context, c *document.Change) Result {
	if leader := r.node.Status().Leader; leader != "" && leader != r.self {
		return r.remote.propose(ctx, leader, c)
	}
	return r.node.ProposeLocal(ctx, c)
}

// Read returns the document in force: every change that was accepted before the
// call is in it. It fails when no leader confirms in time.
func (r *router) Read(ctx context.Context) (*document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		if d, ok := r.readOnce(ctx); ok {
			return d, nil
		}
		if !pause(ctx, retryPause) {
			return nil, eris.New("no leader confirms the version in force")
		}
	}
}

func (r *router) readOnce(ctx context.Context) (*document.Document, bool) {
	leader := r.node.Status().Leader
	if leader == "" || leader == r.self {
		if !r.node.confirm(ctx) {
			return nil, false
		}
		return r.node.Document(), true
	}
	version, ok := r.remote.read(ctx, leader)
	if !ok {
		return nil, false
	}
	d, err := r.node.waitVersion(ctx, version)
	return d, err == nil
}

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
