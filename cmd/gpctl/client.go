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
)

const (
	// attemptTimeout bounds one attempt at one control instance; the instance
	// itself answers within 4 s.
	attemptTimeout = 6 * time.Second
	// roundPause is the wait after all control instances were tried.
	roundPause = 500 * time.Millisecond
)

// client calls the operators' API at one control instance after another.
type client struct {
	addresses []string
	key       string
	http      http.Client
}

// refusedError is an answer that another attempt would not change.
type refusedError struct {
	status int
	answer control.ErrorAnswer
}

func (e *refusedError) Error() string {
	body := e.answer.Error
	text := fmt.Sprintf("refused (%d %s): %s", e.status, body.Code, body.Message)
	if body.Field != "" {
		text = fmt.Sprintf("refused (%d %s): %s: %s", e.status, body.Code, body.Field, body.Message)
	}
	if r := e.answer.Result; r != nil {
		for _, f := range r.Faults {
			text += "\n  " + f.String()
		}
	}
	return text
}

// noAnswerError tells that no attempt got a final answer.
type noAnswerError struct {
	// unknown is set when an attempt may have taken effect.
	unknown bool
	last    error
}

func (e *noAnswerError) Error() string {
	if e.unknown {
		return "the outcome is unknown, resend with the same -change-id: " + e.last.Error()
	}
	return "nothing was changed: " + e.last.Error()
}

func statusOf(err error) subcommands.ExitStatus {
	var noAnswer *noAnswerError
	var wrong *usageError
	switch {
	case errors.As(err, &wrong):
		return subcommands.ExitUsageError
	case !errors.As(err, &noAnswer):
		return exitRefused
	case noAnswer.unknown:
		return exitUnknown
	}
	return exitUnavailable
}

// call sends a request to the addresses in turn until one gives a final answer
// or ctx ends, and returns the body of a success. Requests that change
// something carry a change identifier, so that a repetition is safe.
func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	failure := &noAnswerError{last: errors.New("no attempt was made")}
	for {
		for _, address := range c.addresses {
			raw, unknown, err := c.attempt(ctx, method, address+path, body)
			var refused *refusedError
			if err == nil || errors.As(err, &refused) {
				return raw, err
			}
			failure.unknown = failure.unknown || unknown && method != http.MethodGet
			failure.last = err
		}
		select {
		case <-ctx.Done():
			return nil, failure
		case <-time.After(roundPause):
		}
	}
}

// attempt sends a request once. unknown tells that it may have taken effect.
func (c *client) attempt(ctx context.Context, method, url string, body []byte) (raw []byte, unknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		var op *net.OpError
		return nil, !(errors.As(err, &op) && op.Op == "dial"), err
	}
	defer response.Body.Close()
	raw, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, true, err
	}
	if response.StatusCode == http.StatusOK {
		return raw, false, nil
	}
	refused := &refusedError{status: response.StatusCode}
	if json.Unmarshal(raw, &refused.answer) != nil || refused.answer.Error.Outcome == "" {
		return nil, true, fmt.Errorf("%s answers %s", url, response.Status)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, refused.answer.Error.Outcome != "not_run", errors.New(refused.Error())
	}
	return nil, false, refused
}
