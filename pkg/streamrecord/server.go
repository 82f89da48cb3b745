package streamrecord

import (
	"context"
	"math"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// server handles the calls of other instances to the Replica service.
type server Service

// Session applies batches of appends and acknowledges each. It implements
// wire.DRPCReplicaServer.
func (v *server) Session(stream wire.DRPCReplica_SessionStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(v.applyBatch(batch)); err != nil {
			return err
		}
	}
}

func (v *server) applyBatch(batch *wire.ReplicaBatch) *wire.ReplicaAck {
	s := (*Service)(v)
	ack := &wire.ReplicaAck{Sequence: batch.GetSequence()}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range batch.GetAppends() {
		if reason := s.applyAppend(a, batch.GetOwner(), now); reason != Accepted {
			ack.Rejects = append(ack.Rejects, &wire.ReplicaReject{
				Stream: a.GetStream(), Epoch: a.GetEpoch(), Reason: string(reason),
			})
		}
	}
	return ack
}

func (s *Service) applyAppend(a *wire.ReplicaAppend, owner string, now time.Time) Reason {
	if a.GetOpen() == nil {
		return s.store.Append(appendFromWire(a, owner), now)
	}
	reason := s.store.Open(recordFromWire(a.GetOpen()), now)
	s.endStaleOwnership(a.GetOpen().GetStream())
	return reason
}

// TakeOver implements wire.DRPCReplicaServer. A request with epoch
// 0 only queries the copy.
func (v *server) TakeOver(_ context.Context, r *wire.TakeOverRequest) (*wire.TakeOverResponse, error) {
	s := (*Service)(v)
	atLeast := int(min(r.GetAtLeast(), math.MaxInt))
	if r.GetEpoch() == 0 {
		epoch, status := s.findLocal(r.GetStream(), r.GetOrganisation(), atLeast)
		return &wire.TakeOverResponse{Copy: string(status), Epoch: epoch}, nil
	}
	term := Term{Epoch: r.GetEpoch(), Owner: r.GetNewOwner()}
	record, status := s.takeOverLocal(r.GetStream(), r.GetOrganisation(), term, atLeast)
	response := &wire.TakeOverResponse{Copy: string(status), Epoch: record.Term.Epoch}
	if status == Usable {
		response.Record = recordToWire(&record)
	}
	return response, nil
}

func (s *Service) findLocal(stream, organisation string, atLeast int) (uint64, CopyStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Find(stream, organisation, atLeast)
}

func (s *Service) takeOverLocal(stream, organisation string, term Term, atLeast int) (Record, CopyStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, status := s.store.TakeOver(stream, organisation, term, atLeast, time.Now())
	s.endStaleOwnership(stream)
	return record, status
}

// ClaimStream implements wire.DRPCReplicaServer.
func (v *server) ClaimStream(_ context.Context, r *wire.ClaimStreamRequest) (*wire.ClaimStreamResponse, error) {
	return &wire.ClaimStreamResponse{Holder: (*Service)(v).claimLocal(r.GetStream(), r.GetClaimant(), r.GetInsteadOf())}, nil
}

func (s *Service) claimLocal(stream, claimant, staleClaimant string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Claim(stream, claimant, staleClaimant, time.Now())
}
