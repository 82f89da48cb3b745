package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an explanation that sends the request, reserves a place, or fails on malformed questions.
func TestWhere(t *testing.T) {
	f := newFixture(t)
	ask := func(query string) (int, Where) {
		w := httptest.NewRecorder()
		f.serveWhere(w, httptest.NewRequest("GET", "/debug/where?"+query, nil))
		var result Where
		if w.Code == http.StatusOK {
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &result), qt.IsNil)
		}
		return w.Code, result
	}
	status, _ := ask("route=stream")
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	f.publish(1, testConfig())
	status, result := ask("route=stream&prompt_tokens=8000")
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, result.Server, qt.Equals, "")
	engine := f.addServer("pool", "e1", "local", streamHandler(nil))
	app := f.addServer("app", "a1", "local", respondDone)
	for range 5 {
		_, result = ask("route=stream&prompt_tokens=8000&output_tokens=100")
		qt.Check(t, result.Server, qt.Equals, "e1")
		qt.Check(t, result.Candidates, qt.HasLen, 1)
		qt.Check(t, result.Candidates[0].Prompts, qt.Equals, 0)
	}
	_, result = ask("route=safe")
	qt.Check(t, result.Server, qt.Equals, "a1")
	qt.Check(t, result.Service, qt.Equals, "app")
	qt.Check(t, len(engine.receivedRequests())+len(app.receivedRequests()), qt.Equals, 0)
	for query, want := range map[string]int{"": 404, "route=none": 404, "route=stream&prompt_tokens=x": 400, "route=stream&prompt_tokens=-1": 400, "route=stream&service=none": 404} {
		status, _ := ask(query)
		qt.Check(t, status, qt.Equals, want, qt.Commentf("%s", query))
	}
}
