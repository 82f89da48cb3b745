package entry

import (
	"net/url"
	"path"
	"strconv"
	"strings"
	"testing"
)

// FuzzDecode checks that no body causes a panic, that each error names a field,
// and that accepted requests have the required fields.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"summary","prompt":"a","max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"summary","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`[{"id":"e1","address":"10.0.0.1:80","data_centre":"vannes","pools":["summary"],"slots":4}]`))
	f.Add([]byte(`{"messages":[{"role":"user","content":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (decodedRequest, error){decodeCompletion, decodeChat} {
			a, err := decode(body)
			if err != nil {
				checkFieldError(t, err)
			} else if a.request.Model == "" || a.request.Prompt == "" || a.request.MaxTokens < 0 {
				t.Fatalf("accepted %+v", a)
			}
		}
		announcements, err := decodeAnnouncements(body)
		if err != nil {
			checkFieldError(t, err)
		}
		for _, a := range announcements {
			if a.Id == "" || a.Slots == 0 || a.DataCentre == "" {
				t.Fatalf("accepted %v", a)
			}
		}
	})
}

// checkFieldError checks that err is a 4xx response that names a field.
func checkFieldError(t *testing.T, err error) {
	e := asAPIError(err)
	if e.status/100 != 4 || e.field == "" {
		t.Fatalf("status %d, field %q: %v", e.status, e.field, err)
	}
}

// FuzzEventID checks that an accepted event identifier is equal to the one that
// its stream and position form, and is safe in a header and in an SSE line.
func FuzzEventID(f *testing.F) {
	f.Add("s1.0")
	f.Add("a.b.12")
	f.Add("s1.007")
	f.Add("s1.\n5")
	f.Fuzz(func(t *testing.T, id string) {
		stream, position, err := parseEventID(id)
		if err != nil {
			checkFieldError(t, err)
			return
		}
		if stream+"."+strconv.Itoa(position) != id || position < 0 || strings.ContainsAny(stream, " \r\n") {
			t.Fatalf("%q gave %q and %d", id, stream, position)
		}
	})
}

// FuzzTargetPath checks that a backend server decodes an accepted path to the same
// path that the route was chosen for.
func FuzzTargetPath(f *testing.F) {
	f.Add("/stock/7")
	f.Add("/stock/%2e%2e/orders")
	f.Add("//orders")
	f.Add("/stock/..%2forders")
	f.Fuzz(func(t *testing.T, pathSuffix string) {
		u, err := url.ParseRequestURI("/v1/services/desk" + pathSuffix)
		if err != nil {
			return
		}
		target, err := targetPath(u, "desk")
		if err != nil {
			checkFieldError(t, err)
			return
		}
		sent := url.URL{Path: target}
		decoded, err := url.PathUnescape(sent.EscapedPath())
		if err != nil || decoded != target || path.Clean(target) != strings.TrimSuffix(target, "/") && target != "/" {
			t.Fatalf("%q is sent as %q and decoded as %q", target, sent.EscapedPath(), decoded)
		}
	})
}
