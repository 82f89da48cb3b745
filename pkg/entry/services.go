package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
)

const (
	// defaultCallTimeout applies to services without a time-out of their own.
	defaultCallTimeout = 10 * time.Second
	// maxAttempts bounds the backend servers tried for one call.
	maxAttempts = 3
	// recordTimeout bounds the work on the key record after a call has ended.
	recordTimeout = 3 * time.Second
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	service string
	rank    string
	request outgoing
	caller  caller
	key     string
	timeout time.Duration
}

func (s *Service) call(w http.ResponseWriter, r *http.Request, c caller) error {
	key := r.Header.Get("Idempotency-Key")
	if !take(&s.calls, s.limits.calls) {
		return mayHaveRun(r, &apiError{
			status: http.StatusServiceUnavailable, code: "too_many_calls",
			message: "the instance is full", retryAfter: time.Second,
		})
	}
	defer s.calls.Add(-1)
	call, idempotent, err := s.prepare(w, r, c, key)
	if err != nil {
		return mayHaveRun(r, err)
	}
	if idempotent {
		return s.callIdempotent(w, r, call)
	}
	return s.callOnce(w, r, call)
}

// prepare checks a call and reads its body.
func (s *Service) prepare(w http.ResponseWriter, r *http.Request, c caller, key string) (serviceCall, bool, error) {
	name := chi.URLParam(r, "service")
	service, ok := c.service(name, document.Plain)
	if !ok {
		return serviceCall{}, false, &apiError{
			status: http.StatusNotFound, code: "unknown_service", field: "service", message: "there is no such service",
		}
	}
	target, err := targetPath(r.URL, name)
	if err != nil {
		return serviceCall{}, false, err
	}
	idempotent, wanted := service.ServiceRoute(r.Method, target)
	rank, err := c.rank(r, wanted)
	if err != nil {
		return serviceCall{}, false, err
	}
	if !idempotent && key == "" {
		return serviceCall{}, false, badField("Idempotency-Key", "missing", "calls that are not idempotent need a key from POST /v1/keys")
	}
	body, err := s.readBody(w, r, s.Settings.MaxBodyBytes)
	if err != nil {
		return serviceCall{}, false, err
	}
	call := serviceCall{
		service: name, rank: rank, caller: c, key: key, timeout: defaultCallTimeout,
		request: outgoing{method: r.Method, path: target, query: r.URL.RawQuery, header: forwarded(r.Header), body: body},
	}
	if service.TimeoutMS > 0 {
		call.timeout = time.Duration(service.TimeoutMS) * time.Millisecond
	}
	return call, idempotent, nil
}

// targetPath returns the path at the backend server. Paths that a backend
// server could read as another path are refused, because the route that matches
// the path decides whether the call may be repeated.
func targetPath(u *url.URL, service string) (string, error) {
	target := strings.TrimPrefix(u.Path, "/v1/services/"+service)
	if target == "" {
		target = "/"
	}
	escaped := strings.ToLower(u.EscapedPath())
	clean := path.Clean(target)
	if strings.HasSuffix(target, "/") && clean != "/" {
		clean += "/"
	}
	if target[0] != '/' || clean != target || strings.ContainsAny(target, "\\;\x00") ||
		strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%25") {
		return "", badField("path", "bad_value", "must have no dot segments, empty segments, escaped slashes or percent signs")
	}
	return target, nil
}

// callIdempotent tries other backend servers after failures, within the budget.
func (s *Service) callIdempotent(w http.ResponseWriter, r *http.Request, call serviceCall) error {
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	budget := s.budgets.of(call.service)
	budget.called()
	var tried []string
	sent := false
	for attempt := 1; ; attempt++ {
		result, err := s.attempt(ctx, call, &tried, true)
		if err == nil && !result.refused && result.answer.Status < http.StatusBadGateway {
			return s.writeAnswer(w, result.answer)
		}
		sent = sent || !result.refused && !provablyNotRun(err)
		if attempt < maxAttempts && ctx.Err() == nil && !isRefusal(err) && budget.retry() {
			continue
		}
		switch {
		case !sent:
			return notRun(err)
		case err == nil && !result.refused:
			return s.writeAnswer(w, result.answer)
		}
		return lostCall(ctx)
	}
}

func isRefusal(err error) bool {
	var refusal *broker.Refusal
	return errors.As(err, &refusal)
}

