package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
)

const fillKey = "Authorization: Bearer fill-key"

// TestStreamedAnswer checks the event identifiers, and that a resume after one of
// them continues with the next token.
func TestStreamedAnswer(t *testing.T) {
	api := newTestAPI(t)
	body := `{"model":"summary","prompt":"a b c","stream":true}`
	response, text := api.send(t, "POST", "/v1/completions", body, fillKey)
	qt.Assert(t, response.StatusCode, qt.Equals, 200)
	qt.Assert(t, eventIDs(text), qt.DeepEquals, []string{"s1.0", "s1.1", "s1.2", "s1.3"})
	qt.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue)

	for _, path := range []string{"/v1/streams/s1", "/v1/completions"} {
		method := map[bool]string{true: "GET", false: "POST"}[path == "/v1/streams/s1"]
		_, text = api.send(t, method, path, body, fillKey, "Last-Event-ID: s1.1")
		qt.Assert(t, eventIDs(text), qt.DeepEquals, []string{"s1.2", "s1.3"}, qt.Commentf("%s", path))
	}
	_, text = api.send(t, "GET", "/v1/streams/s1", "", fillKey)
	qt.Assert(t, len(eventIDs(text)), qt.Equals, 4)
}

func eventIDs(text string) []string {
	var ids []string
	for line := range strings.SplitSeq(text, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestWholeAnswer checks the format of responses that are not streamed.
func TestWholeAnswer(t *testing.T) {
	api := newTestAPI(t)
	_, text := api.send(t, "POST", "/v1/chat/completions",
		`{"model":"summary","messages":[{"role":"user","content":"hi"}]}`, fillKey)
	qt.Assert(t, text, qt.Contains, `"message":{"role":"assistant","content":"user: hi assistant: "}`)
	qt.Assert(t, api.runner.opened[0].Rank, qt.Equals, document.Urgent)
	qt.Assert(t, api.runner.opened[0].MaxTokens, qt.Equals, 100)
}

// TestRefusal checks that a refusal of the broker is reported as not_run with a
// Retry-After header.
func TestRefusal(t *testing.T) {
	api := newTestAPI(t)
	api.runner.err = &broker.Refusal{Reason: "too_late", RetryAfter: 2500 * time.Millisecond}
	response, text := api.send(t, "POST", "/v1/completions", `{"model":"summary","prompt":"a"}`, fillKey)
	qt.Assert(t, response.StatusCode, qt.Equals, 503)
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "3")
	qt.Assert(t, text, qt.Contains, `"outcome":"not_run","code":"too_late"`)
}

// TestKeyIndexFollowsTheConfiguration guards against a key that remains valid
// after it was removed from the configuration.
func TestKeyIndexFollowsTheConfiguration(t *testing.T) {
	api := newTestAPI(t)
	response, _ := api.send(t, "GET", "/v1/models", "", fillKey)
	qt.Assert(t, response.StatusCode, qt.Equals, 200)
	updated := testDocument()
	updated.Version = 2
	delete(updated.Organisations, "fill")
	api.config.Set(updated)
	response, _ = api.send(t, "GET", "/v1/models", "", fillKey)
	qt.Assert(t, response.StatusCode, qt.Equals, 401)
}

// TestBadInput checks that invalid input is rejected with a 4xx status and the
// field or the error code.
func TestBadInput(t *testing.T) {
	api := newTestAPI(t)
	draftsKey := "Authorization: Bearer drafts-key"
	validBody := `{"model":"summary","prompt":"a"}`
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		want                     string
	}{
		{"no key", "GET", "/v1/models", "", nil, 401, `"field":"Authorization"`},
		{"unknown key", "GET", "/v1/models", "", []string{"Authorization: Bearer nobody"}, 401, `"code":"unknown_key"`},
		{"no such path", "GET", "/v2", "", nil, 404, `"code":"no_such_path"`},
		{"method", "GET", "/v1/keys", "", nil, 405, `"code":"method_not_allowed"`},
		{"malformed", "POST", "/v1/completions", `{"model":`, []string{fillKey}, 400, `"code":"bad_json"`},
		{"text after", "POST", "/v1/completions", validBody + `x`, []string{fillKey}, 400, `"code":"bad_json"`},
		{"not UTF-8", "POST", "/v1/completions", "{\"model\":\"\xff\"}", []string{fillKey}, 400, `"code":"bad_json"`},
		{"null", "POST", "/v1/completions", `null`, []string{fillKey}, 400, `"field":"prompt"`},
		{"type", "POST", "/v1/completions", `{"model":"summary","prompt":"a","max_tokens":"9"}`, []string{fillKey}, 400, `"field":"max_tokens"`},
		{"overflow", "POST", "/v1/completions", `{"model":"summary","prompt":"a","max_tokens":1e30}`, []string{fillKey}, 400, `"field":"max_tokens"`},
		{"negative", "POST", "/v1/completions", `{"model":"summary","prompt":"a","max_tokens":-1}`, []string{fillKey}, 400, `"field":"max_tokens"`},
		{"too many tokens", "POST", "/v1/completions", `{"model":"summary","prompt":"a","max_tokens":101}`, []string{fillKey}, 400, `"field":"max_tokens"`},
		{"unknown model", "POST", "/v1/completions", `{"model":"other","prompt":"a"}`, []string{fillKey}, 404, `"field":"model"`},
		{"plain service as model", "POST", "/v1/completions", `{"model":"desk","prompt":"a"}`, []string{fillKey}, 404, `"field":"model"`},
		{"several answers", "POST", "/v1/completions", `{"model":"summary","prompt":"a","n":2}`, []string{fillKey}, 400, `"field":"n"`},
		{"huge body", "POST", "/v1/completions", strings.Repeat("x", 5000), []string{fillKey}, 413, `"field":"body"`},
		{"rank", "POST", "/v1/completions", validBody, []string{fillKey, "X-Rank: now"}, 400, `"field":"X-Rank"`},
		{"rank not allowed", "POST", "/v1/completions", validBody, []string{draftsKey, "X-Rank: urgent"}, 403, `"code":"rank_not_allowed"`},
		{"long key", "POST", "/v1/completions", validBody, []string{fillKey, "Idempotency-Key: " + strings.Repeat("k", 300)}, 400, `"field":"Idempotency-Key"`},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"summary","messages":[]}`, []string{fillKey}, 400, `"field":"messages"`},
		{"role", "POST", "/v1/chat/completions", `{"model":"summary","messages":[{"role":"boss","content":"a"}]}`, []string{fillKey}, 400, `"field":"messages[0].role"`},
		{"content", "POST", "/v1/chat/completions", `{"model":"summary","messages":[{"role":"user","content":7}]}`, []string{fillKey}, 400, `"field":"messages.content"`},
		{"event id", "POST", "/v1/completions", validBody, []string{fillKey, "Last-Event-ID: s1"}, 400, `"field":"Last-Event-ID"`},
		{"event id position", "GET", "/v1/streams/s1", "", []string{fillKey, "Last-Event-ID: s1.-1"}, 400, `"field":"Last-Event-ID"`},
		{"event id of another stream", "GET", "/v1/streams/s1", "", []string{fillKey, "Last-Event-ID: s2.1"}, 400, `"code":"other_stream"`},
		{"unknown stream", "GET", "/v1/streams/s9", "", []string{fillKey}, 404, `"outcome":"unknown","code":"no_such_stream"`},
		{"count", "POST", "/v1/keys?count=0", "", []string{fillKey}, 400, `"field":"count"`},
		{"unknown service", "GET", "/v1/services/other/a", "", []string{fillKey}, 404, `"field":"service"`},
		{"service not allowed", "GET", "/v1/services/desk/a", "", []string{draftsKey}, 404, `"field":"service"`},
		{"call without key", "POST", "/v1/services/desk/orders", "", []string{fillKey}, 400, `"field":"Idempotency-Key"`},
		{"dot segments", "PUT", "/v1/services/desk/stock/../orders", "", []string{fillKey}, 400, `"field":"path"`},
		{"escaped slash", "PUT", "/v1/services/desk/stock%2f..%2forders", "", []string{fillKey}, 400, `"field":"path"`},
		{"announcement", "POST", "/v1/backends/announce", `{"id":"e1","address":"nowhere"}`, nil, 400, `"field":"address"`},
		{"leave", "POST", "/v1/backends/leave", `{}`, nil, 400, `"field":"id"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, text := api.send(t, test.method, test.path, test.body, test.headers...)
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			qt.Assert(t, text, qt.Contains, test.want)
		})
	}
}

