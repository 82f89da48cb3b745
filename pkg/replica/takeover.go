package replica

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
	"storj.io/drpc"
)

// TakeOver makes this instance the owner of a stream, from the best copy that
// any reachable instance has. All instances are asked, because an earlier
// holder can have an outdated copy. A copy with fewer than atLeast tokens does
// not do: the caller already has more.
func (s *Service) TakeOver(ctx context.Context, stream, organisation string, atLeast int) (*Stream, error) {
	deadline := time.Now().Add(takeOverLimit)
	for {
		best, silent := s.collect(ctx, stream, organisation)
		switch {
		case best != nil && len(best.Tokens) >= atLeast:
			s.takeovers.Add(ctx, 1)
			return s.Own(*best)
		case silent == 0 || time.Now().After(deadline):
			if best != nil {
				return nil, ErrStaleCopy
			}
			return nil, ErrNotFound
		}
		select {
		case <-time.After(takeOverRetry):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// collect raises the epoch at every reachable copy and returns the best one
// under the highest epoch, and the number of instances that did not answer.
func (s *Service) collect(ctx context.Context, stream, organisation string) (best *Record, silent int) {
	self := s.view.Self().ID
	members := s.view.Members()
	answers := make(chan *wire.TakeOverResponse, len(members))
	asked := 0
	for _, m := range members {
		if m.ID == self {
			continue
		}
		asked++
		go func() { answers <- s.ask(ctx, m, stream, organisation, self) }()
	}
	if r, ok := s.takeOverHere(stream, organisation, self); ok {
		best = &r
	}
	for range asked {
		answer := <-answers
		switch {
		case answer == nil:
			silent++
		case answer.GetFound():
			r := recordFromWire(answer.GetRecord())
			best = better(best, &r)
		}
	}
	return best, silent
}

// better returns the copy with the newer content under the higher epoch.
func better(a, b *Record) *Record {
	if a == nil {
		return b
	}
	term := a.Term
	if term.Before(b.Term) {
		term = b.Term
	}
	if a.Written.Before(b.Written) || a.Written == b.Written && a.shorter(b) {
		a = b
	}
	a.Term = term
	return a
}

// shorter reports whether r has less of the stream than o, of the same term.
func (r *Record) shorter(o *Record) bool {
	return len(r.Tokens) < len(o.Tokens) || len(r.Tokens) == len(o.Tokens) && !r.Finished && o.Finished
}

func (s *Service) ask(ctx context.Context, m membership.Member, stream, organisation, self string) *wire.TakeOverResponse {
	answer, err := rpc.Call(ctx, s.dialer, m.PeerAddress, takeOverTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.TakeOverResponse, error) {
			return wire.NewDRPCReplicaClient(conn).TakeOver(ctx, &wire.TakeOverRequest{
				Stream: stream, Organisation: organisation, NewOwner: self,
			})
		})
	if err != nil {
		return nil
	}
	return answer
}
