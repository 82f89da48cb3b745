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
	// defaultCallTimeout applies to services that set no timeout.
	defaultCallTimeout = 10 * time.Second
	// maxAttempts limits the attempts to send one call, each to another backend server.
	maxAttempts = 3
	// claimUpdateTimeout limits the completion or release of a claim after a call ended.
	claimUpdateTimeout = 3 * time.Second
)

// serviceCall is a call to a plain service.
type serviceCall struct {
	service        string
	rank           string
	request        backendRequest
	caller         caller
	idempotencyKey string
	timeout        time.Duration
}

// callService forwards a request to a plain service.
func (s *Service) callService(w http.ResponseWriter, r *http.Request, c caller) error {
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if !tryReserve(&s.activeCalls, s.limits.maxCalls) {
		return withUnknownOutcomeIfResend(r, &apiError{
			status: http.StatusServiceUnavailable, code: "too_many_calls",
			message: "the instance is full", retryAfter: time.Second,
		})
	}
	defer s.activeCalls.Add(-1)
	call, idempotent, err := s.prepareCall(w, r, c, idempotencyKey)
	if err != nil {
		return withUnknownOutcomeIfResend(r, err)
	}
	if idempotent {
		return s.callIdempotent(w, r, call)
	}
	return s.callAtMostOnce(w, r, call)
}

// prepareCall validates a call, reads its body and reports whether the call is
// idempotent.
func (s *Service) prepareCall(w http.ResponseWriter, r *http.Request, c caller, idempotencyKey string) (serviceCall, bool, error) {
	name := chi.URLParam(r, "service")
	service, ok := c.allowedService(name, document.KindPlain)
	if !ok {
		return serviceCall{}, false, &apiError{
			status: http.StatusNotFound, code: "unknown_service", field: "service", message: "there is no such service",
		}
	}
	target, err := targetPath(r.URL, name)
	if err != nil {
		return serviceCall{}, false, err
	}
	idempotent, routeRank := service.ClassifyCall(r.Method, target)
	rank, err := c.resolveRank(r, routeRank)
	if err != nil {
		return serviceCall{}, false, err
	}
	if !idempotent && idempotencyKey == "" {
		return serviceCall{}, false, invalidField("Idempotency-Key", "missing", "calls that are not idempotent need a key from POST /v1/keys")
	}
	body, err := s.readBody(w, r, s.Settings.MaxBodyBytes)
	if err != nil {
		return serviceCall{}, false, err
	}
	call := serviceCall{
		service: name, rank: rank, caller: c, idempotencyKey: idempotencyKey, timeout: defaultCallTimeout,
		request: backendRequest{method: r.Method, path: target, query: r.URL.RawQuery, header: forwardedHeaders(r.Header), body: body},
	}
	if service.TimeoutMS > 0 {
		call.timeout = time.Duration(service.TimeoutMS) * time.Millisecond
	}
	return call, idempotent, nil
}

// targetPath returns the request path for the backend server. Paths that a
// backend server could normalise to another path are rejected, because the route
// that matches the path decides whether the call may be retried.
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
		return "", invalidField("path", "bad_value", "must have no dot segments, empty segments, escaped slashes or percent signs")
	}
	return target, nil
}

// callIdempotent sends a call and retries it on other backend servers after a
// failure, within the retry budget of the service.
func (s *Service) callIdempotent(w http.ResponseWriter, r *http.Request, call serviceCall) error {
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout)
	defer cancel()
	budget := s.retryBudgets.forService(call.service)
	budget.recordCall()
	var tried []string
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		result, err := s.sendAttempt(ctx, call, &tried)
		if err == nil && !result.notRun && result.answer.Status < http.StatusBadGateway {
			return s.writeAnswer(w, result.answer)
		}
		mayHaveRun = mayHaveRun || !result.notRun && !provablyNotRun(err)
		if attempt < maxAttempts && ctx.Err() == nil && !isRefusal(err) && budget.allowRetry() {
			continue
		}
		switch {
		case !mayHaveRun:
			return notRunError(err)
		case err == nil && !result.notRun:
			return s.writeAnswer(w, result.answer)
		}
		return unansweredError(ctx)
	}
}

// isRefusal reports whether the broker refused to grant a slot.
func isRefusal(err error) bool {
	var refusal *broker.Refusal
	return errors.As(err, &refusal)
}

// callAtMostOnce executes a call at most once. The key is claimed before a slot is
// acquired, because a refusal by the broker may only be reported as not_run if no
// earlier request with the key ran.
func (s *Service) callAtMostOnce(w http.ResponseWriter, r *http.Request, call serviceCall) error {
	// A call that may be running is not cancelled when the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), call.timeout)
	defer cancel()
	verdict := s.Once.Claim(ctx, call.caller.organisation, call.idempotencyKey, call.digest())
	if verdict.Outcome == once.Answered {
		w.Header().Set("X-Replayed", "true")
		return s.writeAnswer(w, *verdict.Answer)
	}
	if verdict.Outcome != once.Claimed {
		return verdictError(verdict)
	}
	result, err := s.sendClaimed(ctx, call)
	updateCtx, cancelUpdate := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	defer cancelUpdate()
	switch {
	case err == nil && !result.notRun:
		if err := s.Once.Complete(updateCtx, verdict.Claim, result.answer); err != nil {
			s.Log.Warn("failed to store the answer to a call", "service", call.service, "error", err)
		}
		return s.writeAnswer(w, result.answer)
	case err == nil || provablyNotRun(err):
		s.Once.Release(updateCtx, verdict.Claim)
		return notRunError(err)
	}
	return unansweredError(ctx)
}

