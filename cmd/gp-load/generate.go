package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

const (
	// dialTimeout bounds the time to open a connection to an entry instance.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout ends a connection on which a running stream sends nothing; entry
	// instances send a heartbeat each second.
	silenceTimeout = 2500 * time.Millisecond
	// reconnectDelay keeps a caller from reconnecting in a busy loop.
	reconnectDelay = 50 * time.Millisecond
)

// errorResponse is the error response of an entry instance.
type errorResponse struct {
	// retryable is set if the same request may be sent again later.
	retryable bool
	Detail    struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
	} `json:"error"`
}

func (e *errorResponse) Error() string { return e.Detail.Outcome + "/" + e.Detail.Code }

// decodeErrorResponse returns an error response as an *errorResponse, or the error in decoding it.
func decodeErrorResponse(response *http.Response) error {
	refused := &errorResponse{retryable: response.Header.Get("Retry-After") != ""}
	if err := json.NewDecoder(response.Body).Decode(refused); err != nil {
		return err
	}
	return refused
}

// asFinalRefusal returns the error response in err and reports whether it is a final refusal:
// the request did not run, so that a retry would be a new request.
func asFinalRefusal(err error) (*errorResponse, bool) {
	var refused *errorResponse
	return refused, errors.As(err, &refused) && refused.Detail.Outcome == outcomeNotRun
}

// receivedStream is what a caller has received of one generation, over all its connections.
type receivedStream struct {
	spec           requestSpec
	idempotencyKey string
	streamID       string
	tokens         []string
	finished       bool
	// lastTokenAt is when the last token was received.
	lastTokenAt time.Time
	// connectionLostAt is when the connection was first lost since the last token; zero if
	// it was not.
	connectionLostAt time.Time
}

// sendGeneration requests a stream and resumes it at the next entry instance after each
// lost connection.
func (s *sender) sendGeneration(ctx context.Context, spec requestSpec) {
	received := &receivedStream{spec: spec, idempotencyKey: rand.Text()}
	for entryIndex := spec.firstEntry; ; entryIndex++ {
		err := s.readConnection(ctx, received, s.entries[entryIndex%len(s.entries)])
		if received.finished {
			s.checkStream(received)
			return
		}
		if refused, ok := asFinalRefusal(err); ok && received.streamID == "" {
			s.recorder.countOutcome(spec.groupKey(), refused.Error())
			return
		}
		var broken *protocolViolation
		if errors.As(err, &broken) {
			s.recorder.addViolation("stream %s: %v", received.streamID, err)
			s.recorder.countOutcome(spec.groupKey(), "wrong")
			return
		}
		if received.connectionLostAt.IsZero() {
			received.connectionLostAt = time.Now()
		}
		if !sleepUntil(ctx, time.Now().Add(reconnectDelay)) {
			s.recorder.countOutcome(spec.groupKey(), "unfinished: "+failureReason(err))
			return
		}
	}
}

// failureReason returns the outcome under which a failed attempt is counted.
func failureReason(err error) string {
	var refused *errorResponse
	if errors.As(err, &refused) {
		return refused.Error()
	}
	return "no connection"
}

// checkStream compares a complete stream with its request and counts its outcome.
func (s *sender) checkStream(received *receivedStream) {
	if len(received.tokens) != received.spec.tokens && s.verifyTokens {
		s.recorder.addViolation("stream %s: received %d tokens, requested %d", received.streamID, len(received.tokens), received.spec.tokens)
	}
	if s.verifyTokens {
		if err := standin.VerifyTokens(received.spec.prompt, generation.Seed(received.streamID), received.tokens); err != nil {
			s.recorder.addViolation("stream %s: %v", received.streamID, err)
			s.recorder.countOutcome(received.spec.groupKey(), "wrong")
			return
		}
	}
	s.recorder.countOutcome(received.spec.groupKey(), "whole")
}

// protocolViolation is an event that breaks a guarantee of the stream protocol.
type protocolViolation struct{ message string }

func (e *protocolViolation) Error() string { return e.message }

// newRequest returns the request that starts a stream, or the one that resumes the stream if it
// has an identifier.
func (s *sender) newRequest(ctx context.Context, received *receivedStream, entry string) (*http.Request, error) {
	if received.streamID != "" {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/streams/"+received.streamID, nil)
		if err == nil && len(received.tokens) > 0 {
			request.Header.Set("Last-Event-ID", received.streamID+"."+strconv.Itoa(len(received.tokens)-1))
		}
		return request, err
	}
	body, err := json.Marshal(map[string]any{
		"model": s.model, "prompt": received.spec.prompt, "max_tokens": received.spec.tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", bytes.NewReader(body))
	if err == nil {
		// If the connection is lost before the first byte, a retry with this key finds the
		// stream.
		request.Header.Set("Idempotency-Key", received.idempotencyKey)
	}
	return request, err
}

// readConnection sends a request for a stream to an entry instance and reads the connection
// to its end.
func (s *sender) readConnection(ctx context.Context, received *receivedStream, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := s.newRequest(ctx, received, entry)
	if err != nil {
		return err
	}
	spec := received.spec
	request.Header.Set("Authorization", "Bearer "+spec.caller.key)
	request.Header.Set("X-Rank", spec.rank)
	silenceTimer := time.AfterFunc(silenceTimeout, cancel)
	defer silenceTimer.Stop()
	if received.streamID == "" {
		// A new request may wait in the queue before its first byte.
		silenceTimer.Stop()
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return decodeErrorResponse(response)
	}
	received.streamID = response.Header.Get("X-Stream")
	return s.readEvents(response.Body, received, silenceTimer)
}

// readEvents reads the events of one connection to its end.
func (s *sender) readEvents(body io.Reader, received *receivedStream, silenceTimer *time.Timer) error {
	lines := bufio.NewScanner(body)
	eventID := ""
	for lines.Scan() {
		silenceTimer.Reset(silenceTimeout)
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "id":
			eventID = value
		case field == "event":
			return errors.New("the stream ended with event " + value)
		case field == "data" && value == "[DONE]":
			received.finished = true
			return nil
		case field == "data":
			if err := s.receiveToken(received, eventID, value); err != nil {
				return err
			}
		}
	}
	return errorOr(lines.Err(), io.ErrUnexpectedEOF)
}

// errorOr returns err, or fallback if err is nil.
func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// receiveToken checks that an event is the next one of the stream, adds its token and
// records its latency.
func (s *sender) receiveToken(received *receivedStream, eventID, data string) error {
	var chunk struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return &protocolViolation{"undecodable event " + eventID + ": " + data}
	}
	if wantID := received.streamID + "." + strconv.Itoa(len(received.tokens)); eventID != wantID {
		return &protocolViolation{fmt.Sprintf("received event %q, expected %q", eventID, wantID)}
	}
	if chunk.Choices[0].FinishReason != nil {
		return nil
	}
	now := time.Now()
	s.recorder.update(received.spec.groupKey(), func(stats *groupStats) {
		stats.tokens++
		if len(received.tokens) == 0 {
			stats.firstToken.add(now.Sub(received.spec.dueAt))
		} else {
			stats.gaps.add(now.Sub(received.lastTokenAt))
		}
		if !received.connectionLostAt.IsZero() && len(received.tokens) > 0 {
			stats.resumes.add(now.Sub(received.connectionLostAt))
		}
	})
	received.tokens, received.lastTokenAt, received.connectionLostAt = append(received.tokens, chunk.Choices[0].Text), now, time.Time{}
	return nil
}
