// Package routing decides where a request goes: it holds a published
// configuration, checks it as a whole and matches requests. It is pure.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Stream answers are events with increasing identifiers.
	Stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
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

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream in time.
	MaxPause time.Duration
	// Rank is the urgency of the route, 0 first.
	Rank int
	// MaxServers bounds the backend servers that one request may reach.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	Targets   []Target
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Engine describes the backend servers of a model service.
type Engine struct {
	Slots int
	// MemoryTokens is the memory for running requests and cached prompts.
	MemoryTokens int
	// Backups tells that an engine copies the memory of a run to another one.
	Backups bool
	// Moves tells that an engine copies the memory of a run when it is ordered to.
	Moves bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// HandleLife is how long a copy waits to be used.
	HandleLife time.Duration
}

// Service is a set of equal backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation holds the keys of one organisation.
type Organisation struct {
	Name string
	Keys []string
	// Rank replaces the rank of a route if it is not nil.
	Rank *int
}

// Config is a whole published configuration.
type Config struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Check returns all faults of a configuration, each with the place that it is at.
func (c *Config) Check() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			fault("services[%d]: has no name", i)
		}
		if services[s.Name] {
			fault("services[%d]: %q is there twice", i, s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, r := range c.Routes {
		c.checkRoute(&r, services, fault)
		place := r.Host + r.Prefix
		if other, taken := places[place]; taken {
			fault("route %q: has the host and prefix of route %q", r.Name, other)
		}
		places[place] = r.Name
	}
	owners := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if owner, taken := owners[key]; taken && owner != o.Name {
				fault("organisation %q: shares a key with %q", o.Name, owner)
			}
			owners[key] = o.Name
		}
	}
	return faults
}

func (c *Config) checkRoute(r *Route, services map[string]bool, fault func(string, ...any)) {
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			fault("route %q: service %q is unknown", r.Name, t.Service)
		}
		if t.Weight < 0 {
			fault("route %q: weight of %q is negative", r.Name, t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		fault("route %q: the weights add up to 0", r.Name)
	}
	if r.Timeout <= 0 {
		fault("route %q: the timeout is 0", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
}

// Table is a configuration that is indexed for matching. It is immutable.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// NewTable indexes a configuration without faults.
func NewTable(c *Config) *Table {
	t := &Table{
		Config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Organisation{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.keys[key] = &c.Organisations[i]
		}
	}
	return t
}

// Match returns the route of a host, with or without a port, with the longest
// prefix of the path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, nil if it is unknown.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKeys tells whether requests of routes that are not public carry a key.
func (t *Table) NeedsKeys() bool { return len(t.Config.Organisations) > 0 }

// Owner returns the organisation that holds a key, nil if no one does.
func (t *Table) Owner(key string) *Organisation { return t.keys[key] }

// Pick returns the service of a route for a point in [0, 1), by the weights.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := point * float64(total)
	for _, t := range r.Targets {
		if at < float64(t.Weight) {
			return t.Service
		}
		at -= float64(t.Weight)
	}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			return t.Service
		}
	}
	return ""
}