// sendClaimed sends a call whose key is claimed. It retries on other backend
// servers only if the call provably did not run.
func (s *Service) sendClaimed(ctx context.Context, call serviceCall) (attemptResult, error) {
	var tried []string
	for attempt := 1; ; attempt++ {
		result, err := s.sendAttempt(ctx, call, &tried)
		mayHaveRun := err == nil && !result.notRun || err != nil && !provablyNotRun(err)
		if mayHaveRun || attempt == maxAttempts || isRefusal(err) || ctx.Err() != nil {
			return result, err
		}
	}
}

// attemptResult is the response of a backend server to one attempt.
type attemptResult struct {
	answer once.Answer
	// notRun is set if the backend server reports that it did not run the call.
	notRun bool
}

// sendAttempt acquires a slot, sends a call to the backend server of the slot and
// appends the server to tried. Servers in tried are excluded.
func (s *Service) sendAttempt(ctx context.Context, call serviceCall, tried *[]string) (attemptResult, error) {
	lease, err := s.Slots.Acquire(ctx, broker.Request{
		Pool: call.service, Organisation: call.caller.organisation, Rank: call.rank,
		EstimatedTokens: 1, Exclude: *tried,
	})
	if err != nil {
		return attemptResult{}, &notSentError{err}
	}
	backendID, address := lease.Backend()
	*tried = append(*tried, backendID)
	startedAt := time.Now()
	answer, err := s.serviceClient.do(ctx, address, call.request)
	if err != nil && !provablyNotRun(err) && ctx.Err() == nil {
		s.Log.Warn("no complete response from a backend server", "service", call.service, "backend", backendID, "error", err)
	}
	result := attemptResult{answer: answer, notRun: err == nil && reportsNotRun(answer)}
	lease.Release(broker.Usage{Outcome: usageOutcome(ctx, result, err), Tokens: 1, TimeToFirstToken: time.Since(startedAt)})
	return result, err
}

// usageOutcome returns the outcome of an attempt for the broker.
func usageOutcome(ctx context.Context, result attemptResult, err error) broker.Outcome {
	switch {
	case err == nil && result.notRun:
		return broker.ServerFull
	case err == nil && result.answer.Status < http.StatusInternalServerError:
		return broker.OK
	case errors.Is(ctx.Err(), context.Canceled):
		return broker.Cancelled
	}
	return broker.Failed
}

// reportsNotRun reports whether the backend server states that it did not run the
// call.
func reportsNotRun(a once.Answer) bool {
	return a.Status == http.StatusServiceUnavailable && a.Headers["X-Not-Run"] == "true"
}

// provablyNotRun reports whether err proves that the call was not sent.
func provablyNotRun(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}

// digest returns a hash of the call, which detects that a one-time key is
// reused for another call.
func (c serviceCall) digest() once.Digest {
	h := sha256.New()
	for _, part := range []string{c.service, c.request.method, c.request.path, c.request.query} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.body)
	return once.Digest(h.Sum(nil)[:len(once.Digest{})])
}

// notRunError returns the error response for a call that provably did not run.
func notRunError(err error) error {
	var refusal *broker.Refusal
	if errors.As(err, &refusal) {
		return refusalError(refusal)
	}
	return &apiError{
		status: http.StatusServiceUnavailable, code: "no_backend", retryAfter: time.Second,
		message: "no backend server took the call",
	}
}

// unansweredError returns the error response for a call that was sent but got no
// response.
func unansweredError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apiError{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, code: "timeout", message: "no answer in time"}
	}
	return &apiError{status: http.StatusBadGateway, outcome: outcomeUnknown, code: "connection_lost", message: "the connection to the backend server failed"}
}

// verdictError returns the error response for a key that was not claimed.
func verdictError(v once.Verdict) error {
	apiErr := &apiError{status: http.StatusConflict, outcome: outcomeUnknown, code: v.Reason, field: "Idempotency-Key"}
	switch v.Outcome {
	case once.Mismatch:
		apiErr.status, apiErr.code, apiErr.message = http.StatusUnprocessableEntity, "key_reused", "the key was used for another request"
	case once.Invalid:
		apiErr.status, apiErr.code, apiErr.message = http.StatusUnprocessableEntity, "invalid_key", "the key was not minted for this organisation"
	case once.NotRun:
		apiErr.status, apiErr.outcome, apiErr.retryAfter = http.StatusServiceUnavailable, outcomeNotRun, time.Second
		apiErr.message = "the claim was refused before the call ran"
	default:
		apiErr.message = "it is not known whether the call ran; it will not be run again"
		if v.Reason == once.ReasonStarted {
			apiErr.message, apiErr.retryAfter = "the call was started and has no answer yet; it will not be run again", time.Second
		}
	}
	return apiErr
}

// writeAnswer sends a received or stored answer to the caller.
func (s *Service) writeAnswer(w http.ResponseWriter, a once.Answer) error {
	for name, value := range a.Headers {
		w.Header().Set(name, value)
	}
	return s.writeResponse(w, a.Status, a.Body)
}
