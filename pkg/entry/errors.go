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

// Outcomes told to callers. outcomeNotRun is a guarantee (G4).
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// apiError is an error as callers see it. The zero outcome means not_run.
type apiError struct {
	status     int
	outcome    string
	code       string
	message    string
	field      string
	retryAfter time.Duration
	// sent tells that an answer was begun, so that none can be sent any more.
	sent bool
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

func badField(field, code, message string) *apiError {
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

func (e *apiError) body() errorBody {
	outcome := e.outcome
	if outcome == "" {
		outcome = outcomeNotRun
	}
	return errorBody{errorFields{Outcome: outcome, Code: e.code, Message: e.message, Field: e.field}}
}

// asAPIError maps errors of other packages. An error that is not known to
// happen before the work begins has the outcome unknown.
func asAPIError(err error) *apiError {
	var api *apiError
	var refusal *broker.Refusal
	var fault *engine.Error
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &refusal):
		return refused(refusal)
	case errors.As(err, &fault) && fault.Reason == engine.BadRequest:
		return &apiError{status: http.StatusBadRequest, code: "refused_by_engine", message: "the engine refused the request"}
	case errors.Is(err, generation.ErrKeyReused):
		return &apiError{
			// The other request may differ in its rank or limit only.
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
	case errors.Is(err, generation.ErrLost):
		return &apiError{status: http.StatusBadGateway, outcome: outcomeUnknown, code: "lost", message: "the generation cannot be continued"}
	case errors.Is(err, context.DeadlineExceeded):
		return &apiError{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, code: "timeout", message: "no answer in time"}
	case errors.Is(err, context.Canceled):
		return &apiError{status: http.StatusServiceUnavailable, outcome: outcomeUnknown, code: "cancelled", message: "the request was cancelled"}
	}
	return &apiError{status: http.StatusInternalServerError, outcome: outcomeUnknown, code: "internal", message: err.Error()}
}

// mayHaveRun returns the error of a request that was refused before its key or
// stream was looked at. A request that names one may be a resend of one that
// ran, for example under an earlier configuration, so it is not told as "not run".
func mayHaveRun(r *http.Request, err error) error {
	if r.Header.Get("Idempotency-Key") == "" && r.Header.Get("Last-Event-ID") == "" {
		return err
	}
	return ran(err)
}

// ran returns an error with the outcome unknown.
func ran(err error) error {
	e := *asAPIError(err)
	e.outcome = outcomeUnknown
	return &e
}

func refused(r *broker.Refusal) *apiError {
	status := http.StatusServiceUnavailable
	if r.Reason == "limit" || r.Reason == "queue_full" {
		status = http.StatusTooManyRequests
	}
	return &apiError{status: status, code: r.Reason, message: r.Error(), retryAfter: max(r.RetryAfter, time.Second)}
}

// fail answers with an error.
func (s *Service) fail(w http.ResponseWriter, e *apiError) {
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	_ = s.writeJSON(w, e.status, e.body())
}

// writeJSON sends a whole answer.
func (s *Service) writeJSON(w http.ResponseWriter, status int, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	return s.write(w, status, raw)
}

func (s *Service) write(w http.ResponseWriter, status int, body []byte) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.writeTimeout))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) *apiError {
	return &apiError{sent: true, outcome: outcomeUnknown, code: "caller_gone", message: err.Error()}
}
