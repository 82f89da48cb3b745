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
	// callTimeout bounds one request to an instance of the same region. A round trip
	// takes 3 ms; the rest is for scheduling delays.
	callTimeout = 500 * time.Millisecond
	// relayTimeout bounds a request that an instance in another data centre forwards.
	relayTimeout = 3 * time.Second
	// maxSendFailures is 2 because the pooled connection may be dead while a new one
	// works. Repeating is safe: a repeated request of one executor gets the same
	// outcome.
	maxSendFailures = 2
	// routeRetryDelay is the pause before a second search for a record. The
	// hand-over of a small record takes less time.
	routeRetryDelay = 200 * time.Millisecond
	// maxSuccessorHops bounds how many successors are followed from one instance.
	maxSuccessorHops = 8
	// maxRelays bounds how many instances of another data centre are requested
	// to forward a request.
	maxRelays = 2
)

// errRecordNotFound means that none of the instances that answered holds the record.
var errRecordNotFound = errors.New("no reachable instance has the record of the key")

// indeterminateError means that a request may have taken effect although no
// response was received.
type indeterminateError struct{ err error }

// Error implements error.
func (e *indeterminateError) Error() string {
	return "no response from the instance that has the record of the one-time key: " + e.err.Error()
}

// Unwrap returns the error of the request.
func (e *indeterminateError) Unwrap() error { return e.err }

// claimOp is a request for the right to run a call, with the verdict received.
type claimOp struct {
	key          Key
	keyText      string
	organisation string
	digest       Digest
	executor     uint64
	verdict      Verdict
}

// finishOp is a request to complete or release a claim.
type finishOp struct {
	claimOp
	released bool
	answer   *Answer
	accepted bool
}

// sendFunc sends a request to one instance, which may be this one. With relay
// set, that instance forwards the request within its data centre.
type sendFunc func(ctx context.Context, target membership.Member, relay bool) (Ownership, string, error)

func requestTimeout(relay bool) time.Duration {
	if relay {
		return relayTimeout
	}
	return callTimeout
}

func (c *claimOp) sendFunc(s *Service) sendFunc {
	return func(ctx context.Context, target membership.Member, relay bool) (ownership Ownership, successor string, err error) {
		if target.ID == s.localRecordID.Home {
			c.verdict, ownership, successor = s.claimLocal(ctx, c.key, c.digest, c.executor)
			return ownership, successor, nil
		}
		request := &wire.ClaimRequest{
			Key: c.keyText, Organisation: c.organisation, RequestDigest: c.digest[:], Executor: c.executor, Relay: relay,
		}
		response, err := rpc.Call(ctx, s.dialer, target.PeerAddress, requestTimeout(relay),
			func(ctx context.Context, conn drpc.Conn) (*wire.ClaimResponse, error) {
				return wire.NewDRPCOnceClient(conn).Claim(ctx, request)
			})
		if err != nil {
			return 0, "", err
		}
		c.verdict = Verdict{Outcome: Outcome(response.Outcome), Reason: response.Reason, Answer: fromWire(response.Answer)}
		return ownershipFromOutcome(response.Outcome), response.Successor, nil
	}
}

func (f *finishOp) sendFunc(s *Service) sendFunc {
	return func(ctx context.Context, target membership.Member, relay bool) (ownership Ownership, successor string, err error) {
		if target.ID == s.localRecordID.Home {
			f.accepted, ownership, successor = s.finishLocal(ctx, *f)
			return ownership, successor, nil
		}
		request := &wire.FinishRequest{
			Key: f.keyText, Organisation: f.organisation, RequestDigest: f.digest[:], Executor: f.executor,
			Released: f.released, Answer: toWire(f.answer), Relay: relay,
		}
		response, err := rpc.Call(ctx, s.dialer, target.PeerAddress, requestTimeout(relay),
			func(ctx context.Context, conn drpc.Conn) (*wire.FinishResponse, error) {
				return wire.NewDRPCOnceClient(conn).Finish(ctx, request)
			})
		if err != nil {
			return 0, "", err
		}
		f.accepted = response.Outcome == outcomeAccepted
		return ownershipFromOutcome(response.Outcome), response.Successor, nil
	}
}

// route sends a request to the instance that decides about a key. The record
// may be handed over between two requests of one attempt, so a second attempt
// follows when the first finds no record.
func (s *Service) route(ctx context.Context, k Key, send sendFunc, mayRelay bool) error {
	err := s.routeAttempt(ctx, k, send, mayRelay)
	if !errors.Is(err, errRecordNotFound) {
		return err
	}
	select {
	case <-time.After(routeRetryDelay):
	case <-ctx.Done():
		return err
	}
	return s.routeAttempt(ctx, k, send, mayRelay)
}

// routeAttempt tries the instances that may decide about a key: its home, the
// successors that the home names, the backups of the home, and instances that
// are leaving. For a key of another data centre it also sends the request to
// instances there, which forward it, because this instance knows only some of the
// members of that data centre.
func (s *Service) routeAttempt(ctx context.Context, k Key, send sendFunc, mayRelay bool) error {
	self := s.view.Self()
	var targets []membership.Member
	home, homeFound := s.view.Member(k.Home)
	if k.Home == self.ID {
		home, homeFound = self, true
	}
	if homeFound && home.DataCentre == k.DataCentre {
		targets = append(targets, home)
	}
	sameDataCentre := k.DataCentre == self.DataCentre
	if sameDataCentre {
		targets = append(targets, s.backups(k.Home)...)
		targets = append(targets, s.leavingInstances(k.Home)...)
	}
	var indeterminate error
	for _, m := range targets {
		decided, err := s.followSuccessors(ctx, m, send)
		if decided {
			return nil
		}
		indeterminate = firstIndeterminate(indeterminate, err)
	}
	if !sameDataCentre && mayRelay {
		for _, m := range s.relayTargets(k) {
			ownership, _, err := send(ctx, m, true)
			if err == nil && ownership == Owned {
				return nil
			}
			indeterminate = firstIndeterminate(indeterminate, err)
		}
	}
	if indeterminate != nil {
		return &indeterminateError{indeterminate}
	}
	return errRecordNotFound
}

