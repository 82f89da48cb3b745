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
	// partBytes bounds one message of a hand-over, below the limit of 4 MiB that
	// drpc sets for a message.
	partBytes = 1 << 20
	// stateBytes is the size of a key without its answer in a message.
	stateBytes = 64
	// handOverTimeout bounds one message of a hand-over.
	handOverTimeout = 2 * time.Second
	// handOverLimit bounds the whole hand-over; 2^19 keys take about 35 MB.
	handOverLimit = 10 * time.Second
	// holderWait is how long a stopping instance waits for an instance that can
	// take its record: one that has just restarted is known within a second.
	holderWait = 3 * time.Second
	holderPoll = 100 * time.Millisecond
	// handOverTries repeats a message before the successor is given up.
	handOverTries = 3
)

// Stop hands the records of this instance over. From then on this instance
// decides about no key, also when the hand-over fails. It has its own time
// limit: ctx may have ended while streams were still running.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverLimit)
	defer cancel()
	s.stop.Do(func() {
		defer close(s.settled)
		s.mu.Lock()
		moving := s.keeper.BeginHandOver()
		s.mu.Unlock()
		for origin, record := range moving {
			successor := s.handOver(ctx, origin, record)
			if successor == "" {
				s.log.Warn("the key record was lost: no successor took it", "home", origin.Home)
			}
			s.mu.Lock()
			s.keeper.EndHandOver(origin, successor)
			s.mu.Unlock()
		}
	})
	return nil
}

// handOver sends a record to the first holder that takes it and returns its
// identifier. The records of a stopping instance do not change any more.
func (s *Service) handOver(ctx context.Context, origin Origin, record *Record) string {
	parts := split(origin, record)
	for begun := time.Now(); ; {
		for _, m := range s.holders(origin.Home) {
			taken, pinned := s.send(ctx, m, parts)
			if taken {
				s.log.Info("the key record was handed over", "home", origin.Home, "successor", m.ID, "parts", len(parts))
			}
			if taken || pinned {
				return m.ID
			}
		}
		if time.Since(begun) > holderWait || ctx.Err() != nil {
			return ""
		}
		time.Sleep(holderPoll)
	}
}

// send sends all parts to one instance. It is pinned when the last part may
// have arrived: then no other instance may get the record.
func (s *Service) send(ctx context.Context, m membership.Member, parts []*wire.HandOverRequest) (taken, pinned bool) {
	receiver := uint64(0)
	for _, part := range parts {
		part.Receiver = receiver
		response, unsure := s.sendPart(ctx, m, part)
		if response == nil || !response.Accepted {
			return false, unsure && part.Last
		}
		receiver = response.Receiver
	}
	return true, false
}

// sendPart repeats one part until it is answered. It is unsure when the part
// may have arrived at a try that was not answered.
func (s *Service) sendPart(ctx context.Context, m membership.Member, part *wire.HandOverRequest) (response *wire.HandOverResponse, unsure bool) {
	for range handOverTries {
		response, err := rpc.Call(ctx, s.dialer, m.PeerAddress, handOverTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.HandOverResponse, error) {
				return wire.NewDRPCOnceClient(conn).HandOver(ctx, part)
			})
		if err == nil {
			return response, unsure
		}
		var dial *rpc.DialError
		unsure = unsure || !errors.As(err, &dial)
	}
	return nil, unsure
}

// split returns the messages of a hand-over. The last one carries no keys, so
// that it is never the first.
func split(origin Origin, record *Record) []*wire.HandOverRequest {
	id := random64()
	next := func(part int) *wire.HandOverRequest {
		return &wire.HandOverRequest{
			Home: origin.Home, Incarnation: origin.Incarnation, Part: uint32(part), NowMs: record.nowMS, HandOver: id,
		}
	}
	parts := []*wire.HandOverRequest{next(0)}
	size := int64(0)
	for state := range record.States {
		id, digest := state.ID, state.Digest
		size += stateBytes
		if state.Answer != nil {
			size += state.Answer.bytes()
		}
		last := parts[len(parts)-1]
		if size > partBytes && len(last.Keys) > 0 {
			last = next(len(parts))
			parts = append(parts, last)
			size = stateBytes
			if state.Answer != nil {
				size += state.Answer.bytes()
			}
		}
		last.Keys = append(last.Keys, &wire.KeyState{
			Id: id[:], MintedMs: state.MintedMS, RequestDigest: digest[:], Executor: state.Executor,
			Answered: state.Answered, Answer: toWire(state.Answer),
		})
	}
	end := next(len(parts))
	end.Last = true
	return append(parts, end)
}
