package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

// startEntries starts two entry instances: the first one closes the connection after five
// tokens, the second one resumes the stream and passes each token through tamper.
func startEntries(t *testing.T, tamper func(position int, token string) (int, string)) []string {
	const stream = "s1"
	var prompt string
	sendTokens := func(w http.ResponseWriter, first, end, limit int) {
		w.Header().Set("X-Stream", stream)
		tokens := standin.ExpectedTokens(prompt, generation.Seed(stream), limit)
		for i := first; i < end; i++ {
			position, token := i, tokens[i]
			if first > 0 {
				position, token = tamper(position, token)
			}
			fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", stream, position, token)
		}
	}
	losing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var body struct{ Prompt string }
			_ = json.NewDecoder(r.Body).Decode(&body)
			prompt = body.Prompt
			sendTokens(w, 0, 5, 10)
		}
	}))
	resuming := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lastPosition, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("Last-Event-ID"), stream+"."))
		sendTokens(w, lastPosition+1, 10, 10)
		fmt.Fprintf(w, "id: %s.10\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", stream)
	}))
	t.Cleanup(losing.Close)
	t.Cleanup(resuming.Close)
	return []string{losing.Listener.Addr().String(), resuming.Listener.Addr().String()}
}

// TestChecksEachToken guards against a checker that misses a faulty stream: it must resume
// after a lost connection and report repeated, missing and foreign tokens.
func TestChecksEachToken(t *testing.T) {
	unchanged := func(position int, token string) (int, string) { return position, token }
	tests := []struct {
		name    string
		tamper  func(int, string) (int, string)
		outcome string
	}{
		{"whole", unchanged, "whole"},
		{"token repeated", func(p int, token string) (int, string) { return p - 1, token }, "wrong"},
		{"token missing", func(p int, token string) (int, string) { return p + 1, token }, "wrong"},
		{"token of another generation", func(p int, token string) (int, string) {
			if p == 7 {
				return p, " other"
			}
			return p, token
		}, "wrong"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSender(options{entries: startEntries(t, test.tamper), model: "summary", verifyTokens: true})
			spec := requestSpec{kind: kindGeneration, caller: caller{"fill", "key"}, rank: "urgent", tokens: 10, prompt: "a prompt", dueAt: time.Now()}
			s.sendGeneration(t.Context(), spec)
			stats := s.recorder.statsByGroup[spec.groupKey()]
			qt.Assert(t, stats.outcomes, qt.DeepEquals, map[string]int{test.outcome: 1})
			qt.Assert(t, s.recorder.violationCount > 0, qt.Equals, test.outcome == "wrong", qt.Commentf("%v", s.recorder.violations))
			if test.outcome == "whole" {
				qt.Assert(t, stats.resumes.summary().Count, qt.Equals, int64(1))
				qt.Assert(t, stats.gaps.summary().Count, qt.Equals, int64(9))
			}
		})
	}
}

// TestComparesExecutions guards against a contradiction between reported outcomes and
// executions that goes unnoticed, and against a false report of one.
func TestComparesExecutions(t *testing.T) {
	tests := []struct {
		outcome       string
		executions    int
		wantViolation bool
	}{
		{outcomeAnswered, 1, false}, {outcomeAnswered, 0, true}, {outcomeAnswered, 2, true},
		{outcomeNotRun, 0, false}, {outcomeNotRun, 1, true},
		{outcomeUnknown, 0, false}, {outcomeUnknown, 1, false}, {outcomeUnknown, 2, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.outcome, test.executions), func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "executions")
			qt.Assert(t, os.WriteFile(file, []byte(strings.Repeat("\"k\" POST \"/orders\" desk-1\n", test.executions)), 0o600), qt.IsNil)
			s := newSender(options{executionFiles: file})
			s.recorder.setKeyOutcome("k", test.outcome)
			s.checkExecutions()
			qt.Assert(t, s.recorder.violationCount > 0, qt.Equals, test.wantViolation)
		})
	}
}

// TestArguments guards against invalid arguments that are accepted, so that the load differs
// from the intended one without notice.
func TestArguments(t *testing.T) {
	required := []string{"-entry", "127.0.0.1:1", "-caller", "fill=key", "-model", "summary"}
	tests := []struct {
		extra []string
		want  string
	}{
		{nil, ""},
		{[]string{"-tokens", "9-3"}, "-tokens"},
		{[]string{"-caller", "fill"}, "-caller"},
		{[]string{"-orders-percent", "60", "-reads-percent", "60"}, "-orders-percent"},
		{[]string{"-orders-percent", "60"}, "-service"},
		{[]string{"-rate", "0"}, "-rate"},
	}
	for _, test := range tests {
		_, err := parseArguments(append(append([]string{}, required...), test.extra...))
		if test.want == "" {
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, err, qt.ErrorMatches, test.want+".*")
		}
	}
}

// TestOrderIsSentAgain guards against an at-most-once call that is abandoned after an instance
// that has just started refused it with an unknown outcome: it must be retried at the next
// instance.
func TestOrderIsSentAgain(t *testing.T) {
	starting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"outcome":"unknown","code":"not_ready"}}`)
	}))
	defer starting.Close()
	var keys []string
	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/keys" {
			fmt.Fprint(w, `{"keys":["k"]}`)
			return
		}
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		fmt.Fprint(w, `{"key":"k"}`)
	}))
	defer ready.Close()
	s := newSender(options{entries: []string{starting.Listener.Addr().String(), ready.Listener.Addr().String()}, service: "shop", orderPath: "orders"})
	spec := requestSpec{kind: kindAtMostOnce, caller: caller{"fill", "key"}, rank: "urgent", prompt: "x", dueAt: time.Now()}
	s.sendAtMostOnce(t.Context(), spec)
	qt.Assert(t, s.recorder.outcomeByKey, qt.DeepEquals, map[string]string{"k": outcomeAnswered})
	qt.Assert(t, keys, qt.DeepEquals, []string{"k"})
}
