// Package routing selects the service for a request: it holds a published configuration,
// validates it as a whole and matches requests to routes. It does no I/O.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may be retried and whether the response is a
// stream.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream responses are events with increasing identifiers.
	Stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route forwards requests with a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request waits.
	Timeout time.Duration
	// Objective is the target for the response time: a later response is worth less to the caller.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is still in time.
	MaxPause time.Duration
	// Rank is the priority of the route, 0 first.
	Rank int
	// MaxPossibleRuns is the maximum number of attempts at one request that backend servers may
	// have run. Attempts that certainly did not run do not count.
	MaxPossibleRuns int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
	Targets   []Target
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Engine describes the backend servers of a model service.
type Engine struct {
	Slots int
	// MemoryTokens is the memory for running requests and cached prompts.
	MemoryTokens int
	// ContinuousCopies tells whether an engine continuously copies the memory of a run to another one.
	ContinuousCopies bool
	// CopiesOnRequest tells whether an engine copies the memory of a run on request.
	CopiesOnRequest bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyTTL is how long an engine keeps an unused copy.
	CopyTTL time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one backend server accepts from
	// all callers.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation holds the name, the keys and the rank of one organisation.
type Organisation struct {
	Name string
	Keys []string
	// Rank, if not nil, replaces the rank of the route.
	Rank *int
}

// Config is a complete published configuration.
type Config struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Validate validates the configuration and returns a message for each invalid item.
func (c *Config) Validate() []string {
	var problems []string
	addProblem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			addProblem("services[%d]: the name is missing", i)
		}
		if services[s.Name] {
			addProblem("services[%d]: duplicate name %q", i, s.Name)
		}
		services[s.Name] = true
	}
	routesByPrefix := map[string]string{}
	for _, r := range c.Routes {
		c.validateRoute(&r, services, addProblem)
		hostAndPrefix := r.Host + r.Prefix
		if existing, duplicate := routesByPrefix[hostAndPrefix]; duplicate {
			addProblem("route %q: same host and prefix as route %q", r.Name, existing)
		}
		routesByPrefix[hostAndPrefix] = r.Name
	}
	ownersByKey := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if existing, claimed := ownersByKey[key]; claimed && existing != o.Name {
				addProblem("organisation %q: shares a key with organisation %q", o.Name, existing)
			}
			ownersByKey[key] = o.Name
		}
	}
	return problems
}

func (c *Config) validateRoute(r *Route, services map[string]bool, addProblem func(string, ...any)) {
	totalWeight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			addProblem("route %q: service %q does not exist", r.Name, t.Service)
		}
		if t.Weight < 0 {
			addProblem("route %q: the weight of service %q is negative", r.Name, t.Service)
		}
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		addProblem("route %q: the sum of the weights is not positive", r.Name)
	}
	if r.Timeout <= 0 {
		addProblem("route %q: the timeout is not positive", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addProblem("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
}

// Table indexes a configuration for matching requests. It is immutable.
type Table struct {
	Config             *Config
	routesByHost       map[string][]*Route
	servicesByName     map[string]*Service
	organisationsByKey map[string]*Organisation
}

// NewTable indexes a configuration, which must be valid.
func NewTable(c *Config) *Table {
	t := &Table{
		Config: c, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{},
		organisationsByKey: map[string]*Organisation{},
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &c.Routes[i])
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisationsByKey[key] = &c.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the host, with or without a port, that has the longest matching
// prefix of the path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	hostname, _, _ := strings.Cut(host, ":")
	for _, r := range t.routesByHost[strings.ToLower(hostname)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// RequiresKeys reports whether requests for routes that are not public must carry a key.
func (t *Table) RequiresKeys() bool { return len(t.Config.Organisations) > 0 }

// OrganisationByKey returns the organisation that holds a key, or nil if there is none.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.organisationsByKey[key] }

// SelectService selects a service of the route by weight for a random point in [0, 1).
func (r *Route) SelectService(point float64) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	remaining := point * float64(totalWeight)
	for _, t := range r.Targets {
		if remaining < float64(t.Weight) {
			return t.Service
		}
		remaining -= float64(t.Weight)
	}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			return t.Service
		}
	}
	return ""
}
