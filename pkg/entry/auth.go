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

// caller is the authenticated organisation of a request, with the configuration
// in force when the request arrived.
type caller struct {
	organisation       string
	organisationConfig document.Organisation
	document           *document.Document
}

// apiKeyIndex maps API keys to organisations. The map is rebuilt when the
// configuration changes.
type apiKeyIndex struct {
	mu     sync.Mutex
	cached atomic.Pointer[apiKeyTable]
}

// apiKeyTable maps the lower-case API key hashes of one configuration document to
// organisation names.
type apiKeyTable struct {
	document           *document.Document
	organisationByHash map[string]string
}

// tableFor returns the key table of d. It builds and caches a new table, unless
// the cached one belongs to a document of the same or a newer version.
func (x *apiKeyIndex) tableFor(d *document.Document) *apiKeyTable {
	if t := x.cached.Load(); t != nil && t.document == d {
		return t
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.cached.Load(); t != nil && t.document.Version >= d.Version {
		return t
	}
	t := &apiKeyTable{document: d, organisationByHash: make(map[string]string, len(d.Organisations))}
	for name, o := range d.Organisations {
		for _, hash := range o.KeyHashes {
			t.organisationByHash[strings.ToLower(hash)] = name
		}
	}
	x.cached.Store(t)
	return t
}

// maxAPIKeyBytes limits the length of an API key before it is hashed.
const maxAPIKeyBytes = 512

// authenticate resolves the bearer token of a request to an organisation.
func (s *Service) authenticate(r *http.Request) (caller, error) {
	apiKey, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || apiKey == "" || len(apiKey) > maxAPIKeyBytes {
		return caller{}, &apiError{
			status: http.StatusUnauthorized, code: "no_key", field: "Authorization",
			message: "must be Bearer with a key",
		}
	}
	table := s.apiKeyIndex.tableFor(s.Config.Current())
	if table.document.Version == 0 {
		return caller{}, &apiError{
			status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: time.Second,
			message: "the instance has no configuration yet",
		}
	}
	name, ok := table.organisationByHash[document.HashKey(apiKey)]
	if !ok {
		return caller{}, &apiError{
			status: http.StatusUnauthorized, code: "unknown_key", field: "Authorization",
			message: "the key belongs to no organisation",
		}
	}
	return caller{organisation: name, organisationConfig: table.document.Organisations[name], document: table.document}, nil
}

// resolveRank returns the rank in the X-Rank header. Without the header it
// returns routeDefault, or the organisation's first rank if routeDefault is
// empty or not allowed.
func (c caller) resolveRank(r *http.Request, routeDefault string) (string, error) {
	requested := r.Header.Get("X-Rank")
	if requested == "" {
		if slices.Contains(c.organisationConfig.Ranks, routeDefault) {
			return routeDefault, nil
		}
		if len(c.organisationConfig.Ranks) > 0 {
			return c.organisationConfig.Ranks[0], nil
		}
		return document.Patient, nil
	}
	if requested != document.Urgent && requested != document.Patient {
		return "", invalidField("X-Rank", "bad_rank", `must be "urgent" or "patient"`)
	}
	if !slices.Contains(c.organisationConfig.Ranks, requested) {
		return "", &apiError{
			status: http.StatusForbidden, code: "rank_not_allowed", field: "X-Rank",
			message: "the organisation may not send this rank",
		}
	}
	return requested, nil
}

// allowedService returns the named service. It reports false if the service does
// not exist, is of another kind, or may not be called by the organisation.
func (c caller) allowedService(name, kind string) (document.Service, bool) {
	if len(c.organisationConfig.Services) > 0 && !slices.Contains(c.organisationConfig.Services, name) {
		return document.Service{}, false
	}
	service, ok := c.document.Services[name]
	return service, ok && service.Kind == kind
}