// TestAnnouncements checks that announcements and leaves of backend servers
// reach the broker.
func TestAnnouncements(t *testing.T) {
	api := newTestAPI(t)
	announced := `{"id":"e1","address":"10.0.0.1:80","data_centre":"vannes","pools":["summary"],"slots":4,"sequence":7}`
	response, text := api.send(t, "POST", "/v1/backends/announce", announced)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	_, _ = api.send(t, "POST", "/v1/backends/announce", "["+announced+","+announced+"]")
	qt.Assert(t, len(api.backends.announced), qt.Equals, 3)
	qt.Assert(t, api.backends.announced[0].Sequence, qt.Equals, uint64(7))
	_, _ = api.send(t, "POST", "/v1/backends/leave", `{"id":"e1","incarnation":1}`)
	qt.Assert(t, api.backends.left, qt.DeepEquals, []string{"e1"})
}

// TestKeyIndexIsThatOfTheDocument checks that the index matches the document after
// any sequence of versions, also if keys move between organisations.
func TestKeyIndexIsThatOfTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index apiKeyIndex
		for version := range uint64(6) {
			d := document.Empty()
			d.Version = version + 1
			// In a valid document each key belongs to at most one organisation.
			for key := range 5 {
				if owner := rapid.IntRange(0, 3).Draw(t, "owner"); owner > 0 {
					name := fmt.Sprint("o", owner)
					o := d.Organisations[name]
					o.KeyHashes = append(o.KeyHashes, fmt.Sprint("key", key))
					d.Organisations[name] = o
				}
			}
			want := map[string]string{}
			for name, o := range d.Organisations {
				for _, hash := range o.KeyHashes {
					want[hash] = name
				}
			}
			if got := index.tableFor(d).organisationByHash; !maps.Equal(got, want) {
				t.Fatalf("version %d: %v, want %v", d.Version, got, want)
			}
		}
	})
}

