package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// testAPI starts the operators' API of a control group with one member.
func testAPI(t *testing.T) *httptest.Server {
	g := newGroup(t, 1, 5)
	id := g.leader()
	auth, err := NewAuth(map[string]string{"rozenn": document.HashKey("key-1"), "erwan": document.HashKey("key-2")})
	qt.Assert(t, err, qt.IsNil)
	a := &api{
		id: string(id), node: g.node(id), router: g.router(id), auth: auth, metrics: http.NotFoundHandler(),
		changeCounter: noop.Int64Counter{}, draining: &atomic.Bool{},
	}
	server := httptest.NewServer(a.handler())
	t.Cleanup(server.Close)
	return server
}

func sendRequest(t *testing.T, s *httptest.Server, method, path, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode, string(raw)
}

const organisationOpFormat = `{"section":"organisations","name":"boutique","value":{"key_hashes":[],"weight":%d,"ranks":["urgent"]}}`

// Guards against malformed input that is accepted, that crashes the instance or
// that is rejected without naming the field.
func TestAPIRefusals(t *testing.T) {
	s := testAPI(t)
	op := fmt.Sprintf(organisationOpFormat, 1)
	cases := []struct {
		method, path, key, body string
		status                  int
		field                   string
	}{
		{"GET", "/v1/config", "", "", 401, "Authorization"},
		{"GET", "/v1/config", "key-3", "", 401, "Authorization"},
		{"GET", "/v1/config?stale=2", "key-1", "", 400, "stale"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"1"`, 400, "body"},
		{"POST", "/v1/config/changes", "key-1", `{"id":7}`, 400, "id"},
		{"POST", "/v1/config/changes", "key-1", `{"identifier":"1"}`, 400, "identifier"},
		{"POST", "/v1/config/changes", "key-1", `{"ops":[` + op + `]}`, 400, "id"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"1","ops":[]}`, 400, "ops"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"1","operator":"erwan","ops":[` + op + `]}`, 400, "operator"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"2","ops":[` + fmt.Sprintf(organisationOpFormat, 0) + `]}`, 422, "organisations/boutique.weight"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"3","ops":[{"section":"shops","name":"a"}]}`, 422, "ops[0] shops/a"},
		{"POST", "/v1/config/changes", "key-1", `{"id":"4","base":9,"ops":[` + op + `]}`, 409, "base"},
		{"POST", "/v1/config/changes", "key-1", strings.Repeat(" ", MaxChangeBytes+1), 413, "body"},
		{"PUT", "/v1/config?change_id=5", "key-1", `{}`, 400, "base"},
		{"PUT", "/v1/config?base=0", "key-1", `{}`, 400, "change_id"},
		{"PUT", "/v1/config?base=7&change_id=5", "key-1", `{}`, 400, "base"},
		{"PUT", "/v1/config?base=0&change_id=5", "key-1", `{"version":3}`, 400, "version"},
		{"PUT", "/v1/config?base=0&change_id=5", "key-1", `{"ranks":{"urgent":{"floor":1}}}`, 400, "floor"},
		{"GET", "/v1/audit?after=-1", "key-1", "", 400, "after"},
		{"GET", "/v1/audit?limit=x", "key-1", "", 400, "limit"},
	}
	for _, c := range cases {
		status, body := sendRequest(t, s, c.method, c.path, c.key, c.body)
		comment := qt.Commentf("%s %s: %s", c.method, c.path, body)
		qt.Assert(t, status, qt.Equals, c.status, comment)
		var response ErrorResponse
		qt.Assert(t, json.Unmarshal([]byte(body), &response), qt.IsNil, comment)
		qt.Assert(t, response.Error.Field, qt.Equals, c.field, comment)
		qt.Assert(t, response.Error.Outcome, qt.Equals, "not_run", comment)
	}
}

// Guards against a resent change that is applied twice or gets a different
// response, a conflict response without the version in force, and audit entries
// without the operator's name.
func TestAPIChanges(t *testing.T) {
	s := testAPI(t)
	change := fmt.Sprintf(`{"id":"1","base":0,"ops":[`+organisationOpFormat+`]}`, 1)
	_, original := sendRequest(t, s, "POST", "/v1/config/changes", "key-1", change)
	qt.Assert(t, original, qt.Equals, `{"change_id":"1","outcome":"accepted","version":1}`+"\n")
	_, resent := sendRequest(t, s, "POST", "/v1/config/changes", "key-1", change)
	qt.Assert(t, resent, qt.Equals, original)
	status, body := sendRequest(t, s, "POST", "/v1/config/changes", "key-2", change)
	qt.Assert(t, status, qt.Equals, 422)
	qt.Assert(t, body, qt.Contains, `"field":"id"`)
	status, body = sendRequest(t, s, "POST", "/v1/config/changes", "key-2", strings.Replace(change, `"1"`, `"2"`, 1))
	qt.Assert(t, status, qt.Equals, 409)
	qt.Assert(t, body, qt.Contains, `"version":1`)

	const documentBody = `{ // The shop is new.
		"organisations": {"shop": {"key_hashes": [], "weight": 2, "ranks": ["patient"]},},
	}`
	for range 2 {
		_, body = sendRequest(t, s, "PUT", "/v1/config?base=1&change_id=3", "key-2", documentBody)
		qt.Assert(t, body, qt.Equals, `{"change_id":"3","outcome":"accepted","version":2}`+"\n")
	}
	status, body = sendRequest(t, s, "PUT", "/v1/config?base=1&change_id=4", "key-1", `{}`)
	qt.Assert(t, status, qt.Equals, 409, qt.Commentf("%s", body))
	_, body = sendRequest(t, s, "GET", "/v1/config", "key-1", "")
	var d document.Document
	qt.Assert(t, json.Unmarshal([]byte(body), &d), qt.IsNil)
	qt.Assert(t, d.Version, qt.Equals, uint64(2))
	qt.Assert(t, d.Organisations, qt.HasLen, 1)

	_, body = sendRequest(t, s, "GET", "/v1/audit?after=1", "key-1", "")
	var page struct{ Entries []AuditEntry }
	qt.Assert(t, json.Unmarshal([]byte(body), &page), qt.IsNil)
	var summaries []string
	for _, e := range page.Entries {
		summaries = append(summaries, fmt.Sprint(e.Seq, " ", e.Operator, " ", e.Result.ChangeID, " ", e.Result.Outcome, " ", len(e.Ops)))
	}
	qt.Assert(t, summaries, qt.DeepEquals, []string{
		"2 erwan 1 invalid 1", "3 erwan 2 conflict 1", "4 erwan 3 accepted 2", "5 rozenn 4 conflict 1",
	})
	_, body = sendRequest(t, s, "GET", "/v1/status", "key-1", "")
	qt.Assert(t, body, qt.Contains, `"role":"leader"`)
	for _, path := range []string{"/healthz", "/readyz"} {
		status, _ = sendRequest(t, s, "GET", path, "", "")
		qt.Assert(t, status, qt.Equals, 200)
	}
}

// Guards against settings in which a key does not identify exactly one operator.
func TestAuthRefusesAmbiguousKeys(t *testing.T) {
	hash := document.HashKey("key-1")
	cases := []struct {
		operators map[string]string
		want      string
	}{
		{map[string]string{"erwan": hash[1:]}, "operators.erwan: must be a SHA-256 hash in hex"},
		{map[string]string{"erwan": hash, "rozenn": strings.ToUpper(hash)}, `operators.rozenn: is also the key of "erwan"`},
	}
	for _, c := range cases {
		_, err := NewAuth(c.operators)
		qt.Assert(t, err, qt.ErrorMatches, c.want)
	}
}
