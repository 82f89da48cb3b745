package replica

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
	atLeast := int(min(r.GetAtLeast(), math.MaxInt))
	record, kind := (*Service)(v).takeOverHere(r.GetStream(), r.GetOrganisation(), r.GetNewOwner(), atLeast)
	if kind != Usable {
		return &wire.TakeOverResponse{TooShort: kind == TooShort, Epoch: record.Term.Epoch}, nil
	}
	return &wire.TakeOverResponse{Found: true, Record: recordToWire(&record)}, nil
}

func (s *Service) takeOverHere(stream, organisation, newOwner string, atLeast int) (Record, Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, kind := s.store.TakeOver(stream, organisation, newOwner, atLeast, time.Now())
	if kind == Usable {
		s.checkOwned(stream)
	}
	return record, kind
}

// Fence implements wire.DRPCReplicaServer.
func (v *server) Fence(_ context.Context, r *wire.FenceRequest) (*wire.FenceResponse, error) {
	s := (*Service)(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Fence(r.GetStream(), Term{Epoch: r.GetEpoch(), Owner: r.GetOwner()}, time.Now())
	s.checkOwned(r.GetStream())
	return &wire.FenceResponse{}, nil
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
