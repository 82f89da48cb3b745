package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

const (
	// streamHeartbeatInterval is the interval of the comment lines that are sent on
	// a stream without a new token.
	streamHeartbeatInterval = 200 * time.Millisecond
	// defaultLinger is the default of EngineOptions.Linger.
	defaultLinger = 10 * time.Second
	// maxBodyBytes limits the body of a request, maxOutputTokens the output that it
	// may ask for.
	maxBodyBytes    = 16 << 20
	maxOutputTokens = 1 << 20
	// engineDrainPollInterval is the interval at which a leaving engine checks
	// whether generations still run.
	engineDrainPollInterval = 20 * time.Millisecond
	// maxCacheEvents limits the cache events kept; the oldest are dropped.
	maxCacheEvents = 256
)

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	ID      string
	Address string
	// Advertise is the announced address; empty means Address.
	Advertise  string
	DataCentre string
	Models     []string
	// Slots is the number of generations that can run at the same time.
	Slots int
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time per token of the prefix; prompts take none.
	PrefillPerToken time.Duration
	// Linger is how long a generation without a connection continues, and how
	// long a finished one is kept. Values up to 0 mean defaultLinger.
	Linger time.Duration
	// IgnoreFencing makes the engine accept orders with outdated fencing numbers.
	IgnoreFencing bool
	// AttemptChains makes the tokens depend on the attempt, so that two attempts
	// of one generation differ in spite of the same seed.
	AttemptChains bool
	// EntryAddresses lists the caller addresses of the entry instances that receive
	// the announcements.
	EntryAddresses []string
}

// Engine is a simulated model engine. It generates the tokens of a token chain
// at a fixed interval and serves them over HTTP.
type Engine struct {
	options EngineOptions
	log     *slog.Logger
	router  chi.Router

	mu          sync.Mutex
	generations map[string]*generation
	running     int
	// unfrozen is closed by Unfreeze, and nil unless the engine is frozen.
	unfrozen chan struct{}
	// highestFence is the highest fencing number of the orders received.
	highestFence uint64
	loadedModels map[string]bool
	cacheEvents  []cacheEvent
	counts       Counts
}

// Counts holds work counters of a stand-in engine.
type Counts struct {
	// Computed counts the generated tokens.
	// Prefilled counts the tokens in the prefixes of requests.
	Computed, Prefilled int
	// Started, Resumed, Cancelled and Refused count requests by their result.
	Started, Resumed, Cancelled, Refused int
}

type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
}

// generation is one running or finished generation of the engine.
type generation struct {
	id      string
	request engine.Completion

	mu sync.Mutex
	// firstPosition is the position of tokens[0], after the prefix of the request.
	firstPosition        int
	tokens               []string
	finishReason         string
	connections          int
	connectionsChangedAt time.Time
	changed              chan struct{}
	cancel               context.CancelFunc
}

// NewEngine returns an engine that has the models of the options loaded.
func NewEngine(o EngineOptions, log *slog.Logger) *Engine {
	if o.Linger <= 0 {
		o.Linger = defaultLinger
	}
	e := &Engine{options: o, log: log, generations: map[string]*generation{}, loadedModels: map[string]bool{}}
	for _, m := range o.Models {
		e.loadedModels[m] = true
	}
	r := chi.NewRouter()
	r.Post("/v1/completions", e.handleCompletion)
	r.Get("/v1/streams/{id}", e.handleResume)
	r.Delete("/v1/streams/{id}", e.handleCancel)
	r.Get("/v1/load", e.handleLoad)
	r.Post("/v1/orders", e.handleOrder)
	r.Get("/v1/cache/events", e.handleCacheEvents)
	e.router = r
	return e
}

// ServeHTTP implements http.Handler. It blocks while the engine is frozen.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.waitUntilUnfrozen(r.Context())
	e.router.ServeHTTP(w, r)
}

// Freeze blocks all output and new requests until Unfreeze. Connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unfrozen == nil {
		e.unfrozen = make(chan struct{})
	}
}

