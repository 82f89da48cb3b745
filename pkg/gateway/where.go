package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

// Where tells where a request would go now from this gateway.
type Where struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	placement.Decision
}

// serveWhere answers which backend server a request of the given route, prompt and output would go to now, without
// sending anything. It is served at the address for readiness checks, which callers do not reach.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	table := g.table.Load()
	if table == nil {
		http.Error(w, "the gateway has no configuration", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	i := slices.IndexFunc(table.Config.Routes, func(route routing.Route) bool { return route.Name == query.Get("route") })
	if i < 0 || len(table.Config.Routes[i].Targets) == 0 {
		http.Error(w, "no route with this name", http.StatusNotFound)
		return
	}
	tokens := map[string]int{}
	for _, name := range []string{"prompt_tokens", "output_tokens"} {
		value := query.Get(name)
		if value == "" {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			http.Error(w, name+" must be a number of tokens", http.StatusBadRequest)
			return
		}
		tokens[name] = n
	}
	route := &table.Config.Routes[i]
	result := Where{Route: route.Name, Service: route.Targets[0].Service}
	if service := query.Get("service"); service != "" {
		result.Service = service
	}
	j := slices.IndexFunc(table.Config.Services, func(s routing.Service) bool { return s.Name == result.Service })
	if j < 0 {
		http.Error(w, "no service with this name", http.StatusNotFound)
		return
	}
	result.Decision = g.explain(route, &table.Config.Services[j], tokens["prompt_tokens"], tokens["output_tokens"], query.Get("session"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result) // A write error means that the client has left.
}

func (g *Gateway) explain(route *routing.Route, service *routing.Service, prompt, output int, session string) placement.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	pool := g.pools[service.Name]
	switch {
	case pool == nil:
		return placement.Decision{Reason: "no server of the service is known", Candidates: []placement.Candidate{}}
	case route.Kind != routing.Stream:
		return pool.ExplainCall(now)
	}
	run := placement.Run{Tokens: prompt + output}
	if service.Engine != nil {
		run.EngineMemoryTokens = service.Engine.MemoryTokens
	}
	if session != "" {
		run.Prefer = g.promptLocations.CandidateEngines(session, now)
	}
	return pool.ExplainRun(now, run, prompt)
}
