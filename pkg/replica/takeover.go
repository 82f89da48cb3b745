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
		f := s.collect(ctx, stream, organisation, max(atLeast, 0))
		switch {
		case f.best != nil:
			s.takeovers.Add(ctx, 1)
			s.fence(ctx, stream, f.best.Term)
			return s.Own(*f.best)
		case f.silent > 0 && time.Now().Before(deadline):
		case f.short > 0:
			return nil, ErrStaleCopy
		default:
			return nil, ErrNotFound
		}
		select {
		case <-time.After(takeOverRetry):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// found is the result of the search for the copies of a stream.
type found struct {
	// best is the copy with the newest content, under the highest epoch.
	best *Record
	// known is the highest epoch at instances without a usable copy.
	known uint64
	// short counts copies that were too short, silent the instances that did
	// not answer.
	short, silent int
}

// add takes the answer of one instance into account.
func (f *found) add(r *Record, kind Copy) {
	switch kind {
	case Usable:
		f.best = better(f.best, r)
	case TooShort:
		f.short++
	}
	if kind != Usable {
		f.known = max(f.known, r.Term.Epoch)
	}
	if f.best != nil && f.best.Term.Epoch <= f.known {
		f.best.Term.Epoch = f.known + 1
	}
}

// collect raises the epoch at every reachable usable copy.
func (s *Service) collect(ctx context.Context, stream, organisation string, atLeast int) found {
	self := s.view.Self().ID
	request := &wire.TakeOverRequest{
		Stream: stream, Organisation: organisation, NewOwner: self, AtLeast: uint64(atLeast),
	}
	answers, asked := everywhere(ctx, s, func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.TakeOverResponse, error) {
		return c.TakeOver(ctx, request)
	})
	var f found
	here, kind := s.takeOverHere(stream, organisation, self, atLeast)
	f.add(&here, kind)
	for range asked {
		answer := <-answers
		if answer == nil {
			f.silent++
			continue
		}
		r, kind := Record{Term: Term{Epoch: answer.GetEpoch()}}, NoCopy
		switch {
		case answer.GetFound():
			r, kind = recordFromWire(answer.GetRecord()), Usable
		case answer.GetTooShort():
			kind = TooShort
		}
		f.add(&r, kind)
	}
	return f
}

// fence tells all reachable instances of the new term, so that none of them
// becomes the holder of an owner that does not know of it. Instances that do
// not answer within the time of a round trip are not waited for.
func (s *Service) fence(ctx context.Context, stream string, term Term) {
	request := &wire.FenceRequest{Stream: stream, Epoch: term.Epoch, Owner: term.Owner}
	answers, asked := everywhere(context.WithoutCancel(ctx), s,
		func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.FenceResponse, error) {
			return c.Fence(ctx, request)
		})
	limit := time.NewTimer(fenceWait)
	defer limit.Stop()
	for range asked {
		select {
		case <-answers:
		case <-limit.C:
			return
		}
	}
}

// everywhere calls all other instances at once. An answer is nil when an
// instance did not answer in time.
func everywhere[R any](
	ctx context.Context, s *Service, call func(context.Context, wire.DRPCReplicaClient) (*R, error),
) (answers chan *R, asked int) {
	members := s.view.Members()
	self := s.view.Self().ID
	answers = make(chan *R, len(members))
	for _, m := range members {
		if m.ID == self {
			continue
		}
		asked++
		go func() {
			answer, err := callOne(ctx, s, m, call)
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	return answers, asked
}

func callOne[R any](
	ctx context.Context, s *Service, m membership.Member,
	call func(context.Context, wire.DRPCReplicaClient) (*R, error),
) (*R, error) {
	return rpc.Call(ctx, s.dialer, m.PeerAddress, takeOverTimeout,
		func(ctx context.Context, conn drpc.Conn) (*R, error) {
			return call(ctx, wire.NewDRPCReplicaClient(conn))
		})
}

// Claim decides between instances that open one stream at the same time: the
// first instance by rendezvous hash that answers keeps the claim. It returns
// the instance whose claim holds. The claim of insteadOf is replaced.
func (s *Service) Claim(ctx context.Context, stream, insteadOf string) (string, error) {
	self := s.view.Self().ID
	for _, m := range membership.Rank(stream, s.view.Members()) {
		if m.ID == self {
			return s.claimHere(stream, self, insteadOf), nil
		}
		answer, err := callOne(ctx, s, m, func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.ClaimStreamResponse, error) {
			return c.ClaimStream(ctx, &wire.ClaimStreamRequest{Stream: stream, Claimant: self, InsteadOf: insteadOf})
		})
		if err == nil {
			return answer.GetHolder(), nil
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
	return s.claimHere(stream, self, insteadOf), nil
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
