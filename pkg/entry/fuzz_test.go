package entry

import (
	"net/url"
	"path"
	"strconv"
	"strings"
	"testing"
)

// FuzzDecode guards that no body causes a panic, that each error names a field
// and that an accepted request is usable.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"summary","prompt":"a","max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"summary","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`[{"id":"e1","address":"10.0.0.1:80","data_centre":"vannes","pools":["summary"],"slots":4}]`))
	f.Add([]byte(`{"messages":[{"role":"user","content":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (asked, error){decodeCompletion, decodeChat} {
			a, err := decode(body)
			if err != nil {
				checkNamed(t, err)
			} else if a.request.Model == "" || a.request.Prompt == "" || a.request.MaxTokens < 0 {
				t.Fatalf("accepted %+v", a)
			}
		}
		list, err := decodeAnnouncements(body)
		if err != nil {
			checkNamed(t, err)
		}
		for _, a := range list {
			if a.Id == "" || a.Slots == 0 || a.DataCentre == "" {
				t.Fatalf("accepted %v", a)
			}
		}
	})
}

func checkNamed(t *testing.T, err error) {
	e := asAPIError(err)
	if e.status/100 != 4 || e.field == "" {
		t.Fatalf("status %d, field %q: %v", e.status, e.field, err)
	}
}

// FuzzEventID guards resume positions: what is accepted must be what was sent.
func FuzzEventID(f *testing.F) {
	f.Add("s1.0")
	f.Add("a.b.12")
	f.Add("s1.007")
	f.Add("s1.\n5")
	f.Fuzz(func(t *testing.T, id string) {
		stream, position, err := parseEventID(id)
		if err != nil {
			checkNamed(t, err)
			return
		}
		if stream+"."+strconv.Itoa(position) != id || position < 0 || strings.ContainsAny(stream, " \r\n") {
			t.Fatalf("%q gave %q and %d", id, stream, position)
		}
	})
}

// FuzzTargetPath guards the route of a call: a backend server must not read an
// accepted path as another one than the route was chosen for.
func FuzzTargetPath(f *testing.F) {
	f.Add("/stock/7")
	f.Add("/stock/%2e%2e/orders")
	f.Add("//orders")
	f.Add("/stock/..%2forders")
	f.Fuzz(func(t *testing.T, given string) {
		u, err := url.ParseRequestURI("/v1/services/desk" + given)
		if err != nil {
			return
		}
		target, err := targetPath(u, "desk")
		if err != nil {
			checkNamed(t, err)
			return
		}
		sent := url.URL{Path: target}
		again, err := url.PathUnescape(sent.EscapedPath())
		if err != nil || again != target || path.Clean(target) != strings.TrimSuffix(target, "/") && target != "/" {
			t.Fatalf("%q is sent as %q and read as %q", target, sent.EscapedPath(), again)
		}
	})
}
