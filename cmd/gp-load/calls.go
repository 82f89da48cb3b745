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
	// callLimit is how long a caller waits for the answer to one sending.
	callLimit = 15 * time.Second
	// resendPause is the time before a call without a known outcome is sent again.
	resendPause = 200 * time.Millisecond
	// sendings is how often a call is sent after lost connections.
	sendings = 5
)

// What callers are told about a call.
const (
	toldAnswered = "answered"
	toldNotRun   = "not_run"
	toldUnknown  = "unknown"
)

// order makes a call that is not idempotent with a new key, and sends it again
// with the same key when the connection is lost.
func (s *sender) order(ctx context.Context, w work) {
	key, err := s.mint(ctx, w)
	if err != nil {
		s.recorder.outcome(w.group(), "no key: "+kindOf(err))
		return
	}
	told, detail := toldUnknown, "no connection"
	for sending := range sendings {
		response, err := s.call(ctx, w, sending, http.MethodPost, s.orderPath, key)
		if err == nil {
			told, detail = toldAnswered, toldAnswered
			if response.Key != key {
				s.recorder.violation("order %s: answer of the call with key %q", key, response.Key)
			}
			break
		}
		var r *refusal
		if errors.As(err, &r) {
			told, detail = r.Fields.Outcome, r.Error()
			// With one key the call runs once, however often it is sent.
			if told == toldUnknown && r.again && sleepUntil(ctx, time.Now().Add(resendPause)) {
				continue
			}
			break
		}
	}
	s.recorder.tell(key, told)
	s.recorder.outcome(w.group(), detail)
}

// read makes an idempotent call.
func (s *sender) read(ctx context.Context, w work) {
	detail := "no connection"
	for sending := range sendings {
		_, err := s.call(ctx, w, sending, http.MethodGet, s.readPath, "")
		if err == nil {
			detail = toldAnswered
			break
		}
		var r *refusal
		if detail = kindOf(err); errors.As(err, &r) && !r.again {
			break
		}
	}
	s.recorder.outcome(w.group(), detail)
}

// callAnswer is the answer of the stand-in service.
type callAnswer struct {
	Key string `json:"key"`
}

func (s *sender) call(ctx context.Context, w work, sending int, method, path, key string) (callAnswer, error) {
	var a callAnswer
	target := "/v1/services/" + s.service + "/" + path
	err := s.exchange(ctx, w, w.first+sending, method, target, key, &a)
	return a, err
}

func (s *sender) mint(ctx context.Context, w work) (string, error) {
	var minted struct {
		Keys []string `json:"keys"`
	}
	var err error
	for sending := range sendings {
		err = s.exchange(ctx, w, w.first+sending, http.MethodPost, "/v1/keys", "", &minted)
		if err == nil && len(minted.Keys) == 1 {
			return minted.Keys[0], nil
		}
	}
	return "", cmpErr(err, errors.New("no key in the answer"))
}

// exchange sends one request and decodes its answer.
func (s *sender) exchange(ctx context.Context, w work, at int, method, path, key string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var body io.Reader
	if key != "" {
		body = strings.NewReader(w.prompt)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.entries[at%len(s.entries)]+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+w.caller.key)
	r.Header.Set("X-Rank", w.rank)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return readRefusal(response)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// compareExecutions compares what callers were told with what ran.
func (s *sender) compareExecutions() {
	if s.executions == "" {
		return
	}
	ran := map[string]int{}
	for file := range strings.SplitSeq(s.executions, ",") {
		if err := countExecutions(file, ran); err != nil {
			s.recorder.violation("executions: %v", err)
			return
		}
	}
	for key, told := range s.recorder.told {
		switch n := ran[key]; {
		case n > 1:
			s.recorder.violation("key %s ran %d times", key, n)
		case n == 1 && told == toldNotRun:
			s.recorder.violation("key %s: told not_run, and it ran", key)
		case n == 0 && told == toldAnswered:
			s.recorder.violation("key %s: answered, and it did not run", key)
		}
	}
}

// countExecutions adds the executions in a file of the stand-in service.
func countExecutions(file string, ran map[string]int) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		quoted, _, _ := strings.Cut(lines.Text(), " ")
		key, err := strconv.Unquote(quoted)
		if err != nil {
			return err
		}
		ran[key]++
	}
	return lines.Err()
}
