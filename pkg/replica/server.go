package replica

import (
	"context"
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
	record, ok := (*Service)(v).takeOverHere(r.GetStream(), r.GetOrganisation(), r.GetNewOwner())
	if !ok {
		return &wire.TakeOverResponse{}, nil
	}
	return &wire.TakeOverResponse{Found: true, Record: recordToWire(&record)}, nil
}

func (s *Service) takeOverHere(stream, organisation, newOwner string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.store.TakeOver(stream, organisation, newOwner, time.Now())
	if ok {
		s.checkOwned(stream)
	}
	return record, ok
}
