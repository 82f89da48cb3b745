package streamrecord

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
	"storj.io/drpc"
)

// TakeOver makes this instance the owner of a stream, from the best copy that
// any reachable instance has. All instances are asked, because an earlier
// holder can have an outdated copy, and all are told the new term, so that none
// becomes the holder of an owner that does not know of it. A copy with fewer
// than atLeast tokens does not do: the caller already has more.
func (s *Service) TakeOver(ctx context.Context, stream, organisation string, atLeast int) (*Stream, error) {
	deadline := time.Now().Add(takeOverLimit)
	request := wire.TakeOverRequest{
		Stream: stream, Organisation: organisation, NewOwner: s.view.Self().ID, AtLeast: uint64(max(atLeast, 0)),
	}
	for {
		f := s.find(ctx, &request)
		var best *Record
		if f.usable > 0 {
			var err error
			if best, err = s.seize(ctx, &request, f); err != nil {
				return nil, err
			}
		}
		switch {
		case best != nil:
			s.takeovers.Add(ctx, 1)
			return s.Own(*best)
		case (f.usable > 0 || f.silent > 0) && time.Now().Before(deadline):
		case f.short > 0 || f.usable > 0:
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

// found counts the copies of a stream by their use.
type found struct {
	epoch                 uint64
	usable, short, silent int
	// answered names the instances that answered.
	answered map[string]bool
}

func (f *found) add(id string, epoch uint64, kind Copy) {
	f.answered[id] = true
	f.epoch = max(f.epoch, epoch)
	switch kind {
	case Usable:
		f.usable++
	case TooShort:
		f.short++
	}
}

// find asks all instances for their copies and changes nothing.
func (s *Service) find(ctx context.Context, r *wire.TakeOverRequest) found {
	f := found{answered: map[string]bool{}}
	answers, asked := s.askAll(ctx, &wire.TakeOverRequest{
		Stream: r.GetStream(), Organisation: r.GetOrganisation(), NewOwner: r.GetNewOwner(), AtLeast: r.GetAtLeast(),
	})
	epoch, kind := s.findHere(r.GetStream(), r.GetOrganisation(), int(r.GetAtLeast()))
	f.add(r.GetNewOwner(), epoch, kind)
	var grace <-chan time.Time
	for len(asked) > 0 {
		if grace == nil && !slices.ContainsFunc(asked, alive) {
			grace = time.After(suspectGrace)
		}
		select {
		case a := <-answers:
			asked = slices.DeleteFunc(asked, func(m membership.Member) bool { return m.ID == a.id })
			if a.response == nil {
				f.silent++
				s.fail(a.id)
				continue
			}
			f.add(a.id, a.response.GetEpoch(), Copy(a.response.GetCopy()))
		case <-grace:
			f.silent += len(asked)
			return f
		}
	}
	return f
}

func alive(m membership.Member) bool { return m.State == membership.Alive }

// seize announces the new term to all instances and returns the best copy. It
// does not wait for instances that did not answer before.
func (s *Service) seize(ctx context.Context, r *wire.TakeOverRequest, f found) (*Record, error) {
	term := Term{Epoch: f.epoch + 1, Owner: r.GetNewOwner()}
	answers, asked := s.askAll(context.WithoutCancel(ctx), &wire.TakeOverRequest{
		Stream: r.GetStream(), Organisation: r.GetOrganisation(), NewOwner: r.GetNewOwner(), AtLeast: r.GetAtLeast(),
		Epoch: term.Epoch,
	})
	var best *Record
	here, kind := s.takeOverHere(r.GetStream(), r.GetOrganisation(), term, int(r.GetAtLeast()))
	// Instances that left the member table since are not asked.
	wait := map[string]bool{}
	for _, m := range asked {
		if f.answered[m.ID] {
			wait[m.ID] = true
		}
	}
	for {
		switch kind {
		case Newer:
			return nil, ErrTakenOver
		case Usable:
			best = better(best, &here)
		}
		if len(wait) == 0 {
			return best, nil
		}
		a := <-answers
		delete(wait, a.id)
		here, kind = recordFromWire(a.response.GetRecord()), Copy(a.response.GetCopy())
	}
}

// answer is the answer of one instance; the response is nil without one.
type answer struct {
	id       string
	response *wire.TakeOverResponse
}

// FirstOwner returns the instance that a stream identifier names as its first
// owner, or nothing. Identifiers end in "-" and the instance.
func FirstOwner(stream string) string {
	_, owner, _ := strings.Cut(stream, "-")
	return owner
}

// askAll asks all other instances at once, and the first owner also when it is
// leaving.
func (s *Service) askAll(ctx context.Context, r *wire.TakeOverRequest) (answers chan answer, asked []membership.Member) {
	members := s.view.Members()
	owner, known := s.view.Member(FirstOwner(r.GetStream()))
	if known && !slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID == owner.ID }) {
		members = append(members, owner)
	}
	answers = make(chan answer, len(members))
	for _, m := range members {
		if m.ID == r.GetNewOwner() {
			continue
		}
		asked = append(asked, m)
		go func() {
			response, err := callOne(ctx, s, m,
				func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.TakeOverResponse, error) {
					return c.TakeOver(ctx, r)
				})
			if err != nil {
				response = nil
			}
			answers <- answer{id: m.ID, response: response}
		}()
	}
	return answers, asked
}

// better returns the copy with the newer content.
func better(a, b *Record) *Record {
	if a == nil || a.Written.Before(b.Written) || a.Written == b.Written && a.shorter(b) {
		c := *b
		return &c
	}
	return a
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

// shorter reports whether r has less of the stream than o, of the same term.
func (r *Record) shorter(o *Record) bool {
	return len(r.Tokens) < len(o.Tokens) || len(r.Tokens) == len(o.Tokens) && !r.Finished && o.Finished
}
