package streamrecord

import (
	"context"
	"math"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// server answers the calls of other instances.
type server Service

// Session implements wire.DRPCReplicaServer.
func (v *server) Session(stream wire.DRPCReplica_SessionStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(v.apply(batch)); err != nil {
			return err
		}
	}
}

func (v *server) apply(batch *wire.ReplicaBatch) *wire.ReplicaAck {
	s := (*Service)(v)
	ack := &wire.ReplicaAck{Sequence: batch.GetSequence()}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range batch.GetAppends() {
		if reason := s.applyOne(a, batch.GetOwner(), now); reason != Accepted {
			ack.Rejects = append(ack.Rejects, &wire.ReplicaReject{
				Stream: a.GetStream(), Epoch: a.GetEpoch(), Reason: string(reason),
			})
		}
	}
	return ack
}

func (s *Service) applyOne(a *wire.ReplicaAppend, owner string, now time.Time) Reason {
	if a.GetOpen() == nil {
		return s.store.Append(appendFromWire(a, owner), now)
	}
	reason := s.store.Open(recordFromWire(a.GetOpen()), now)
	s.checkOwned(a.GetOpen().GetStream())
	return reason
}

// TakeOver implements wire.DRPCReplicaServer.
func (v *server) TakeOver(_ context.Context, r *wire.TakeOverRequest) (*wire.TakeOverResponse, error) {
	s := (*Service)(v)
	atLeast := int(min(r.GetAtLeast(), math.MaxInt))
	if r.GetEpoch() == 0 {
		epoch, kind := s.findHere(r.GetStream(), r.GetOrganisation(), atLeast)
		return &wire.TakeOverResponse{Copy: string(kind), Epoch: epoch}, nil
	}
	term := Term{Epoch: r.GetEpoch(), Owner: r.GetNewOwner()}
	record, kind := s.takeOverHere(r.GetStream(), r.GetOrganisation(), term, atLeast)
	response := &wire.TakeOverResponse{Copy: string(kind), Epoch: record.Term.Epoch}
	if kind == Usable {
		response.Record = recordToWire(&record)
	}
	return response, nil
}

func (s *Service) findHere(stream, organisation string, atLeast int) (uint64, Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Find(stream, organisation, atLeast)
}

func (s *Service) takeOverHere(stream, organisation string, term Term, atLeast int) (Record, Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, kind := s.store.TakeOver(stream, organisation, term, atLeast, time.Now())
	s.checkOwned(stream)
	return record, kind
}

// ClaimStream implements wire.DRPCReplicaServer.
func (v *server) ClaimStream(_ context.Context, r *wire.ClaimStreamRequest) (*wire.ClaimStreamResponse, error) {
	return &wire.ClaimStreamResponse{Holder: (*Service)(v).claimHere(r.GetStream(), r.GetClaimant(), r.GetInsteadOf())}, nil
}

func (s *Service) claimHere(stream, claimant, insteadOf string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Claim(stream, claimant, insteadOf, time.Now())
}
