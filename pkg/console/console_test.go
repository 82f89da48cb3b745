package console

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// fakeControl accepts a change only if its base is the current version. loseResult makes the next
// call of Propose return an unknown outcome, although the change is decided.
type fakeControl struct {
	current    *document.Document
	results    map[string]control.Result
	loseResult bool
}

func (f *fakeControl) Read(context.Context) (*document.Document, error) { return f.current, nil }

func (f *fakeControl) Propose(_ context.Context, c *document.Change) control.Result {
	result, decided := f.results[c.ID]
	if !decided {
		result = control.Result{ChangeID: c.ID, Outcome: control.Conflict, Version: f.current.Version}
		if c.Base == f.current.Version {
			next, err := f.current.Apply(c.Ops)
			if err != nil || len(next.Validate()) > 0 {
				return control.Result{ChangeID: c.ID, Outcome: control.Invalid, Message: fmt.Sprint(err, next.Validate())}
			}
			f.current = next
			result = control.Result{ChangeID: c.ID, Outcome: control.Accepted, Version: next.Version}
		}
		f.results[c.ID] = result
	}
	if f.loseResult {
		f.loseResult = false
		return control.Result{ChangeID: c.ID, Outcome: control.Unknown}
	}
	return result
}

// browser is an HTTP client with the cookies of one operator.
type browser struct {
	t      *testing.T
	server *httptest.Server
	client http.Client
}

func newBrowser(t *testing.T, server *httptest.Server, key string) *browser {
	jar, err := cookiejar.New(nil)
	qt.Assert(t, err, qt.IsNil)
	b := &browser{t: t, server: server, client: http.Client{Jar: jar}}
	b.postForm("/sign-in", url.Values{"key": {key}})
	return b
}

func (b *browser) readResponse(response *http.Response, err error) (int, string) {
	b.t.Helper()
	qt.Assert(b.t, err, qt.IsNil)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	qt.Assert(b.t, err, qt.IsNil)
	return response.StatusCode, string(raw)
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	return b.readResponse(b.client.Get(b.server.URL + basePath + path))
}

func (b *browser) postForm(path string, form url.Values) (int, string) {
	b.t.Helper()
	return b.readResponse(b.client.PostForm(b.server.URL+basePath+path, form))
}

var tokenPattern = regexp.MustCompile(`name="token" value="([^"]+)"`)

// postWithToken posts a form with the token of the session.
func (b *browser) postWithToken(path string, form url.Values) (int, string) {
	b.t.Helper()
	_, body := b.get("/")
	match := tokenPattern.FindStringSubmatch(body)
	qt.Assert(b.t, match, qt.HasLen, 2, qt.Commentf("%s", body))
	form.Set("token", match[1])
	return b.postForm(path, form)
}

func newTestConsole(t *testing.T) (*httptest.Server, *fakeControl) {
	fake := &fakeControl{current: document.Empty(), results: map[string]control.Result{}}
	operators := map[string]string{"key-1": "rozenn", "key-2": "erwan"}
	c := New(fake, func(key string) (string, bool) {
		operator, ok := operators[key]
		return operator, ok
	})
	s := httptest.NewServer(c.Handler())
	t.Cleanup(s.Close)
	return s, fake
}

func organisationForm(name, weight string) url.Values {
	return url.Values{"item": {name}, "weight": {weight}, "ranks": {"urgent\npatient"}}
}

// Guards against serving pages without a session, accepting forms without its token, and input that
// is stored without validation or shown without escaping.
func TestConsoleRefusals(t *testing.T) {
	s, f := newTestConsole(t)
	unauthenticated := newBrowser(t, s, "key-3")
	_, body := unauthenticated.get("/items/organisations")
	qt.Assert(t, body, qt.Contains, "<h1>Sign in</h1>")
	b := newBrowser(t, s, "key-1")
	status, _ := b.postForm("/items/organisations", organisationForm("boutique", "1"))
	qt.Assert(t, status, qt.Equals, http.StatusForbidden)
	status, body = b.postWithToken("/items/organisations", organisationForm("<b>", "0"))
	qt.Assert(t, status, qt.Equals, http.StatusUnprocessableEntity)
	qt.Assert(t, strings.Contains(body, "<b>"), qt.IsFalse)
	qt.Assert(t, body, qt.Contains, "weight: is 0, must be from 1 to 1000")
	status, body = b.postWithToken("/items/organisations", organisationForm("boutique", "many"))
	qt.Assert(t, status, qt.Equals, http.StatusUnprocessableEntity)
	qt.Assert(t, body, qt.Contains, "must be a whole number")
	status, _ = b.postWithToken("/items/shops", organisationForm("boutique", "1"))
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)
	_, body = b.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "There is nothing to send.")
	qt.Assert(t, f.results, qt.HasLen, 0)
}