// TestErrorsOfTheRunner checks the outcome of each error of the runner: not_run is
// only reported if the generation provably did not run.
func TestErrorsOfTheRunner(t *testing.T) {
	tests := []struct {
		err           error
		status        int
		outcome, code string
	}{
		{&broker.Refusal{Reason: "limit"}, 429, outcomeNotRun, "limit"},
		{&broker.Refusal{Reason: "queue_full"}, 429, outcomeNotRun, "queue_full"},
		{&broker.Refusal{Reason: "no_backend"}, 503, outcomeNotRun, "no_backend"},
		{&engine.Error{Reason: engine.BadRequest}, 400, outcomeNotRun, "refused_by_engine"},
		{&engine.Error{Reason: engine.MayHaveRun}, 500, outcomeUnknown, "internal"},
		{generation.ErrTooLarge, 413, outcomeNotRun, "prompt_too_large"},
		{generation.ErrKeyReused, 422, outcomeUnknown, "key_reused"},
		{generation.ErrNotFound, 404, outcomeUnknown, "no_such_stream"},
		{generation.ErrTakenOver, 409, outcomeUnknown, "taken_over"},
		{generation.ErrUnrecoverable, 502, outcomeUnknown, "lost"},
		{context.DeadlineExceeded, 504, outcomeUnknown, "timeout"},
		{errors.New("other"), 500, outcomeUnknown, "internal"},
	}
	for _, test := range tests {
		t.Run(test.code, func(t *testing.T) {
			api := newTestAPI(t)
			api.runner.err = fmt.Errorf("open: %w", test.err)
			response, text := api.send(t, "POST", "/v1/completions", `{"model":"summary","prompt":"a"}`, fillKey)
			qt.Assert(t, response.StatusCode, qt.Equals, test.status)
			qt.Assert(t, text, qt.Contains, `"outcome":"`+test.outcome+`","code":"`+test.code+`"`)
		})
	}
}

// TestResumeOfOthers checks that an organisation cannot resume the streams of
// another one, and that a resume by POST must repeat the body of the request.
func TestResumeOfOthers(t *testing.T) {
	api := newTestAPI(t)
	body := `{"model":"summary","prompt":"a b","stream":true}`
	_, _ = api.send(t, "POST", "/v1/completions", body, fillKey)
	draftsKey := "Authorization: Bearer drafts-key"
	response, _ := api.send(t, "GET", "/v1/streams/s1", "", draftsKey, "Last-Event-ID: s1.0")
	qt.Assert(t, response.StatusCode, qt.Equals, 404)
	response, _ = api.send(t, "POST", "/v1/completions", body, draftsKey, "Last-Event-ID: s1.0")
	qt.Assert(t, response.StatusCode, qt.Equals, 404)
	response, text := api.send(t, "POST", "/v1/completions", strings.Replace(body, "a b", "a c", 1), fillKey, "Last-Event-ID: s1.0")
	qt.Assert(t, response.StatusCode, qt.Equals, 422)
	qt.Assert(t, text, qt.Contains, `"code":"other_request"`)
}

// Guards against a stream that ends as if it were complete, when the caller closed only its own side of
// the connection.
func TestStreamOfHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	api := newTestAPI(t)
	api.runner.gate, api.runner.blockAt = make(chan struct{}), 2
	conn, err := net.Dial("tcp", api.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	const body = `{"model":"summary","prompt":"a b c","stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n%s\r\nContent-Length: %d\r\n\r\n%s", fillKey, len(body), body)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	events := bufio.NewReader(response.Body)
	for line := ""; line != "id: s1.1\n"; {
		line, err = events.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	rest, err := io.ReadAll(events)
	if err == nil {
		qt.Assert(t, string(rest), qt.Contains, "event: error")
		return
	}
	qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}
