package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
)

const (
	// attemptTimeout bounds one HTTP request to one control instance. It exceeds the
	// 4 s within which the instance itself responds.
	attemptTimeout = 6 * time.Second
	// retryDelay is the wait before the next round of attempts, after no control
	// instance has given a final response.
	retryDelay = 500 * time.Millisecond
)

// client sends requests to the operators' API and fails over between control instances.
type client struct {
	addresses []string
	key       string
}

// httpClient sends the requests of all commands.
var httpClient = &http.Client{Transport: httpstrict.NewDefaultTransport()}

// refusedError is an error response that a retry would not change.
type refusedError struct {
	status   int
	response control.ErrorResponse
}

func (e *refusedError) Error() string {
	detail := e.response.Error
	message := fmt.Sprintf("refused (%d %s): %s", e.status, detail.Code, detail.Message)
	if detail.Field != "" {
		message = fmt.Sprintf("refused (%d %s): %s: %s", e.status, detail.Code, detail.Field, detail.Message)
	}
	if result := e.response.Result; result != nil {
		for _, fault := range result.Faults {
			message += "\n  " + fault.String()
		}
	}
	return message
}

// retriesExhaustedError reports that no attempt received a final response before the timeout.
type retriesExhaustedError struct {
	// outcomeUnknown is set if an attempt may have taken effect.
	outcomeUnknown bool
	lastErr        error
}

func (e *retriesExhaustedError) Error() string {
	if e.outcomeUnknown {
		return "the outcome is unknown, retry with the same -change-id: " + e.lastErr.Error()
	}
	return "nothing was changed: " + e.lastErr.Error()
}

// exitStatus returns the exit status for an error.
func exitStatus(err error) subcommands.ExitStatus {
	var exhausted *retriesExhaustedError
	var invalidUsage *usageError
	switch {
	case errors.As(err, &invalidUsage):
		return subcommands.ExitUsageError
	case !errors.As(err, &exhausted):
		return exitRefused
	case exhausted.outcomeUnknown:
		return exitOutcomeUnknown
	}
	return exitUnavailable
}

// call sends a request to each address in turn until one gives a final response or
// ctx ends, and returns the body of a successful response. Requests that change
// the configuration carry a change identifier, which makes them safe to retry.
func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	exhausted := &retriesExhaustedError{lastErr: errors.New("no request was sent")}
	for {
		for _, address := range c.addresses {
			responseBody, outcomeUnknown, err := c.attempt(ctx, method, address+path, body)
			var refused *refusedError
			if err == nil || errors.As(err, &refused) {
				return responseBody, err
			}
			exhausted.outcomeUnknown = exhausted.outcomeUnknown || outcomeUnknown && method != http.MethodGet
			exhausted.lastErr = err
		}
		select {
		case <-ctx.Done():
			return nil, exhausted
		case <-time.After(retryDelay):
		}
	}
}

// attempt sends a request once. outcomeUnknown reports whether a failed request may
// have taken effect.
func (c *client) attempt(ctx context.Context, method, url string, body []byte) (responseBody []byte, outcomeUnknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := httpClient.Do(request)
	if err != nil {
		var opErr *net.OpError
		return nil, !(errors.As(err, &opErr) && opErr.Op == "dial"), err
	}
	defer response.Body.Close()
	responseBody, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, true, err
	}
	if response.StatusCode == http.StatusOK {
		return responseBody, false, nil
	}
	refused := &refusedError{status: response.StatusCode}
	if json.Unmarshal(responseBody, &refused.response) != nil || refused.response.Error.Outcome == "" {
		return nil, true, fmt.Errorf("%s: unexpected response %s", url, response.Status)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, refused.response.Error.Outcome != "not_run", fmt.Errorf("%s: status %d %s: %s", url, response.StatusCode, refused.response.Error.Code, refused.response.Error.Message)
	}
	return nil, false, refused
}
