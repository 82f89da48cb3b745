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
	// message between instances. The caller still gets a larger one, once.
	MaxStoredAnswerBytes = 1 << 20
	// moveWait is how long one request waits for a hand-over at the old place;
	// it is below the time-out of the request.
	moveWait = 250 * time.Millisecond
)

// Service is the record of one-time keys of one entry instance and the client
// to the records of the others. Its kernel name is "once".
type Service struct {
	view   membership.View
	dialer *rpc.Dialer
	codec  Codec
	log    *slog.Logger
	own    Origin
	begun  time.Time

	mu     sync.Mutex
	keeper *Keeper
	// known are the instances of the own data centre that were seen alive.
	known map[string]bool
	// settled is closed when the hand-over of a planned stop has ended.
	settled chan struct{}
	stop    sync.Once
}

// New returns a service with an empty record of a new incarnation. The secret
// is the same at all entry instances.
func New(view membership.View, dialer *rpc.Dialer, secret string, log *slog.Logger) *Service {
	own := Origin{Home: view.Self().ID, Incarnation: random64()}
	return &Service{
		view: view, dialer: dialer, codec: NewCodec(secret), log: log, own: own, begun: time.Now(),
		keeper: NewKeeper(own, DefaultLimits()), known: map[string]bool{}, settled: make(chan struct{}),
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

// Register adds the drpc service to a mux.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterOnce(mux, server{s}), "register the key record")
}

// nowMS returns Unix milliseconds that a step of the system clock does not change.
func (s *Service) nowMS() int64 {
	return s.begun.UnixMilli() + time.Since(s.begun).Milliseconds()
}

// Mint returns new keys of this instance for an organisation.
func (s *Service) Mint(organisation string, count int) []string {
	self := s.view.Self()
	keys := make([]string, count)
	for i := range keys {
		k := Key{Home: s.own.Home, DataCentre: self.DataCentre, Incarnation: s.own.Incarnation, MintedMS: s.nowMS()}
		_, _ = rand.Read(k.ID[:])
		keys[i] = s.codec.Encode(k, organisation)
	}
	return keys
}

// localClaim decides at this instance. It waits a while for a hand-over.
func (s *Service) localClaim(ctx context.Context, k Key, digest Digest, executor uint64) (v Verdict, where Where, successor string) {
	s.settle(ctx, func() Where {
		v, where, successor = s.keeper.Claim(s.nowMS(), k, digest, executor)
		return where
	})
	return v, where, successor
}

// localFinish ends a claim at this instance and copies a completed answer.
func (s *Service) localFinish(ctx context.Context, f finish) (accepted bool, where Where, successor string) {
	s.settle(ctx, func() Where {
		accepted, where, successor = s.keeper.Finish(f.key, f.executor, f.released, f.answer)
		return where
	})
	if accepted && !f.released && f.answer != nil {
		s.copyAnswer(ctx, f)
	}
	return accepted, where, successor
}

// settle runs decide under the lock, again after a hand-over that was in progress.
func (s *Service) settle(ctx context.Context, decide func() Where) {
	locked := func() Where {
		s.mu.Lock()
		defer s.mu.Unlock()
		return decide()
	}
	if locked() != Moving {
		return
	}
	select {
	case <-s.settled:
		locked()
	case <-time.After(moveWait):
	case <-ctx.Done():
	}
}

// copies is the number of instances tried, in the order of their hash, as the
// keeper of a copy or as the successor; lookups ask as many.
const copies = 3

// seconds returns the instances of this data centre that keep the copies of a
// home's answers and its record after a planned stop, best first.
func (s *Service) seconds(home string) []membership.Member {
	ranked := membership.Rank(home, membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()))
	list := make([]membership.Member, 0, copies)
	for _, m := range ranked {
		if m.ID != home && len(list) < copies {
			list = append(list, m)
		}
	}
	return list
}

// leaving returns the instances of this data centre that were seen alive and
// are leaving: they decide about the records that they hold until they stop.
func (s *Service) leaving(home string) []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()) {
		s.known[m.ID] = true
	}
	var list []membership.Member
	for id := range s.known {
		m, found := s.view.Member(id)
		if !found {
			delete(s.known, id)
		} else if m.State == membership.Leaving && id != home {
			list = append(list, m)
		}
	}
	return list
}

// holders returns the other instances to which a record or an answer of home
// may go: its seconds and, in a data centre with two instances, the home itself
// after a restart. Lookups ask the home first.
func (s *Service) holders(home string) []membership.Member {
	var list []membership.Member
	for _, m := range s.seconds(home) {
		if m.ID != s.own.Home {
			list = append(list, m)
		}
	}
	for _, m := range s.view.Members() {
		if m.ID == home && m.ID != s.own.Home {
			list = append(list, m)
		}
	}
	return list
}

