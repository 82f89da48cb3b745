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

// TakeOver makes this instance the owner of a stream, from the newest copy of all
// reachable instances. It queries all instances, because an earlier holder can have
// an outdated copy, and announces the new term to all of them, so that none of them
// accepts appends from a previous owner. Copies with fewer than atLeast tokens are
// not used, because the caller already has those tokens.
func (s *Service) TakeOver(ctx context.Context, stream, organisation string, atLeast int) (*Stream, error) {
	deadline := time.Now().Add(takeOverTimeout)
	request := wire.TakeOverRequest{
		Stream: stream, Organisation: organisation, NewOwner: s.view.Self().ID, AtLeast: uint64(max(atLeast, 0)),
	}
	for {
		survey := s.surveyCopies(ctx, &request)
		var best *Record
		if survey.usable > 0 {
			var err error
			if best, err = s.announceTerm(ctx, &request, survey); err != nil {
				return nil, err
			}
		}
		switch {
		case best != nil:
			s.takeoverCount.Add(ctx, 1)
			return s.BecomeOwner(*best)
		case (survey.usable > 0 || survey.unanswered > 0) && time.Now().Before(deadline):
		case survey.tooShort > 0 || survey.usable > 0:
			return nil, ErrStaleCopy
		default:
			return nil, ErrNotFound
		}
		select {
		case <-time.After(takeOverRetryDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// copySurvey summarises the copies of a stream: the newest epoch, the number of
// usable and too short copies, and the number of instances that did not respond.
type copySurvey struct {
	epoch                        uint64
	usable, tooShort, unanswered int
	// responded holds the IDs of the instances that responded.
	responded map[string]bool
}

func (s *copySurvey) add(id string, epoch uint64, status CopyStatus) {
	s.responded[id] = true
	s.epoch = max(s.epoch, epoch)
	switch status {
	case Usable:
		s.usable++
	case TooShort:
		s.tooShort++
	}
}

// surveyCopies queries the copies of all instances without changing them.
func (s *Service) surveyCopies(ctx context.Context, r *wire.TakeOverRequest) copySurvey {
	survey := copySurvey{responded: map[string]bool{}}
	results, pending := s.callAll(ctx, &wire.TakeOverRequest{
		Stream: r.GetStream(), Organisation: r.GetOrganisation(), NewOwner: r.GetNewOwner(), AtLeast: r.GetAtLeast(),
	})
	epoch, status := s.findLocal(r.GetStream(), r.GetOrganisation(), int(r.GetAtLeast()))
	survey.add(r.GetNewOwner(), epoch, status)
	var suspectTimer <-chan time.Time
	for len(pending) > 0 {
		if suspectTimer == nil && !slices.ContainsFunc(pending, isAlive) {
			suspectTimer = time.After(suspectWait)
		}
		select {
		case result := <-results:
			pending = slices.DeleteFunc(pending, func(m membership.Member) bool { return m.ID == result.id })
			if result.response == nil {
				survey.unanswered++
				s.markFailed(result.id)
				continue
			}
			survey.add(result.id, result.response.GetEpoch(), CopyStatus(result.response.GetCopy()))
		case <-suspectTimer:
			survey.unanswered += len(pending)
			return survey
		}
	}
	return survey
}

func isAlive(m membership.Member) bool { return m.State == membership.Alive }

// announceTerm announces the new term to all instances and returns the newest copy.
// It waits only for the instances that responded to the survey.
func (s *Service) announceTerm(ctx context.Context, r *wire.TakeOverRequest, survey copySurvey) (*Record, error) {
	term := Term{Epoch: survey.epoch + 1, Owner: r.GetNewOwner()}
	results, called := s.callAll(context.WithoutCancel(ctx), &wire.TakeOverRequest{
		Stream: r.GetStream(), Organisation: r.GetOrganisation(), NewOwner: r.GetNewOwner(), AtLeast: r.GetAtLeast(),
		Epoch: term.Epoch,
	})
	var best *Record
	record, status := s.takeOverLocal(r.GetStream(), r.GetOrganisation(), term, int(r.GetAtLeast()))
	// Instances that left the membership list after the survey are not in called.
	pending := map[string]bool{}
	for _, m := range called {
		if survey.responded[m.ID] {
			pending[m.ID] = true
		}
	}
	for {
		switch status {
		case Newer:
			return nil, ErrTakenOver
		case Usable:
			best = newerCopy(best, &record)
		}
		if len(pending) == 0 {
			return best, nil
		}
		result := <-results
		delete(pending, result.id)
		record, status = recordFromWire(result.response.GetRecord()), CopyStatus(result.response.GetCopy())
	}
}

// callResult is the result of one call; the response is nil if the call failed.
type callResult struct {
	id       string
	response *wire.TakeOverResponse
}

// FirstOwner returns the ID of the first owner that a stream identifier contains
// after "-", or an empty string if it contains none.
func FirstOwner(stream string) string {
	_, owner, _ := strings.Cut(stream, "-")
	return owner
}

// callAll sends a request to all other instances concurrently, including the first
// owner if it is leaving, and returns the results and the instances called.
func (s *Service) callAll(ctx context.Context, r *wire.TakeOverRequest) (results chan callResult, called []membership.Member) {
	members := s.view.Members()
	owner, ok := s.view.Member(FirstOwner(r.GetStream()))
	if ok && !slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID == owner.ID }) {
		members = append(members, owner)
	}
	results = make(chan callResult, len(members))
	for _, m := range members {
		if m.ID == r.GetNewOwner() {
			continue
		}
		called = append(called, m)
		go func() {
			response, err := callInstance(ctx, s, m,
				func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.TakeOverResponse, error) {
					return c.TakeOver(ctx, r)
				})
			if err != nil {
				response = nil
			}
			results <- callResult{id: m.ID, response: response}
		}()
	}
	return results, called
}

// newerCopy returns the copy with the newer content: that of the newer ContentTerm,
// and of the same term the longer one. Only b must not be nil.
func newerCopy(a, b *Record) *Record {
	if a == nil || a.ContentTerm.Before(b.ContentTerm) || a.ContentTerm == b.ContentTerm && a.isShorterThan(b) {
		c := *b
		return &c
	}
	return a
}

// callInstance makes one call to the Replica service of an instance.
func callInstance[R any](
	ctx context.Context, s *Service, m membership.Member,
	call func(context.Context, wire.DRPCReplicaClient) (*R, error),
) (*R, error) {
	return rpc.Call(ctx, s.dialer, m.PeerAddress, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*R, error) {
			return call(ctx, wire.NewDRPCReplicaClient(conn))
		})
}

// Claim selects one of the instances that open a stream concurrently and returns
// its ID. The claim is stored at the first instance in the order of the rendezvous
// hash that responds. A claim of staleClaimant is replaced.
func (s *Service) Claim(ctx context.Context, stream, staleClaimant string) (string, error) {
	self := s.view.Self().ID
	for _, m := range membership.RankByHash(stream, s.view.Members()) {
		if m.ID == self {
			return s.claimLocal(stream, self, staleClaimant), nil
		}
		response, err := callInstance(ctx, s, m, func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.ClaimStreamResponse, error) {
			return c.ClaimStream(ctx, &wire.ClaimStreamRequest{Stream: stream, Claimant: self, InsteadOf: staleClaimant})
		})
		if err == nil {
			return response.GetHolder(), nil
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
	return s.claimLocal(stream, self, staleClaimant), nil
}

// isShorterThan reports whether r has fewer tokens than other, a copy of the same
// term, or lacks only its end.
func (r *Record) isShorterThan(other *Record) bool {
	return len(r.Tokens) < len(other.Tokens) || len(r.Tokens) == len(other.Tokens) && !r.Finished && other.Finished
}