// Unfreeze lets a frozen engine continue.
func (e *Engine) Unfreeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unfrozen != nil {
		close(e.unfrozen)
		e.unfrozen = nil
	}
}

// waitUntilUnfrozen blocks while the engine is frozen, or until ctx ends.
func (e *Engine) waitUntilUnfrozen(ctx context.Context) {
	e.mu.Lock()
	unfrozen := e.unfrozen
	e.mu.Unlock()
	if unfrozen == nil {
		return
	}
	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}

// Counts returns the work counters since the start.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of generations that use a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if c.StreamID == "" || c.MaxTokens < 1 || c.MaxTokens > maxOutputTokens || len(c.Prefix) > c.MaxTokens {
		http.Error(w, "stream_id, max_tokens or prefix is out of range", http.StatusBadRequest)
		return
	}
	g, status, err := e.admit(c)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	e.serve(w, r, g, len(c.Prefix))
}

// admit takes a slot and starts a generation in it. If it refuses the request,
// it returns the HTTP status of the response.
func (e *Engine) admit(c engine.Completion) (*generation, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loadedModels[c.Model] {
		return nil, http.StatusServiceUnavailable, fmt.Errorf("model %q is not loaded", c.Model)
	}
	if e.generations[c.StreamID] != nil {
		return nil, http.StatusConflict, errors.New("stream_id: exists")
	}
	if e.running >= e.options.Slots {
		e.counts.Refused++
		return nil, http.StatusTooManyRequests, errors.New("all slots are taken")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		id: c.StreamID, request: c, firstPosition: len(c.Prefix), cancel: cancel,
		changed: make(chan struct{}), connectionsChangedAt: time.Now(),
	}
	e.generations[c.StreamID] = g
	e.running++
	e.counts.Started++
	e.counts.Prefilled += len(c.Prefix)
	e.cacheEvents = append(e.cacheEvents, cacheEvent{
		Sequence: e.counts.Started, Kind: "stored", Prefix: newTokenChain(c.Prompt, 0, nil).nextValue(),
	})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[len(e.cacheEvents)-maxCacheEvents:]
	}
	go e.generate(ctx, g)
	return g, 0, nil
}

// generate produces the tokens of one generation at the configured interval.
func (e *Engine) generate(ctx context.Context, g *generation) {
	attempt := ""
	if e.options.AttemptChains {
		attempt = g.id
	}
	c := newTokenChain(g.request.Prompt, g.request.Seed, g.request.Prefix)
	reason := "length"
	due := time.Now().Add(time.Duration(len(g.request.Prefix)) * e.options.PrefillPerToken)
	for position := len(g.request.Prefix); position < g.request.MaxTokens; position++ {
		due = due.Add(e.options.TokenInterval)
		if !e.waitForNextToken(ctx, g, due) {
			reason = "cancelled"
			break
		}
		g.appendToken(c.next(attempt))
		e.mu.Lock()
		e.counts.Computed++
		e.mu.Unlock()
	}
	g.finish(reason)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	time.AfterFunc(e.options.Linger, func() { e.remove(g) })
}

// waitForNextToken waits until the next token is due. It reports whether the
// generation continues: it ends when it is cancelled, or when it has had no
// connection for the linger time.
func (e *Engine) waitForNextToken(ctx context.Context, g *generation, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	e.waitUntilUnfrozen(ctx)
	return ctx.Err() == nil && !g.abandoned(e.options.Linger)
}

func (e *Engine) remove(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.id] == g {
		delete(e.generations, g.id)
	}
}

func (g *generation) appendToken(token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) finish(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishReason = reason
	close(g.changed)
	g.changed = make(chan struct{})
}

// abandoned reports whether the generation has had no connection for longer than linger.
func (g *generation) abandoned(linger time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connections == 0 && time.Since(g.connectionsChangedAt) > linger
}

