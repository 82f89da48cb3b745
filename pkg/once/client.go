package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// callTimeout bounds one request to an instance of the same region; it is
	// well above the round trip of 3 ms and a scheduling delay.
	callTimeout = 500 * time.Millisecond
	// relayTimeout bounds a request that another data centre passes on.
	relayTimeout = 3 * time.Second
	// tries is 2 because the first connection may have gone silent while a new
	// one works. A repeated request of one executor gets the same outcome.
	tries = 2
	// secondRound is the time between two searches for a record; a hand-over of a
	// small record takes less.
	secondRound = 200 * time.Millisecond
	// maxMoves bounds the successors followed.
	maxMoves = 8
	// relays is the number of instances of another data centre asked to pass on.
	relays = 2
)

// errNotFound tells that no instance that answered has the record.
var errNotFound = errors.New("no reachable instance has the record of the key")

// lostError tells that a request may have taken effect without an answer.
type lostError struct{ err error }

// Error implements error.
func (e *lostError) Error() string { return "no answer from the record of the key: " + e.err.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.err }

// claim is one request for the right to run a call.
type claim struct {
	key          Key
	text         string
	organisation string
	digest       Digest
	executor     uint64
	verdict      Verdict
}

// finish is the end of a claim.
type finish struct {
	claim
	released bool
	answer   *Answer
	accepted bool
}

// ask sends a request to one instance, which may be this one.
type ask func(ctx context.Context, m membership.Member, relay bool) (Where, string, error)

func timeoutOf(relay bool) time.Duration {
	if relay {
		return relayTimeout
	}
	return callTimeout
}

func (c *claim) ask(s *Service) ask {
	return func(ctx context.Context, m membership.Member, relay bool) (where Where, successor string, err error) {
		if m.ID == s.own.Home {
			c.verdict, where, successor = s.localClaim(ctx, c.key, c.digest, c.executor)
			return where, successor, nil
		}
		request := &wire.ClaimRequest{
			Key: c.text, Organisation: c.organisation, RequestDigest: c.digest[:], Executor: c.executor, Relay: relay,
		}
		response, err := rpc.Call(ctx, s.dialer, m.PeerAddress, timeoutOf(relay),
			func(ctx context.Context, conn drpc.Conn) (*wire.ClaimResponse, error) {
				return wire.NewDRPCOnceClient(conn).Claim(ctx, request)
			})
		if err != nil {
			return 0, "", err
		}
		c.verdict = Verdict{Outcome: Outcome(response.Outcome), Reason: response.Reason, Answer: fromWire(response.Answer)}
		return whereOf(response.Outcome), response.Successor, nil
	}
}

func (f *finish) ask(s *Service) ask {
	return func(ctx context.Context, m membership.Member, relay bool) (where Where, successor string, err error) {
		if m.ID == s.own.Home {
			f.accepted, where, successor = s.localFinish(ctx, *f)
			return where, successor, nil
		}
		request := &wire.FinishRequest{
			Key: f.text, Organisation: f.organisation, RequestDigest: f.digest[:], Executor: f.executor,
			Released: f.released, Answer: toWire(f.answer), Relay: relay,
		}
		response, err := rpc.Call(ctx, s.dialer, m.PeerAddress, timeoutOf(relay),
			func(ctx context.Context, conn drpc.Conn) (*wire.FinishResponse, error) {
				return wire.NewDRPCOnceClient(conn).Finish(ctx, request)
			})
		if err != nil {
			return 0, "", err
		}
		f.accepted = response.Outcome == wordAccepted
		return whereOf(response.Outcome), response.Successor, nil
	}
}

// route asks the instance that decides about a key. A record may move between
// two requests of one round, so a second round follows when none was found.
func (s *Service) route(ctx context.Context, k Key, try ask, mayRelay bool) error {
	err := s.round(ctx, k, try, mayRelay)
	if !errors.Is(err, errNotFound) {
		return err
	}
	select {
	case <-time.After(secondRound):
	case <-ctx.Done():
		return err
	}
	return s.round(ctx, k, try, mayRelay)
}

// round finds the instance that decides about a key and asks it: the home, the
// successor that it names, or the seconds of the home. Another data centre is
// asked to pass the request on, because its members are not known in detail.
func (s *Service) round(ctx context.Context, k Key, try ask, mayRelay bool) error {
	self := s.view.Self()
	var targets []membership.Member
	home, known := s.view.Member(k.Home)
	if k.Home == self.ID {
		home, known = self, true
	}
	if known && home.DataCentre == k.DataCentre {
		targets = append(targets, home)
	}
	local := k.DataCentre == self.DataCentre
	if local {
		targets = append(targets, s.seconds(k.Home)...)
		targets = append(targets, s.leaving(k.Home)...)
	}
	var lost error
	for _, m := range targets {
		found, err := s.follow(ctx, m, try)
		if found {
			return nil
		}
		lost = firstLost(lost, err)
	}
	if !local && mayRelay {
		for _, m := range s.relays(k) {
			where, _, err := try(ctx, m, true)
			if err == nil && where == Here {
				return nil
			}
			lost = firstLost(lost, err)
		}
	}
	if lost != nil {
		return &lostError{lost}
	}
	return errNotFound
}

