package once

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// MaxStoredAnswerBytes bounds one stored answer, so that it fits in one
	// message between instances. The caller still gets a larger answer, but it is
	// not replayed.
	MaxStoredAnswerBytes = 1 << 20
	// handOverWait is how long a request waits at an instance that is handing the
	// record over. It is shorter than callTimeout.
	handOverWait = 250 * time.Millisecond
)

// Service holds the record of one-time keys of one entry instance and is the
// client of the records at the other instances. Its kernel name is "once".
type Service struct {
	view          membership.View
	dialer        *rpc.Dialer
	codec         Codec
	log           *slog.Logger
	localRecordID RecordID
	startedAt     time.Time

	mu    sync.Mutex
	store *Store
	// seenAlive holds the IDs of instances of this data centre that an
	// earlier routing attempt found alive or suspect.
	seenAlive map[string]bool
	// handOverDone is closed when the hand-over of a planned stop has ended.
	handOverDone chan struct{}
	stopOnce     sync.Once
}

// New returns a service with an empty record of a new incarnation. All entry
// instances must use the same secret.
func New(view membership.View, dialer *rpc.Dialer, secret string, log *slog.Logger) *Service {
	localRecordID := RecordID{Home: view.Self().ID, Incarnation: random64()}
	return &Service{
		view: view, dialer: dialer, codec: NewCodec(secret), log: log, localRecordID: localRecordID, startedAt: time.Now(),
		store: NewStore(localRecordID, DefaultLimits()), seenAlive: map[string]bool{}, handOverDone: make(chan struct{}),
	}
}

func random64() uint64 {
	var raw [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "once" }

// Register registers the RPC handlers of the service.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterOnce(mux, rpcServer{s}), "register the key record")
}

// nowMS returns the time in Unix milliseconds. Steps of the system clock after the
// start do not affect it.
func (s *Service) nowMS() int64 {
	return s.startedAt.UnixMilli() + time.Since(s.startedAt).Milliseconds()
}

// Mint returns count new keys of this instance for an organisation.
func (s *Service) Mint(organisation string, count int) []string {
	self := s.view.Self()
	keys := make([]string, count)
	for i := range keys {
		k := Key{Home: s.localRecordID.Home, DataCentre: self.DataCentre, Incarnation: s.localRecordID.Incarnation, MintedMS: s.nowMS()}
		_, _ = rand.Read(k.ID[:])
		keys[i] = s.codec.Encode(k, organisation)
	}
	return keys
}

// claimLocal claims a key at this instance. It waits up to handOverWait for a
// hand-over in progress.
func (s *Service) claimLocal(ctx context.Context, k Key, digest Digest, executor uint64) (verdict Verdict, ownership Ownership, successor string) {
	s.decideAfterHandOver(ctx, func() Ownership {
		verdict, ownership, successor = s.store.Claim(s.nowMS(), k, digest, executor)
		return ownership
	})
	return verdict, ownership, successor
}

// finishLocal ends a claim at this instance and copies the answer of a completed
// call to a backup.
func (s *Service) finishLocal(ctx context.Context, op finishOp) (accepted bool, ownership Ownership, successor string) {
	s.decideAfterHandOver(ctx, func() Ownership {
		accepted, ownership, successor = s.store.Finish(op.key, op.executor, op.released, op.answer)
		return ownership
	})
	if accepted && !op.released && op.answer != nil {
		s.copyAnswer(ctx, op)
	}
	return accepted, ownership, successor
}

// decideAfterHandOver runs decide under the lock. If the record is being handed
// over, it waits up to handOverWait and, if the hand-over has ended, runs decide again.
func (s *Service) decideAfterHandOver(ctx context.Context, decide func() Ownership) {
	decideUnderLock := func() Ownership {
		s.mu.Lock()
		defer s.mu.Unlock()
		return decide()
	}
	if decideUnderLock() != HandingOver {
		return
	}
	select {
	case <-s.handOverDone:
		decideUnderLock()
	case <-time.After(handOverWait):
	case <-ctx.Done():
	}
}

// backupCount is the number of instances, in the order of their hash, that are
// tried for a copy of an answer or as the successor of a record. Requests for a
// key are sent to the same instances.
const backupCount = 3

// backups returns the instances of this data centre that hold the copies of the
// answers of home, and its record after a planned stop, best first.
func (s *Service) backups(home string) []membership.Member {
	ranked := membership.RankByHash(home, membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()))
	backups := make([]membership.Member, 0, backupCount)
	for _, m := range ranked {
		if m.ID != home && len(backups) < backupCount {
			backups = append(backups, m)
		}
	}
	return backups
}

// leavingInstances returns the instances of this data centre that were alive
// earlier and are leaving now, without home. They decide about the records that
// they hold until they stop.
func (s *Service) leavingInstances(home string) []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()) {
		s.seenAlive[m.ID] = true
	}
	var leaving []membership.Member
	for id := range s.seenAlive {
		m, found := s.view.Member(id)
		if !found {
			delete(s.seenAlive, id)
		} else if m.State == membership.Leaving && id != home {
			leaving = append(leaving, m)
		}
	}
	return leaving
}

// backupTargets returns the instances to which this instance may send a record or
// an answer of home: the backups of home and, after a restart, home itself. In a
// data centre with two instances, home is the only other one. Requests for a key are
// sent to home first.
func (s *Service) backupTargets(home string) []membership.Member {
	var targets []membership.Member
	for _, m := range s.backups(home) {
		if m.ID != s.localRecordID.Home {
			targets = append(targets, m)
		}
	}
	for _, m := range s.view.Members() {
		if m.ID == home && m.ID != s.localRecordID.Home {
			targets = append(targets, m)
		}
	}
	return targets
}

