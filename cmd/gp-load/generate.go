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
	dialTimeout = 500 * time.Millisecond
	// silenceLimit is how long a running stream may send nothing; entry instances
	// send a heartbeat each second.
	silenceLimit = 2500 * time.Millisecond
	// reconnectPause keeps a caller from reconnecting in a busy loop.
	reconnectPause = 50 * time.Millisecond
)

// refusal is the error answer of an entry instance.
type refusal struct {
	// again tells that the same request may be sent again later.
	again  bool
	Fields struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
	} `json:"error"`
}

// Error implements error.
func (r *refusal) Error() string { return r.Fields.Outcome + "/" + r.Fields.Code }

func readRefusal(response *http.Response) error {
	r := &refusal{again: response.Header.Get("Retry-After") != ""}
	if err := json.NewDecoder(response.Body).Decode(r); err != nil {
		return err
	}
	return r
}

// final reports whether the error is an answer: trying again would be another request.
func final(err error) (*refusal, bool) {
	var r *refusal
	return r, errors.As(err, &r) && r.Fields.Outcome == "not_run"
}

// answer is what a caller received of one generation, over all its connections.
type answer struct {
	work     work
	key      string
	stream   string
	tokens   []string
	finished bool
	// last is when the last token came, lost when the connection was lost since.
	last time.Time
	lost time.Time
}

// generate asks for a streamed answer and resumes it at the next instance after
// each lost connection.
func (s *sender) generate(ctx context.Context, w work) {
	a := &answer{work: w, key: rand.Text()}
	for at := w.first; ; at++ {
		err := s.connect(ctx, a, s.entries[at%len(s.entries)])
		if a.finished {
			s.check(a)
			return
		}
		if r, ok := final(err); ok && a.stream == "" {
			s.recorder.outcome(w.group(), r.Error())
			return
		}
		var broken *violation
		if errors.As(err, &broken) {
			s.recorder.violation("stream %s: %v", a.stream, err)
			s.recorder.outcome(w.group(), "wrong")
			return
		}
		if a.lost.IsZero() {
			a.lost = time.Now()
		}
		if !sleepUntil(ctx, time.Now().Add(reconnectPause)) {
			s.recorder.outcome(w.group(), "unfinished: "+kindOf(err))
			return
		}
	}
}

func kindOf(err error) string {
	var r *refusal
	if errors.As(err, &r) {
		return r.Error()
	}
	return "no connection"
}

// check compares a whole answer with the request.
func (s *sender) check(a *answer) {
	if len(a.tokens) != a.work.tokens && s.verify {
		s.recorder.violation("stream %s: %d tokens, %d were asked for", a.stream, len(a.tokens), a.work.tokens)
	}
	if s.verify {
		if err := standin.Verify(a.work.prompt, generation.Seed(a.stream), a.tokens); err != nil {
			s.recorder.violation("stream %s: %v", a.stream, err)
			s.recorder.outcome(a.work.group(), "wrong")
			return
		}
	}
	s.recorder.outcome(a.work.group(), "whole")
}

// violation is a broken guarantee that the caller can see in one event.
type violation struct{ message string }

// Error implements error.
func (v *violation) Error() string { return v.message }

// request returns the first request, or the resume of a known stream.
func (s *sender) request(ctx context.Context, a *answer, entry string) (*http.Request, error) {
	if a.stream != "" {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/streams/"+a.stream, nil)
		if err == nil && len(a.tokens) > 0 {
			r.Header.Set("Last-Event-ID", a.stream+"."+strconv.Itoa(len(a.tokens)-1))
		}
		return r, err
	}
	body, err := json.Marshal(map[string]any{
		"model": s.model, "prompt": a.work.prompt, "max_tokens": a.work.tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", bytes.NewReader(body))
	if err == nil {
		// A resend after a connection lost before the first byte finds the stream.
		r.Header.Set("Idempotency-Key", a.key)
	}
	return r, err
}

func (s *sender) connect(ctx context.Context, a *answer, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := s.request(ctx, a, entry)
	if err != nil {
		return err
	}
	w := a.work
	r.Header.Set("Authorization", "Bearer "+w.caller.key)
	r.Header.Set("X-Rank", w.rank)
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	if a.stream == "" {
		// A new request may wait in the queue before its first byte.
		silence.Stop()
	}
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	a.stream = response.Header.Get("X-Stream")
	return s.events(response.Body, a, silence)
}

// events reads one connection to its end.
func (s *sender) events(body io.Reader, a *answer, silence *time.Timer) error {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		silence.Reset(silenceLimit)
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "event":
			return errors.New("the stream ended with an " + value)
		case name == "data" && value == "[DONE]":
			a.finished = true
			return nil
		case name == "data":
			if err := s.token(a, id, value); err != nil {
				return err
			}
		}
	}
	return cmpErr(lines.Err(), io.ErrUnexpectedEOF)
}

func cmpErr(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

func (s *sender) token(a *answer, id, data string) error {
	var chunk struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return &violation{"undecodable event " + data}
	}
	if want := a.stream + "." + strconv.Itoa(len(a.tokens)); id != want {
		return &violation{fmt.Sprintf("event %q, expected %q", id, want)}
	}
	if chunk.Choices[0].FinishReason != nil {
		return nil
	}
	now := time.Now()
	s.recorder.record(a.work.group(), func(g *group) {
		g.tokens++
		if len(a.tokens) == 0 {
			g.first.add(now.Sub(a.work.due))
		} else {
			g.gaps.add(now.Sub(a.last))
		}
		if !a.lost.IsZero() && len(a.tokens) > 0 {
			g.resumes.add(now.Sub(a.lost))
		}
	})
	a.tokens, a.last, a.lost = append(a.tokens, chunk.Choices[0].Text), now, time.Time{}
	return nil
}