// firstLost keeps the first error after which a request may have taken effect.
func firstLost(lost, err error) error {
	var dial *rpc.DialError
	if lost != nil || err == nil || errors.As(err, &dial) {
		return lost
	}
	return err
}

// relays returns known instances in the data centre of a key, without its home.
func (s *Service) relays(k Key) []membership.Member {
	var list []membership.Member
	for _, m := range membership.Rank(k.Home, membership.InDataCentre(k.DataCentre, s.view.Members())) {
		if m.ID != k.Home && len(list) < relays {
			list = append(list, m)
		}
	}
	return list
}

// follow asks one instance and the successors that it names.
func (s *Service) follow(ctx context.Context, m membership.Member, try ask) (found bool, err error) {
	for range maxMoves {
		where, successor, err := s.persist(ctx, m, try)
		if err != nil || where == Here {
			return err == nil, err
		}
		next, known := s.view.Member(successor)
		if successor == s.own.Home {
			next, known = s.view.Self(), true
		}
		if where != Moved || !known {
			return false, nil
		}
		m = next
	}
	return false, nil
}

// persist repeats a request on a new connection after a loss, and while a
// hand-over is in progress.
func (s *Service) persist(ctx context.Context, m membership.Member, try ask) (where Where, successor string, err error) {
	for failed := 0; failed < tries && ctx.Err() == nil; {
		where, successor, err = try(ctx, m, false)
		if err == nil && where != Moving {
			return where, successor, nil
		}
		if err != nil {
			failed++
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return where, successor, err
}

// Claim asks the home of the key for the right to run the call.
func (s *Service) Claim(ctx context.Context, organisation, text string, digest Digest) Verdict {
	key, err := s.codec.Decode(text, organisation)
	if err != nil {
		return Verdict{Outcome: Invalid}
	}
	c := claim{key: key, text: text, organisation: organisation, digest: digest, executor: rand.Uint64()}
	named := Claim{Key: text, Organisation: organisation, Digest: digest, Executor: c.executor}
	err = s.route(ctx, key, c.ask(s), true)
	var lost *lostError
	switch {
	case err == nil && c.verdict.Outcome == Claimed:
		c.verdict.Claim = named
		return c.verdict
	case err == nil:
		return c.verdict
	case !errors.As(err, &lost):
		return Verdict{Outcome: Unknown, Reason: ReasonNoRecord}
	}
	// The claim may hold without our knowledge. Nothing was sent for it, so a
	// release that the record accepts proves that the call did not run.
	if s.Release(context.WithoutCancel(ctx), named) {
		return Verdict{Outcome: NotRun, Reason: ReasonClaimLost}
	}
	return Verdict{Outcome: Unknown, Reason: ReasonHomeUnreachable}
}

// Complete stores the answer of a claimed call. When the record cannot be
// reached, a copy is kept where lookups find it.
func (s *Service) Complete(ctx context.Context, c Claim, a Answer) error {
	f, err := s.finish(c)
	if err != nil {
		return err
	}
	if a.bytes() <= MaxStoredAnswerBytes {
		f.answer = &a
	}
	if err := s.route(ctx, f.key, f.ask(s), true); err != nil {
		if f.answer != nil && f.key.DataCentre == s.view.Self().DataCentre {
			s.copyAnswer(ctx, f)
		}
		return eris.Wrap(err, "complete a call")
	}
	if !f.accepted {
		return eris.New("the record does not know the claim")
	}
	return nil
}

// Release ends a claim whose call provably did not run. It reports whether the
// record accepted, so that the key can be used again.
func (s *Service) Release(ctx context.Context, c Claim) bool {
	f, err := s.finish(c)
	if err != nil {
		return false
	}
	f.released = true
	return s.route(ctx, f.key, f.ask(s), true) == nil && f.accepted
}

func (s *Service) finish(c Claim) (finish, error) {
	key, err := s.codec.Decode(c.Key, c.Organisation)
	if err != nil {
		return finish{}, err
	}
	return finish{claim: claim{
		key: key, text: c.Key, organisation: c.Organisation, digest: c.Digest, executor: c.Executor,
	}}, nil
}
