package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// callTimeout bounds one attempt of a call.
	callTimeout = 15 * time.Second
	// retryDelay is the wait before a call whose outcome is unknown is retried.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds the attempts of a call, including the first one.
	maxAttempts = 5
)

// Outcomes of a call as reported to the caller.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// sendAtMostOnce makes an at-most-once call with a new one-time key, and retries it with the
// same key if the connection is lost or a refusal with an unknown outcome is retryable.
func (s *sender) sendAtMostOnce(ctx context.Context, spec requestSpec) {
	key, err := s.acquireKey(ctx, spec)
	if err != nil {
		s.recorder.countOutcome(spec.groupKey(), "no key: "+failureReason(err))
		return
	}
	outcome, detail := outcomeUnknown, "no connection"
	for attempt := range maxAttempts {
		response, err := s.callService(ctx, spec, attempt, http.MethodPost, s.orderPath, key)
		if err == nil {
			outcome, detail = outcomeAnswered, outcomeAnswered
			if response.Key != key {
				s.recorder.addViolation("key %s: received the answer of key %q", key, response.Key)
			}
			break
		}
		var refused *errorResponse
		if errors.As(err, &refused) {
			outcome, detail = refused.Detail.Outcome, refused.Error()
			// The key prevents a retry from running the call a second time.
			if outcome == outcomeUnknown && refused.retryable && sleepUntil(ctx, time.Now().Add(retryDelay)) {
				continue
			}
			break
		}
	}
	s.recorder.setKeyOutcome(key, outcome)
	s.recorder.countOutcome(spec.groupKey(), detail)
}

// sendRead makes an idempotent call and retries it, except after a refusal that is not
// retryable.
func (s *sender) sendRead(ctx context.Context, spec requestSpec) {
	detail := "no connection"
	for attempt := range maxAttempts {
		_, err := s.callService(ctx, spec, attempt, http.MethodGet, s.readPath, "")
		if err == nil {
			detail = outcomeAnswered
			break
		}
		var refused *errorResponse
		if detail = failureReason(err); errors.As(err, &refused) && !refused.retryable {
			break
		}
	}
	s.recorder.countOutcome(spec.groupKey(), detail)
}

// serviceResponse is the response of the stand-in service.
type serviceResponse struct {
	Key string `json:"key"`
}

// callService sends one attempt of a call to the entry instance whose turn it is.
func (s *sender) callService(ctx context.Context, spec requestSpec, attempt int, method, path, key string) (serviceResponse, error) {
	var response serviceResponse
	target := "/v1/services/" + s.service + "/" + path
	err := s.roundTrip(ctx, spec, spec.firstEntry+attempt, method, target, key, &response)
	return response, err
}

// acquireKey requests a new one-time key, from the next entry instance after each error.
func (s *sender) acquireKey(ctx context.Context, spec requestSpec) (string, error) {
	var issued struct {
		Keys []string `json:"keys"`
	}
	var err error
	for attempt := range maxAttempts {
		err = s.roundTrip(ctx, spec, spec.firstEntry+attempt, http.MethodPost, "/v1/keys", "", &issued)
		if err == nil && len(issued.Keys) == 1 {
			return issued.Keys[0], nil
		}
	}
	return "", errorOr(err, errors.New("no key in the response"))
}

// roundTrip sends one request and decodes its response into result. An error response is
// returned as an *errorResponse.
func (s *sender) roundTrip(ctx context.Context, spec requestSpec, entryIndex int, method, path, key string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if key != "" {
		body = strings.NewReader(spec.prompt)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.entries[entryIndex%len(s.entries)]+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+spec.caller.key)
	request.Header.Set("X-Rank", spec.rank)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return decodeErrorResponse(response)
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// checkExecutions compares the outcomes reported to callers with the executions that the
// stand-in services recorded, and reports each contradiction as a violation.
func (s *sender) checkExecutions() {
	if s.executionFiles == "" {
		return
	}
	executions := map[string]int{}
	for file := range strings.SplitSeq(s.executionFiles, ",") {
		if err := countExecutions(file, executions); err != nil {
			s.recorder.addViolation("executions: %v", err)
			return
		}
	}
	for key, outcome := range s.recorder.outcomeByKey {
		switch count := executions[key]; {
		case count > 1:
			s.recorder.addViolation("key %s ran %d times", key, count)
		case count == 1 && outcome == outcomeNotRun:
			s.recorder.addViolation("key %s: reported as not_run, but it ran", key)
		case count == 0 && outcome == outcomeAnswered:
			s.recorder.addViolation("key %s: answered, but it did not run", key)
		}
	}
}

// countExecutions adds the executions that a stand-in service recorded in a file to the number
// of executions of each key.
func countExecutions(file string, executions map[string]int) error {
	executionFile, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = executionFile.Close() }()
	lines := bufio.NewScanner(executionFile)
	for lines.Scan() {
		quoted, _, _ := strings.Cut(lines.Text(), " ")
		key, err := strconv.Unquote(quoted)
		if err != nil {
			return err
		}
		executions[key]++
	}
	return lines.Err()
}
