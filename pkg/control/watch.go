package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// heartbeatInterval is the interval at which a watcher without news gets the
	// version in force. Watchers take three missed heartbeats for silence.
	heartbeatInterval = time.Second
	// leaderlessBeats is the number of heartbeats without a leader after which
	// watches are ended. An election is usually over before.
	leaderlessBeats = 2
)

var errLeaderless = eris.New("this instance knows no leader")

// watch sends accepted changes after a version until ctx ends. It fails when
// this instance knows no leader, so that the watcher turns to one that does.
func (n *Node) watch(ctx context.Context, from uint64, out configwatch.Sender) error {
	if !n.reliable() {
		return eris.New("this instance is not up to date")
	}
	n.watchers.Add(1)
	defer n.watchers.Add(-1)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	at, missed := from, leaderlessBeats-1
	for beat := true; ; {
		n.mu.RLock()
		changed := n.changed
		n.mu.RUnlock()
		reached, err := n.sendNews(at, out)
		if err == nil && beat {
			missed, err = n.sendBeat(reached, missed, out)
		}
		if err != nil {
			return err
		}
		at = reached
		select {
		case <-ctx.Done():
			return nil
		case <-n.stopped:
			return nil
		case <-changed:
			beat = false
		case <-ticker.C:
			beat = true
		}
	}
}

// sendBeat sends a heartbeat if a leader is known, and returns the number of
// heartbeats missed in a row. The heartbeat names no version that was not sent:
// a newer one may be in force by now. A watcher that is ahead gets the version
// of this instance.
func (n *Node) sendBeat(reached uint64, missed int, out configwatch.Sender) (int, error) {
	if n.inTouch() {
		err := out.Send(&wire.WatchEvent{Version: min(reached, n.Document().Version), Heartbeat: true})
		return 0, eris.Wrap(err, "send a heartbeat")
	}
	if missed++; missed >= leaderlessBeats {
		return missed, errLeaderless
	}
	return missed, nil
}

// sendNews sends what the watcher misses and returns the version it has then.
func (n *Node) sendNews(at uint64, out configwatch.Sender) (uint64, error) {
	n.mu.RLock()
	steps, complete := n.state.Since(at)
	n.mu.RUnlock()
	if !complete {
		return n.sendSnapshot(out)
	}
	for _, step := range steps {
		ops, err := json.Marshal(step.Ops)
		if err != nil {
			return at, eris.Wrap(err, "encode a change")
		}
		if err := out.Send(&wire.WatchEvent{Version: step.Version, Ops: ops}); err != nil {
			return at, eris.Wrap(err, "send a change")
		}
		at = step.Version
	}
	return at, nil
}

func (n *Node) sendSnapshot(out configwatch.Sender) (uint64, error) {
	data, version, err := n.encodedDocument()
	if err != nil {
		return 0, err
	}
	return version, configwatch.SendSnapshot(out, version, data)
}

// encodedDocument returns the encoded document in force; it is encoded once a version.
func (n *Node) encodedDocument() ([]byte, uint64, error) {
	n.encodeMu.Lock()
	defer n.encodeMu.Unlock()
	d := n.Document()
	if n.encoded == nil || n.encodedVersion < d.Version {
		data, err := json.Marshal(d)
		if err != nil {
			return nil, 0, eris.Wrap(err, "encode the document")
		}
		n.encoded, n.encodedVersion = data, d.Version
	}
	return n.encoded, n.encodedVersion, nil
}

// rpcServer serves wire.Control.
type rpcServer struct {
	node      *Node
	router    *router
	members   map[consensus.MemberID]string
	assembler assembler
}

// Step takes messages of other control instances. Undecodable ones are dropped,
// as if they were lost on the way.
func (s *rpcServer) Step(ctx context.Context, request *wire.StepRequest) (*wire.StepResponse, error) {
	if p := request.Piece; p != nil {
		if _, member := s.members[consensus.MemberID(p.From)]; !member {
			return nil, eris.Errorf("%q is no member", p.From)
		}
		if data, whole := s.assembler.add(p); whole {
			// Decoding takes longer than the deadline of the call allows.
			go s.take(context.WithoutCancel(ctx), data)
		}
	}
	for _, data := range request.Messages {
		s.take(ctx, data)
	}
	return &wire.StepResponse{}, nil
}

func (s *rpcServer) take(ctx context.Context, data []byte) {
	m, err := consensus.Decode(data)
	if err != nil || m.To != s.router.self {
		return
	}
	select {
	case s.node.messages <- m:
	case <-s.node.stopped:
	case <-ctx.Done():
	}
}

// Propose submits a change here, or at the leader when the request was not
// forwarded before.
func (s *rpcServer) Propose(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	var c document.Change
	result := Result{Outcome: Invalid}
	switch err := json.Unmarshal(request.Change, &c); {
	case err != nil:
		result.Message = "the change cannot be decoded: " + err.Error()
	case len(request.Change) > MaxChangeBytes:
		result.Message = "the change is too large"
	case request.Forwarded:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		result = s.node.ProposeLocal(ctx, &c)
	default:
		result = s.router.Propose(ctx, &c)
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, eris.Wrap(err, "encode the result")
	}
	return &wire.ProposeResponse{Result: data}, nil
}

// Read returns the version in force.
func (s *rpcServer) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	response := &wire.ReadResponse{Leader: string(s.node.Status().Leader)}
	switch {
	case !request.Linearizable:
		response.Version, response.Confirmed = s.node.Document().Version, s.node.reliable()
	case request.Forwarded:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		response.Confirmed = s.node.confirm(ctx)
		response.Version = s.node.Document().Version
	default:
		if d, err := s.router.Read(ctx); err == nil {
			response.Version, response.Confirmed = d.Version, true
		}
	}
	return response, nil
}

// Watch streams accepted changes.
func (s *rpcServer) Watch(request *wire.WatchRequest, stream wire.DRPCControl_WatchStream) error {
	return s.node.watch(stream.Context(), request.FromVersion, stream)
}