// copyAnswer stores a copy of an answer at one other instance. If none can be
// reached, the answer is lost together with its record.
func (s *Service) copyAnswer(ctx context.Context, op finishOp) {
	for _, m := range s.backupTargets(op.key.Home) {
		request := &wire.CopyRequest{
			Key: op.keyText, Organisation: op.organisation, RequestDigest: op.digest[:], Answer: toWire(op.answer),
		}
		_, err := rpc.Call(ctx, s.dialer, m.PeerAddress, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.CopyResponse, error) {
				return wire.NewDRPCOnceClient(conn).Copy(ctx, request)
			})
		if err == nil {
			return
		}
	}
}

// rpcServer serves the requests of other instances.
type rpcServer struct{ s *Service }

// Outcomes on the wire besides those of a verdict.
const (
	outcomeNotOwned    = "elsewhere"
	outcomeHandingOver = "moving"
	outcomeHandedOver  = "moved"
	outcomeAccepted    = "accepted"
	outcomeRefused     = "refused"
)

func ownershipOutcome(o Ownership) string {
	return map[Ownership]string{NotOwned: outcomeNotOwned, HandingOver: outcomeHandingOver, HandedOver: outcomeHandedOver}[o]
}

func ownershipFromOutcome(outcome string) Ownership {
	switch outcome {
	case outcomeNotOwned:
		return NotOwned
	case outcomeHandingOver:
		return HandingOver
	case outcomeHandedOver:
		return HandedOver
	}
	return Owned
}

// Claim decides about a key at this instance or, with Relay set, forwards the
// request within the data centre. It implements wire.DRPCOnceServer.
func (v rpcServer) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return &wire.ClaimResponse{Outcome: string(Invalid)}, nil
	}
	digest := Digest(r.RequestDigest)
	if r.Relay {
		op := claimOp{key: key, keyText: r.Key, organisation: r.Organisation, digest: digest, executor: r.Executor}
		err := v.s.route(ctx, key, op.sendFunc(v.s), false)
		if errors.Is(err, errRecordNotFound) {
			return claimResponse(Verdict{Outcome: Unknown, Reason: ReasonNoRecord}), nil
		}
		if err != nil {
			return nil, err
		}
		return claimResponse(op.verdict), nil
	}
	verdict, ownership, successor := v.s.claimLocal(ctx, key, digest, r.Executor)
	if ownership != Owned {
		return &wire.ClaimResponse{Outcome: ownershipOutcome(ownership), Successor: successor}, nil
	}
	return claimResponse(verdict), nil
}

func claimResponse(v Verdict) *wire.ClaimResponse {
	return &wire.ClaimResponse{Outcome: string(v.Outcome), Reason: v.Reason, Answer: toWire(v.Answer)}
}

// Finish ends a claim at this instance or, with Relay set, forwards the request
// within the data centre. It implements wire.DRPCOnceServer.
func (v rpcServer) Finish(ctx context.Context, r *wire.FinishRequest) (*wire.FinishResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return &wire.FinishResponse{Outcome: outcomeRefused}, nil
	}
	op := finishOp{
		claimOp:  claimOp{key: key, keyText: r.Key, organisation: r.Organisation, digest: Digest(r.RequestDigest), executor: r.Executor},
		released: r.Released, answer: fromWire(r.Answer),
	}
	if r.Relay {
		if err := v.s.route(ctx, key, op.sendFunc(v.s), false); err != nil {
			return nil, err
		}
		return &wire.FinishResponse{Outcome: finishOutcome(op.accepted)}, nil
	}
	accepted, ownership, successor := v.s.finishLocal(ctx, op)
	if ownership != Owned {
		return &wire.FinishResponse{Outcome: ownershipOutcome(ownership), Successor: successor}, nil
	}
	return &wire.FinishResponse{Outcome: finishOutcome(accepted)}, nil
}

func finishOutcome(accepted bool) string {
	if accepted {
		return outcomeAccepted
	}
	return outcomeRefused
}

// Copy stores a copy of an answer of another instance's record. It implements
// wire.DRPCOnceServer.
func (v rpcServer) Copy(_ context.Context, r *wire.CopyRequest) (*wire.CopyResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return nil, ErrBadKey
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.store.AddAnswerCopy(key.ID, Digest(r.RequestDigest), fromWire(r.Answer))
	return &wire.CopyResponse{}, nil
}

// HandOver receives one part of a hand-over. It implements wire.DRPCOnceServer.
func (v rpcServer) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverResponse, error) {
	states := make([]KeyState, len(r.Keys))
	for i, k := range r.Keys {
		if len(k.Id) != idBytes || len(k.RequestDigest) != len(Digest{}) {
			return &wire.HandOverResponse{}, nil
		}
		states[i] = KeyState{
			ID: ID(k.Id), MintedMS: k.MintedMs, Digest: Digest(k.RequestDigest), Executor: k.Executor,
			Answered: k.Answered, Answer: fromWire(k.Answer),
		}
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	accepted := v.s.store.Receive(Part{
		RecordID: RecordID{r.Home, r.Incarnation}, HandOverID: r.HandOver, ReceiverIncarnation: r.Receiver, Number: r.Part, Last: r.Last,
		NowMS: r.NowMs, KeyStates: states,
	})
	return &wire.HandOverResponse{Accepted: accepted, Receiver: v.s.localRecordID.Incarnation}, nil
}

func toWire(a *Answer) *wire.StoredAnswer {
	if a == nil {
		return nil
	}
	return &wire.StoredAnswer{Status: uint32(a.Status), Headers: a.Headers, Body: a.Body}
}

func fromWire(a *wire.StoredAnswer) *Answer {
	if a == nil {
		return nil
	}
	return &Answer{Status: int(a.Status), Headers: a.Headers, Body: a.Body}
}
