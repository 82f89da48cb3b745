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

// entries are two instances: the first loses each stream after five tokens, the
// second resumes it. fault changes the tokens that the second one sends.
func entries(t *testing.T, fault func(position int, token string) (int, string)) []string {
	const stream = "s1"
	var prompt string
	send := func(w http.ResponseWriter, from, to, limit int) {
		w.Header().Set("X-Stream", stream)
		tokens := standin.Expected(prompt, generation.Seed(stream), limit)
		for i := from; i < to; i++ {
			position, token := i, tokens[i]
			if from > 0 {
				position, token = fault(position, token)
			}
			fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", stream, position, token)
		}
	}
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var body struct{ Prompt string }
			_ = json.NewDecoder(r.Body).Decode(&body)
			prompt = body.Prompt
			send(w, 0, 5, 10)
		}
	}))
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("Last-Event-ID"), stream+"."))
		send(w, last+1, 10, 10)
		fmt.Fprintf(w, "id: %s.10\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", stream)
	}))
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	return []string{first.Listener.Addr().String(), second.Listener.Addr().String()}
}

// TestChecksEachToken guards the checker itself: it must resume a lost stream
// and must report each kind of broken answer.
func TestChecksEachToken(t *testing.T) {
	same := func(position int, token string) (int, string) { return position, token }
	tests := []struct {
		name    string
		fault   func(int, string) (int, string)
		outcome string
	}{
		{"whole", same, "whole"},
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
			s := newSender(options{entries: entries(t, test.fault), model: "summary", verify: true})
			w := work{kind: kindGeneration, caller: caller{"fill", "key"}, rank: "urgent", tokens: 10, prompt: "a prompt", due: time.Now()}
			s.generate(t.Context(), w)
			g := s.recorder.groups[w.group()]
			qt.Assert(t, g.outcomes, qt.DeepEquals, map[string]int{test.outcome: 1})
			qt.Assert(t, s.recorder.violated > 0, qt.Equals, test.outcome == "wrong", qt.Commentf("%v", s.recorder.violations))
			if test.outcome == "whole" {
				qt.Assert(t, g.resumes.summary().Count, qt.Equals, int64(1))
				qt.Assert(t, g.gaps.summary().Count, qt.Equals, int64(9))
			}
		})
	}
}

// TestComparesExecutions guards the comparison of what was told with what ran.
func TestComparesExecutions(t *testing.T) {
	tests := []struct {
		told     string
		ran      int
		violated bool
	}{
		{toldAnswered, 1, false}, {toldAnswered, 0, true}, {toldAnswered, 2, true},
		{toldNotRun, 0, false}, {toldNotRun, 1, true},
		{toldUnknown, 0, false}, {toldUnknown, 1, false}, {toldUnknown, 2, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.told, test.ran), func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "executions")
			qt.Assert(t, os.WriteFile(file, []byte(strings.Repeat("\"k\" POST \"/orders\" desk-1\n", test.ran)), 0o600), qt.IsNil)
			s := newSender(options{executions: file})
			s.recorder.tell("k", test.told)
			s.compareExecutions()
			qt.Assert(t, s.recorder.violated > 0, qt.Equals, test.violated)
		})
	}
}

// TestArguments guards against a load that silently sends something else.
func TestArguments(t *testing.T) {
	good := []string{"-entry", "127.0.0.1:1", "-caller", "fill=key", "-model", "summary"}
	tests := []struct {
		more []string
		want string
	}{
		{nil, ""},
		{[]string{"-tokens", "9-3"}, "-tokens"},
		{[]string{"-caller", "fill"}, "-caller"},
		{[]string{"-orders-percent", "60", "-reads-percent", "60"}, "-orders-percent"},
		{[]string{"-orders-percent", "60"}, "-service"},
		{[]string{"-rate", "0"}, "-rate"},
	}
	for _, test := range tests {
		_, err := parse(append(append([]string{}, good...), test.more...))
		if test.want == "" {
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, err, qt.ErrorMatches, test.want+".*")
		}
	}
}

// TestOrderIsSentAgain guards the outcome of an order that is refused by an
// instance that has just started: the caller must ask the next instance.
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
	w := work{kind: kindOrder, caller: caller{"fill", "key"}, rank: "urgent", prompt: "x", due: time.Now()}
	s.order(t.Context(), w)
	qt.Assert(t, s.recorder.told, qt.DeepEquals, map[string]string{"k": toldAnswered})
	qt.Assert(t, keys, qt.DeepEquals, []string{"k"})
}