// Guards against lost updates: of two concurrent drafts the second one sent must not overwrite the
// first, and must show what the first one changed.
func TestConsoleRace(t *testing.T) {
	s, f := newTestConsole(t)
	winner, loser := newBrowser(t, s, "key-1"), newBrowser(t, s, "key-2")
	loser.postWithToken("/items/organisations", organisationForm("boutique", "2"))
	loser.postWithToken("/items/organisations", organisationForm("mine", "4"))
	winner.postWithToken("/items/organisations", organisationForm("boutique", "3"))
	_, body := winner.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "in force as version 1")
	_, body = loser.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "Another change was accepted first")
	qt.Assert(t, body, qt.Contains, "organisations/boutique (also in the draft)")
	qt.Assert(t, f.current.Organisations["boutique"].Weight, qt.Equals, 3)
	loser.postWithToken("/draft/drop", url.Values{"section": {"organisations"}, "item": {"boutique"}})
	loser.postWithToken("/draft/rebase", url.Values{})
	_, body = loser.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "in force as version 2")
	qt.Assert(t, f.current.Organisations["boutique"].Weight, qt.Equals, 3)
	qt.Assert(t, f.current.Organisations["mine"].Weight, qt.Equals, 4)
}

// Guards against a second change when the response to the first one is lost, and against forms of
// the four sections that drop fields.
func TestConsoleSections(t *testing.T) {
	s, f := newTestConsole(t)
	b := newBrowser(t, s, "key-1")
	forms := map[string]url.Values{
		"services": {"item": {"desk"}, "kind": {"plain"}, "timeout_ms": {"900"}, "routes.0.method": {"post"},
			"routes.0.path_prefix": {"/orders"}, "routes.0.rank": {"patient"}, "routes.4.path_prefix": {"/"}, "routes.4.idempotent": {"1"}},
		"ranks": {"item": {"urgent"}, "first_token_target_ms": {"350"}, "max_wait_ms": {"2000"},
			"queue_per_organisation": {"50"}, "floor_percent": {"10"}},
	}
	for name, form := range forms {
		status, body := b.postWithToken("/items/"+name, form)
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	}
	status, body := b.postWithToken("/items/placements", url.Values{"item": {"all"}, "services": {"desk"},
		"networks": {"10.0.0.0/8"}, "checks_fencing": {"1"}, "replicas": {"3"}})
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	f.loseResult = true
	_, body = b.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "The result is not known yet")
	_, body = b.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "in force as version 1")
	qt.Assert(t, f.results, qt.HasLen, 1)
	want := document.Service{Kind: document.KindPlain, TimeoutMS: 900, Routes: []document.Route{
		{Method: "POST", PathPrefix: "/orders", Rank: "patient"}, {PathPrefix: "/", Idempotent: true}}}
	qt.Assert(t, f.current.Services["desk"], qt.DeepEquals, want)
	qt.Assert(t, f.current.Ranks["urgent"].FloorPercent, qt.Equals, 10)
	qt.Assert(t, f.current.Placements["all"], qt.DeepEquals, document.PlacementRule{
		Services: []string{"desk"}, Networks: []string{"10.0.0.0/8"}, ChecksFencing: true, Replicas: 3})
	for _, section := range formSections {
		for _, path := range []string{"/items/" + section.Name, "/items/" + section.Name + "?new=1"} {
			status, _ := b.get(path)
			qt.Assert(t, status, qt.Equals, http.StatusOK)
		}
	}
	_, body = b.get("/items/services/desk")
	qt.Assert(t, body, qt.Contains, `value="/orders"`)
	b.postWithToken("/items/placements", url.Values{"item": {"all"}, "delete": {"1"}})
	_, body = b.postWithToken("/draft/send", url.Values{})
	qt.Assert(t, body, qt.Contains, "in force as version 2")
	qt.Assert(t, f.current.Placements, qt.HasLen, 0)
}