// copyAnswer keeps an answer at one more instance. When none can be reached,
// the answer is lost together with its record.
func (s *Service) copyAnswer(ctx context.Context, f finish) {
	for _, m := range s.holders(f.key.Home) {
		request := &wire.CopyRequest{
			Key: f.text, Organisation: f.organisation, RequestDigest: f.digest[:], Answer: toWire(f.answer),
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

// server answers the other instances.
type server struct{ s *Service }

// Words for places on the wire.
const (
	wordElsewhere = "elsewhere"
	wordMoving    = "moving"
	wordMoved     = "moved"
	wordAccepted  = "accepted"
	wordRefused   = "refused"
)

func word(w Where) string {
	return map[Where]string{Elsewhere: wordElsewhere, Moving: wordMoving, Moved: wordMoved}[w]
}

func whereOf(word string) Where {
	switch word {
	case wordElsewhere:
		return Elsewhere
	case wordMoving:
		return Moving
	case wordMoved:
		return Moved
	}
	return Here
}

// Claim implements wire.DRPCOnceServer.
func (v server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return &wire.ClaimResponse{Outcome: string(Invalid)}, nil
	}
	digest := Digest(r.RequestDigest)
	if r.Relay {
		c := claim{key: key, text: r.Key, organisation: r.Organisation, digest: digest, executor: r.Executor}
		err := v.s.route(ctx, key, c.ask(v.s), false)
		if errors.Is(err, errNotFound) {
			return claimResponse(Verdict{Outcome: Unknown, Reason: ReasonNoRecord}), nil
		}
		if err != nil {
			return nil, err
		}
		return claimResponse(c.verdict), nil
	}
	verdict, where, successor := v.s.localClaim(ctx, key, digest, r.Executor)
	if where != Here {
		return &wire.ClaimResponse{Outcome: word(where), Successor: successor}, nil
	}
	return claimResponse(verdict), nil
}

func claimResponse(v Verdict) *wire.ClaimResponse {
	return &wire.ClaimResponse{Outcome: string(v.Outcome), Reason: v.Reason, Answer: toWire(v.Answer)}
}

// Finish implements wire.DRPCOnceServer.
func (v server) Finish(ctx context.Context, r *wire.FinishRequest) (*wire.FinishResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return &wire.FinishResponse{Outcome: wordRefused}, nil
	}
	f := finish{
		claim:    claim{key: key, text: r.Key, organisation: r.Organisation, digest: Digest(r.RequestDigest), executor: r.Executor},
		released: r.Released, answer: fromWire(r.Answer),
	}
	if r.Relay {
		if err := v.s.route(ctx, key, f.ask(v.s), false); err != nil {
			return nil, err
		}
		return &wire.FinishResponse{Outcome: acceptedWord(f.accepted)}, nil
	}
	accepted, where, successor := v.s.localFinish(ctx, f)
	if where != Here {
		return &wire.FinishResponse{Outcome: word(where), Successor: successor}, nil
	}
	return &wire.FinishResponse{Outcome: acceptedWord(accepted)}, nil
}

func acceptedWord(accepted bool) string {
	if accepted {
		return wordAccepted
	}
	return wordRefused
}

// Copy implements wire.DRPCOnceServer.
func (v server) Copy(_ context.Context, r *wire.CopyRequest) (*wire.CopyResponse, error) {
	key, err := v.s.codec.Decode(r.Key, r.Organisation)
	if err != nil || len(r.RequestDigest) != len(Digest{}) {
		return nil, ErrBadKey
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.keeper.Copy(key.ID, Digest(r.RequestDigest), fromWire(r.Answer))
	return &wire.CopyResponse{}, nil
}

// HandOver implements wire.DRPCOnceServer.
func (v server) HandOver(_ context.Context, r *wire.HandOverRequest) (*wire.HandOverResponse, error) {
	states := make([]State, len(r.Keys))
	for i, k := range r.Keys {
		if len(k.Id) != idBytes || len(k.RequestDigest) != len(Digest{}) {
			return &wire.HandOverResponse{}, nil
		}
		states[i] = State{
			ID: ID(k.Id), MintedMS: k.MintedMs, Digest: Digest(k.RequestDigest), Executor: k.Executor,
			Answered: k.Answered, Answer: fromWire(k.Answer),
		}
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	accepted := v.s.keeper.Receive(Part{
		Origin: Origin{r.Home, r.Incarnation}, HandOver: r.HandOver, Receiver: r.Receiver, Number: r.Part, Last: r.Last,
		NowMS: r.NowMs, States: states,
	})
	return &wire.HandOverResponse{Accepted: accepted, Receiver: v.s.own.Incarnation}, nil
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
