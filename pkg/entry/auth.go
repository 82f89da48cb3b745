package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// caller is the organisation behind a request, with the configuration that
// was in force when the request came.
type caller struct {
	organisation string
	settings     document.Organisation
	document     *document.Document
}

// keyIndex finds the organisation of a caller's key.
type keyIndex struct {
	mu      sync.Mutex
	current atomic.Pointer[keyTable]
}

type keyTable struct {
	document *document.Document
	owners   map[string]string
}

// table returns the index of a document, rebuilt when the document changed.
func (x *keyIndex) table(d *document.Document) *keyTable {
	if t := x.current.Load(); t != nil && t.document == d {
		return t
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.current.Load(); t != nil && t.document.Version >= d.Version {
		return t
	}
	t := &keyTable{document: d, owners: make(map[string]string, len(d.Organisations))}
	for name, o := range d.Organisations {
		for _, hash := range o.KeyHashes {
			t.owners[strings.ToLower(hash)] = name
		}
	}
	x.current.Store(t)
	return t
}

// maxKeyBytes bounds a caller's key before it is hashed.
const maxKeyBytes = 512

func (s *Service) authenticate(r *http.Request) (caller, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" || len(key) > maxKeyBytes {
		return caller{}, &apiError{
			status: http.StatusUnauthorized, code: "no_key", field: "Authorization",
			message: "must be Bearer with a key",
		}
	}
	t := s.keys.table(s.Config.Current())
	if t.document.Version == 0 {
		return caller{}, &apiError{
			status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: time.Second,
			message: "the instance has no configuration yet",
		}
	}
	name, ok := t.owners[document.HashKey(key)]
	if !ok {
		return caller{}, &apiError{
			status: http.StatusUnauthorized, code: "unknown_key", field: "Authorization",
			message: "the key belongs to no organisation",
		}
	}
	return caller{organisation: name, settings: t.document.Organisations[name], document: t.document}, nil
}

// rank returns the rank of a request. wanted is the default of the route; the
// organisation's first rank applies when it is empty or not allowed.
func (c caller) rank(r *http.Request, wanted string) (string, error) {
	given := r.Header.Get("X-Rank")
	if given == "" {
		if slices.Contains(c.settings.Ranks, wanted) {
			return wanted, nil
		}
		if len(c.settings.Ranks) > 0 {
			return c.settings.Ranks[0], nil
		}
		return document.Patient, nil
	}
	if given != document.Urgent && given != document.Patient {
		return "", badField("X-Rank", "bad_rank", `must be "urgent" or "patient"`)
	}
	if !slices.Contains(c.settings.Ranks, given) {
		return "", &apiError{
			status: http.StatusForbidden, code: "rank_not_allowed", field: "X-Rank",
			message: "the organisation may not send this rank",
		}
	}
	return given, nil
}

// service returns a service that the organisation may call.
func (c caller) service(name, kind string) (document.Service, bool) {
	if len(c.settings.Services) > 0 && !slices.Contains(c.settings.Services, name) {
		return document.Service{}, false
	}
	service, ok := c.document.Services[name]
	return service, ok && service.Kind == kind
}