// addConnections changes the number of connections that read the generation.
func (g *generation) addConnections(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections += delta
	g.connectionsChangedAt = time.Now()
}

// chunkAt returns the token at a position, or the end of the output with ok set.
// If neither exists yet, ok is false, and wait is closed at the next change.
func (g *generation) chunkAt(position int) (chunk engine.Chunk, ok bool, wait chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := position - g.firstPosition; i < len(g.tokens) {
		return engine.Chunk{Position: position, Text: g.tokens[i]}, true, nil
	}
	if g.finishReason != "" {
		return engine.Chunk{Position: position, FinishReason: g.finishReason}, true, nil
	}
	return engine.Chunk{}, false, g.changed
}

func (e *Engine) findGeneration(r *http.Request) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[chi.URLParam(r, "id")]
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	g := e.findGeneration(r)
	if g == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < g.firstPosition {
		http.Error(w, "from: out of range", http.StatusGone)
		return
	}
	e.mu.Lock()
	e.counts.Resumed++
	e.mu.Unlock()
	e.serve(w, r, g, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	g := e.findGeneration(r)
	if g == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	g.cancel()
	e.mu.Lock()
	e.counts.Cancelled++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serve streams the events from a position on over one connection.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, g *generation, position int) {
	g.addConnections(1)
	defer g.addConnections(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	heartbeat := time.NewTicker(streamHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		e.waitUntilUnfrozen(r.Context())
		chunk, ok, wait := g.chunkAt(position)
		if !ok {
			select {
			case <-wait:
				continue
			case <-r.Context().Done():
				return
			case <-heartbeat.C:
				e.waitUntilUnfrozen(r.Context())
				_, _ = w.Write([]byte(": heartbeat\n\n"))
			}
		} else {
			data, _ := json.Marshal(chunk)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			position++
		}
		if controller.Flush() != nil || chunk.FinishReason != "" {
			return
		}
	}
}

func (e *Engine) currentLoad() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.LoadReport{Slots: e.options.Slots, Running: e.running}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.currentLoad())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.highestFence && !e.options.IgnoreFencing {
		http.Error(w, "fence: a higher number was seen", http.StatusPreconditionFailed)
		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	switch o.Action {
	case "load":
		e.loadedModels[o.Target] = true
	case "unload":
		delete(e.loadedModels, o.Target)
	case "role":
		// The stand-in generates in every role.
	default:
		http.Error(w, "action: unknown", http.StatusBadRequest)
		return
	}
	e.log.Info("order obeyed", "fence", o.Fence, "action", o.Action, "target", o.Target)
	w.WriteHeader(http.StatusNoContent)
}

// handleCacheEvents returns all events but the newest, because real engines
// publish cache events with a delay.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	published := e.cacheEvents[:max(0, len(e.cacheEvents)-1)]
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(published)
}

// pools returns the loaded models, those of the options first.
func (e *Engine) pools() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	pools := make([]string, 0, len(e.loadedModels))
	for _, m := range e.options.Models {
		if e.loadedModels[m] {
			pools = append(pools, m)
		}
	}
	for m := range e.loadedModels {
		listed := false
		for _, p := range pools {
			listed = listed || p == m
		}
		if !listed {
			pools = append(pools, m)
		}
	}
	return pools
}

// Run serves requests until ctx ends. It then sends a leave notice to the entry
// instances, keeps serving until no generation runs, and shuts down.
func (e *Engine) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.options.Address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.options.Address)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	announcerDone := Announce(ctx, Announcer{
		ID: e.options.ID, Address: cmp.Or(e.options.Advertise, listener.Addr().String()), DataCentre: e.options.DataCentre,
		Pools: e.pools, Load: e.currentLoad, EntryAddresses: e.options.EntryAddresses,
	}, e.log)
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	<-announcerDone
	for e.Running() > 0 {
		time.Sleep(engineDrainPollInterval)
	}
	return server.Shutdown(context.WithoutCancel(ctx))
}
