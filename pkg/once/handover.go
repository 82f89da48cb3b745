package once

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxPartBytes bounds one message of a hand-over, below the limit of 4 MiB that
	// drpc sets for a message.
	maxPartBytes = 1 << 20
	// keyStateBytes is the encoded size of the state of a key without its answer.
	keyStateBytes = 64
	// partTimeout bounds the call that sends one part.
	partTimeout = 2 * time.Second
	// handOverTimeout bounds the whole hand-over; 2^19 keys take about 35 MB.
	handOverTimeout = 10 * time.Second
	// successorWait is how long a stopping instance looks for an instance that
	// accepts its record. One that has just restarted appears in the membership
	// list within a second.
	successorWait         = 3 * time.Second
	successorPollInterval = 100 * time.Millisecond
	// maxPartAttempts is how often one part is sent before the next candidate
	// successor is tried.
	maxPartAttempts = 3
)

// Stop hands over the records that this instance holds. From then on this
// instance decides about no key, even if the hand-over fails. Stop ignores the
// cancellation of ctx, which may have ended while streams were still running,
// and is bounded by handOverTimeout instead.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	s.stopOnce.Do(func() {
		defer close(s.handOverDone)
		s.mu.Lock()
		records := s.store.BeginHandOver()
		s.mu.Unlock()
		for id, record := range records {
			successor := s.handOver(ctx, id, record)
			if successor == "" {
				s.log.Warn("the key record was lost: no instance accepted it", "home", id.Home)
			}
			s.mu.Lock()
			s.store.EndHandOver(id, successor)
			s.mu.Unlock()
		}
	})
	return nil
}

// handOver sends a record to the first backup target that accepts it and returns
// the identifier of that instance, or an empty string if none did. The record
// does not change meanwhile, because this instance is stopping.
func (s *Service) handOver(ctx context.Context, id RecordID, record *Record) string {
	parts := splitIntoParts(id, record)
	for startedAt := time.Now(); ; {
		for _, m := range s.backupTargets(id.Home) {
			accepted, mayOwn := s.sendParts(ctx, m, parts)
			if accepted {
				s.log.Info("the key record was handed over", "home", id.Home, "successor", m.ID, "parts", len(parts))
			}
			if accepted || mayOwn {
				return m.ID
			}
		}
		if time.Since(startedAt) > successorWait || ctx.Err() != nil {
			return ""
		}
		time.Sleep(successorPollInterval)
	}
}

// sendParts sends all parts to one instance. mayOwn reports that the last part
// may have arrived without a response: the receiver may then decide about the
// keys, so no other instance may receive the record.
func (s *Service) sendParts(ctx context.Context, m membership.Member, parts []*wire.HandOverRequest) (accepted, mayOwn bool) {
	receiver := uint64(0)
	for _, part := range parts {
		part.Receiver = receiver
		response, mayHaveArrived := s.sendPart(ctx, m, part)
		if response == nil || !response.Accepted {
			return false, mayHaveArrived && part.Last
		}
		receiver = response.Receiver
	}
	return true, false
}

// sendPart sends one part until a response arrives, at most maxPartAttempts
// times. mayHaveArrived reports that the part may have been received in an
// attempt without a response.
func (s *Service) sendPart(ctx context.Context, m membership.Member, part *wire.HandOverRequest) (response *wire.HandOverResponse, mayHaveArrived bool) {
	for range maxPartAttempts {
		response, err := rpc.Call(ctx, s.dialer, m.PeerAddress, partTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.HandOverResponse, error) {
				return wire.NewDRPCOnceClient(conn).HandOver(ctx, part)
			})
		if err == nil {
			return response, mayHaveArrived
		}
		var dialError *rpc.DialError
		mayHaveArrived = mayHaveArrived || !errors.As(err, &dialError)
	}
	return nil, mayHaveArrived
}

// splitIntoParts returns the messages of a hand-over. The last one carries no
// keys, so there are at least two and the last one is never the first.
func splitIntoParts(recordID RecordID, record *Record) []*wire.HandOverRequest {
	handOverID := random64()
	newPart := func(number int) *wire.HandOverRequest {
		return &wire.HandOverRequest{
			Home: recordID.Home, Incarnation: recordID.Incarnation, Part: uint32(number), NowMs: record.nowMS, HandOver: handOverID,
		}
	}
	parts := []*wire.HandOverRequest{newPart(0)}
	size := int64(0)
	for state := range record.KeyStates {
		keyID, digest := state.ID, state.Digest
		size += keyStateBytes
		if state.Answer != nil {
			size += state.Answer.size()
		}
		last := parts[len(parts)-1]
		if size > maxPartBytes && len(last.Keys) > 0 {
			last = newPart(len(parts))
			parts = append(parts, last)
			size = keyStateBytes
			if state.Answer != nil {
				size += state.Answer.size()
			}
		}
		last.Keys = append(last.Keys, &wire.KeyState{
			Id: keyID[:], MintedMs: state.MintedMS, RequestDigest: digest[:], Executor: state.Executor,
			Answered: state.Answered, Answer: toWire(state.Answer),
		})
	}
	lastPart := newPart(len(parts))
	lastPart.Last = true
	return append(parts, lastPart)
}
