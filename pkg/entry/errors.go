package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
)

// Outcomes in error responses. outcomeNotRun guarantees that the work did not run, so
// the caller may safely send the request again.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// apiError is an error response of the API. An empty outcome means not_run.
type apiError struct {
	status     int
	outcome    string
	code       string
	message    string
	field      string
	retryAfter time.Duration
	// responseStarted is set if a response was already started, so that this
	// error cannot be sent as a response.
	responseStarted bool
	// abort is set if the connection must be closed, so that the response does not look complete.
	abort bool
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

// invalidField returns a 400 response that names the invalid field.
func invalidField(field, code, message string) *apiError {
	return &apiError{status: http.StatusBadRequest, code: code, message: message, field: field}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
}

// body returns the JSON body of the error response.
func (e *apiError) body() errorBody {
	outcome := e.outcome
	if outcome == "" {
		outcome = outcomeNotRun
	}
	return errorBody{errorFields{Outcome: outcome, Code: e.code, Message: e.message, Field: e.field}}
}

// asAPIError maps an error to an error response. The outcome is unknown for every
// error that does not prove that the work did not run.
func asAPIError(err error) *apiError {
	var apiErr *apiError
	var refusal *broker.Refusal
	var engineErr *engine.Error
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &refusal):
		return refusalError(refusal)
	case errors.As(err, &engineErr) && engineErr.Reason == engine.BadRequest:
		return &apiError{status: http.StatusBadRequest, code: "refused_by_engine", message: "the engine refused the request"}
	case errors.Is(err, generation.ErrKeyReused):
		return &apiError{
			// The earlier request with this key may have run, and may differ from
			// this one only in its rank or token limit.
			status: http.StatusUnprocessableEntity, outcome: outcomeUnknown, code: "key_reused", field: "Idempotency-Key",
			message: "the key was used for another request",
		}
	case errors.Is(err, generation.ErrTooLarge):
		return &apiError{
			status: http.StatusRequestEntityTooLarge, code: "prompt_too_large", field: "prompt",
			message: "the prompt is too large",
		}
	case errors.Is(err, generation.ErrNotFound):
		return &apiError{status: http.StatusNotFound, outcome: outcomeUnknown, code: "no_such_stream", message: "there is no such stream"}
	case errors.Is(err, generation.ErrTakenOver):
		return &apiError{status: http.StatusConflict, outcome: outcomeUnknown, code: "taken_over", message: "another instance continues the stream"}
	case errors.Is(err, generation.ErrUnrecoverable):
		return &apiError{status: http.StatusBadGateway, outcome: outcomeUnknown, code: "lost", message: "the generation cannot be continued"}
	case errors.Is(err, context.DeadlineExceeded):
		return &apiError{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, code: "timeout", message: "no answer in time"}
	case errors.Is(err, context.Canceled):
		return &apiError{status: http.StatusServiceUnavailable, outcome: outcomeUnknown, code: "cancelled", message: "the request was cancelled"}
	}
	return &apiError{status: http.StatusInternalServerError, outcome: outcomeUnknown, code: "internal", message: err.Error()}
}

// withUnknownOutcomeIfResend returns the error for a request that was rejected before its
// key or stream was looked up. A request that names a key or a stream may resend
// one that ran, for example under an earlier configuration, so its outcome is
// unknown instead of not_run.
func withUnknownOutcomeIfResend(r *http.Request, err error) error {
	if r.Header.Get("Idempotency-Key") == "" && r.Header.Get("Last-Event-ID") == "" {
		return err
	}
	return withUnknownOutcome(err)
}

// withUnknownOutcome returns err as an API error with the outcome unknown.
func withUnknownOutcome(err error) error {
	e := *asAPIError(err)
	e.outcome = outcomeUnknown
	return &e
}

// refusalError returns the error response for a refusal of the broker.
func refusalError(r *broker.Refusal) *apiError {
	status := http.StatusServiceUnavailable
	if r.Reason == "limit" || r.Reason == "queue_full" {
		status = http.StatusTooManyRequests
	}
	return &apiError{status: status, code: r.Reason, message: r.Error(), retryAfter: max(r.RetryAfter, time.Second)}
}

// writeError sends an error response.
func (s *Service) writeError(w http.ResponseWriter, e *apiError) {
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	_ = s.writeJSON(w, e.status, e.body())
}

// writeJSON sends value as a JSON response.
func (s *Service) writeJSON(w http.ResponseWriter, status int, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	return s.writeResponse(w, status, raw)
}

// writeResponse sends the status and the body of a response within the write
// timeout.
func (s *Service) writeResponse(w http.ResponseWriter, status int, body []byte) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.writeTimeout))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// callerDisconnected returns the error for a response that could not be sent
// completely.
func callerDisconnected(err error) *apiError {
	return &apiError{responseStarted: true, abort: true, outcome: outcomeUnknown, code: "caller_gone", message: err.Error()}
}