// callOnce executes a call at most once. The key is claimed before a slot is
// asked for: a refusal may only be told as "not run" when no earlier sending ran.
func (s *Service) callOnce(w http.ResponseWriter, r *http.Request, call serviceCall) error {
	// The loss of the caller's connection does not cancel a call that may run.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.timeout)
	defer cancel()
	verdict := s.Once.Claim(ctx, call.caller.organisation, call.key, call.digest())
	if verdict.Outcome == once.Answered {
		w.Header().Set("X-Replayed", "true")
		return s.writeAnswer(w, *verdict.Answer)
	}
	if verdict.Outcome != once.Claimed {
		return verdictError(verdict)
	}
	result, err := s.runClaimed(ctx, call)
	recordCtx, cancelRecord := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancelRecord()
	switch {
	case err == nil && !result.refused:
		if err := s.Once.Complete(recordCtx, verdict.Claim, result.answer); err != nil {
			s.Log.Warn("the answer of a call was not stored", "service", call.service, "error", err)
		}
		return s.writeAnswer(w, result.answer)
	case err == nil || provablyNotRun(err):
		s.Once.Release(recordCtx, verdict.Claim)
		return notRun(err)
	}
	return lostCall(ctx)
}

// runClaimed tries other backend servers only while the call provably did not run.
func (s *Service) runClaimed(ctx context.Context, call serviceCall) (attemptResult, error) {
	var tried []string
	for attempt := 1; ; attempt++ {
		result, err := s.attempt(ctx, call, &tried, false)
		ran := err == nil && !result.refused || err != nil && !provablyNotRun(err)
		if ran || attempt == maxAttempts || isRefusal(err) || ctx.Err() != nil {
			return result, err
		}
	}
}

// attemptResult is an answer of a backend server.
type attemptResult struct {
	answer once.Answer
	// refused tells that the backend server says that it did not run the call.
	refused bool
}

// attempt sends a call to one backend server and adds it to tried.
func (s *Service) attempt(ctx context.Context, call serviceCall, tried *[]string, idempotent bool) (attemptResult, error) {
	lease, err := s.Slots.Acquire(ctx, broker.Request{
		Pool: call.service, Organisation: call.caller.organisation, Rank: call.rank,
		EstimatedTokens: 1, Exclude: *tried,
	})
	if err != nil {
		return attemptResult{}, &notSentError{err}
	}
	id, address := lease.Backend()
	*tried = append(*tried, id)
	begun := time.Now()
	answer, err := s.backend.do(ctx, address, call.request, idempotent)
	result := attemptResult{answer: answer, refused: err == nil && saysNotRun(answer)}
	lease.Release(broker.Usage{Result: usageOf(ctx, result, err), Tokens: 1, FirstToken: time.Since(begun)})
	return result, err
}

func usageOf(ctx context.Context, result attemptResult, err error) broker.Result {
	switch {
	case err == nil && result.refused:
		return broker.Refused
	case err == nil && result.answer.Status < http.StatusInternalServerError:
		return broker.OK
	case errors.Is(ctx.Err(), context.Canceled):
		return broker.Cancelled
	}
	return broker.Failed
}

// saysNotRun reports whether a backend server refused before running.
func saysNotRun(a once.Answer) bool {
	return a.Status == http.StatusServiceUnavailable && a.Headers["X-Not-Run"] == "true"
}

func provablyNotRun(err error) bool {
	var unsent *notSentError
	return errors.As(err, &unsent)
}

// digest identifies the call for the key record.
func (c serviceCall) digest() once.Digest {
	h := sha256.New()
	for _, part := range []string{c.service, c.request.method, c.request.path, c.request.query} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.body)
	return once.Digest(h.Sum(nil)[:len(once.Digest{})])
}

// notRun tells the caller that a claimed call did not run.
func notRun(err error) error {
	var refusal *broker.Refusal
	if errors.As(err, &refusal) {
		return refused(refusal)
	}
	return &apiError{
		status: http.StatusServiceUnavailable, code: "no_backend", retryAfter: time.Second,
		message: "no backend server took the call",
	}
}

// lostCall tells the caller that a call was sent and not answered.
func lostCall(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apiError{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, code: "timeout", message: "no answer in time"}
	}
	return &apiError{status: http.StatusBadGateway, outcome: outcomeUnknown, code: "connection_lost", message: "the connection to the backend server failed"}
}

func verdictError(v once.Verdict) error {
	e := &apiError{status: http.StatusConflict, outcome: outcomeUnknown, code: v.Reason, field: "Idempotency-Key"}
	switch v.Outcome {
	case once.Mismatch:
		e.status, e.code, e.message = http.StatusUnprocessableEntity, "key_reused", "the key was used for another request"
	case once.Invalid:
		e.status, e.code, e.message = http.StatusUnprocessableEntity, "invalid_key", "the key was not minted for this organisation"
	case once.NotRun:
		e.status, e.outcome, e.retryAfter = http.StatusServiceUnavailable, outcomeNotRun, time.Second
		e.message = "the claim was refused before the call ran"
	default:
		e.message = "it is not known whether the call ran; it will not be run again"
		if v.Reason == once.ReasonStarted {
			e.message, e.retryAfter = "the call was started and has no answer yet; it will not be run again", time.Second
		}
	}
	return e
}

func (s *Service) writeAnswer(w http.ResponseWriter, a once.Answer) error {
	for name, value := range a.Headers {
		w.Header().Set(name, value)
	}
	return s.write(w, a.Status, a.Body)
}