// firstIndeterminate returns indeterminate if it is set, else err unless err is
// nil or a dial error. A request whose connection failed has had no effect.
func firstIndeterminate(indeterminate, err error) error {
	var dialError *rpc.DialError
	if indeterminate != nil || err == nil || errors.As(err, &dialError) {
		return indeterminate
	}
	return err
}

// relayTargets returns up to maxRelays instances in the data centre of a key,
// without its home.
func (s *Service) relayTargets(k Key) []membership.Member {
	var targets []membership.Member
	for _, m := range membership.RankByHash(k.Home, membership.InDataCentre(k.DataCentre, s.view.Members())) {
		if m.ID != k.Home && len(targets) < maxRelays {
			targets = append(targets, m)
		}
	}
	return targets
}

// followSuccessors sends a request to an instance and, each time the record was
// handed over, to the successor named in the response. It reports whether an
// instance decided.
func (s *Service) followSuccessors(ctx context.Context, target membership.Member, send sendFunc) (decided bool, err error) {
	for range maxSuccessorHops {
		ownership, successor, err := s.sendWithRetry(ctx, target, send)
		if err != nil || ownership == Owned {
			return err == nil, err
		}
		next, nextFound := s.view.Member(successor)
		if successor == s.localRecordID.Home {
			next, nextFound = s.view.Self(), true
		}
		if ownership != HandedOver || !nextFound {
			return false, nil
		}
		target = next
	}
	return false, nil
}

// sendWithRetry repeats a request on a new connection after an error, up to
// maxSendFailures errors, and as long as the instance is handing the record over, until
// ctx ends.
func (s *Service) sendWithRetry(ctx context.Context, target membership.Member, send sendFunc) (ownership Ownership, successor string, err error) {
	for failures := 0; failures < maxSendFailures && ctx.Err() == nil; {
		ownership, successor, err = send(ctx, target, false)
		if err == nil && ownership != HandingOver {
			return ownership, successor, nil
		}
		if err != nil {
			failures++
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return ownership, successor, err
}

// Claim requests the right to run a call from the instance that decides about
// the key that keyText encodes.
func (s *Service) Claim(ctx context.Context, organisation, keyText string, digest Digest) Verdict {
	key, err := s.codec.Decode(keyText, organisation)
	if err != nil {
		return Verdict{Outcome: Invalid}
	}
	op := claimOp{key: key, keyText: keyText, organisation: organisation, digest: digest, executor: rand.Uint64()}
	claim := Claim{Key: keyText, Organisation: organisation, Digest: digest, Executor: op.executor}
	err = s.route(ctx, key, op.sendFunc(s), true)
	var indeterminate *indeterminateError
	switch {
	case err == nil && op.verdict.Outcome == Claimed:
		op.verdict.Claim = claim
		return op.verdict
	case err == nil:
		return op.verdict
	case !errors.As(err, &indeterminate):
		return Verdict{Outcome: Unknown, Reason: ReasonNoRecord}
	}
	// The claim may have been recorded although no response arrived. The call was
	// not sent to a backend server, so if the record accepts the release, the
	// call provably did not run.
	if s.Release(context.WithoutCancel(ctx), claim) {
		return Verdict{Outcome: NotRun, Reason: ReasonClaimLost}
	}
	return Verdict{Outcome: Unknown, Reason: ReasonHomeUnreachable}
}

// Complete stores the answer of a claimed call. If the record cannot be reached
// and the key belongs to this data centre, a copy of the answer is sent to a
// backup, where later claims find it.
func (s *Service) Complete(ctx context.Context, c Claim, a Answer) error {
	op, err := s.newFinishOp(c)
	if err != nil {
		return err
	}
	if a.size() <= MaxStoredAnswerBytes {
		op.answer = &a
	}
	if err := s.route(ctx, op.key, op.sendFunc(s), true); err != nil {
		if op.answer != nil && op.key.DataCentre == s.view.Self().DataCentre {
			s.copyAnswer(ctx, op)
		}
		return eris.Wrapf(err, "complete a call with a one-time key of %s", op.key.Home)
	}
	if !op.accepted {
		return eris.Errorf("the record of %s holds no claim of the one-time key by this executor", op.key.Home)
	}
	return nil
}

// Release ends a claim whose call provably did not run. It reports whether the
// record accepted the release, after which the key can be claimed again.
func (s *Service) Release(ctx context.Context, c Claim) bool {
	op, err := s.newFinishOp(c)
	if err != nil {
		return false
	}
	op.released = true
	return s.route(ctx, op.key, op.sendFunc(s), true) == nil && op.accepted
}

func (s *Service) newFinishOp(c Claim) (finishOp, error) {
	key, err := s.codec.Decode(c.Key, c.Organisation)
	if err != nil {
		return finishOp{}, err
	}
	return finishOp{claimOp: claimOp{
		key: key, keyText: c.Key, organisation: c.Organisation, digest: c.Digest, executor: c.Executor,
	}}, nil
}
