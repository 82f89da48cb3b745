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

// Timing of the stand-in engine.
const (
	heartbeatInterval = 200 * time.Millisecond
	// defaultLinger is how long a generation goes on, or its result is kept,
	// without a connection.
	defaultLinger = 10 * time.Second
	maxBodyBytes  = 16 << 20
	maxOutput     = 1 << 20
	// leavePoll is the interval at which a leaving engine checks for running work.
	leavePoll = 20 * time.Millisecond
	// cacheEvents bounds the list of cache events.
	cacheEvents = 256
)

// EngineOptions describes a stand-in engine.
type EngineOptions struct {
	ID      string
	Address string
	// Advertise is the announced address; empty means Address.
	Advertise  string
	DataCentre string
	Models     []string
	Slots      int
	// Interval is the time between two tokens.
	Interval time.Duration
	// PrefillPerToken is the time per prefix token before the first token.
	PrefillPerToken time.Duration
	// Linger replaces the default when above 0.
	Linger time.Duration
	// IgnoreFencing makes the engine accept orders with old fencing numbers.
	IgnoreFencing bool
	// AttemptChains makes the text depend on the attempt.
	AttemptChains bool
	// AnnounceTo lists caller addresses of entry instances.
	AnnounceTo []string
}

// Engine is a stand-in engine.
type Engine struct {
	options EngineOptions
	log     *slog.Logger
	router  chi.Router

	mu      sync.Mutex
	streams map[string]*run
	running int
	frozen  chan struct{}
	fence   uint64
	loaded  map[string]bool
	cache   []cacheEvent
	counts  Counts
}

// Counts counts the work of a stand-in engine.
type Counts struct {
	// Computed counts generated tokens, Prefilled prefix tokens taken over.
	Computed, Prefilled int
	// Started, Resumed, Cancelled and Refused count requests.
	Started, Resumed, Cancelled, Refused int
}

type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
}

// run is one generation at the engine.
type run struct {
	id      string
	request engine.Completion

	mu       sync.Mutex
	from     int
	tokens   []string
	reason   string
	readers  int
	detached time.Time
	changed  chan struct{}
	cancel   context.CancelFunc
}

// NewEngine returns an engine without generations.
func NewEngine(o EngineOptions, log *slog.Logger) *Engine {
	if o.Linger <= 0 {
		o.Linger = defaultLinger
	}
	e := &Engine{options: o, log: log, streams: map[string]*run{}, loaded: map[string]bool{}}
	for _, m := range o.Models {
		e.loaded[m] = true
	}
	r := chi.NewRouter()
	r.Post("/v1/completions", e.complete)
	r.Get("/v1/streams/{id}", e.resume)
	r.Delete("/v1/streams/{id}", e.cancel)
	r.Get("/v1/load", e.load)
	r.Post("/v1/orders", e.order)
	r.Get("/v1/cache/events", e.cacheEvents)
	e.router = r
	return e
}

// ServeHTTP implements http.Handler. It blocks while the engine is frozen.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.thaw(r.Context())
	e.router.ServeHTTP(w, r)
}

// Freeze stops all output until Unfreeze; connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Unfreeze ends Freeze.
func (e *Engine) Unfreeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

func (e *Engine) thaw(ctx context.Context) {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

// Counts returns the work done so far.
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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if c.StreamID == "" || c.MaxTokens < 1 || c.MaxTokens > maxOutput || len(c.Prefix) > c.MaxTokens {
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

// admit takes a slot and starts a generation.
func (e *Engine) admit(c engine.Completion) (*run, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded[c.Model] {
		return nil, http.StatusServiceUnavailable, fmt.Errorf("model %q is not loaded", c.Model)
	}
	if e.streams[c.StreamID] != nil {
		return nil, http.StatusConflict, errors.New("stream_id: exists")
	}
	if e.running >= e.options.Slots {
		e.counts.Refused++
		return nil, http.StatusTooManyRequests, errors.New("all slots are taken")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &run{
		id: c.StreamID, request: c, from: len(c.Prefix), cancel: cancel,
		changed: make(chan struct{}), detached: time.Now(),
	}
	e.streams[c.StreamID] = g
	e.running++
	e.counts.Started++
	e.counts.Prefilled += len(c.Prefix)
	e.cache = append(e.cache, cacheEvent{
		Sequence: e.counts.Started, Kind: "stored", Prefix: newChain(c.Prompt, 0, nil).value(),
	})
	if len(e.cache) > cacheEvents {
		e.cache = e.cache[len(e.cache)-cacheEvents:]
	}
	go e.generate(ctx, g)
	return g, 0, nil
}

// generate makes the tokens of one generation at the set interval.
func (e *Engine) generate(ctx context.Context, g *run) {
	attempt := ""
	if e.options.AttemptChains {
		attempt = g.id
	}
	c := newChain(g.request.Prompt, g.request.Seed, g.request.Prefix)
	reason := "length"
	due := time.Now().Add(time.Duration(len(g.request.Prefix)) * e.options.PrefillPerToken)
	for p := len(g.request.Prefix); p < g.request.MaxTokens; p++ {
		due = due.Add(e.options.Interval)
		if !e.pace(ctx, g, due) {
			reason = "cancelled"
			break
		}
		g.add(c.next(attempt))
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

// pace waits for the time of the next token. It reports false when the
// generation was cancelled or left without a connection.
func (e *Engine) pace(ctx context.Context, g *run, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	e.thaw(ctx)
	return ctx.Err() == nil && !g.abandoned(e.options.Linger)
}

func (e *Engine) remove(g *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[g.id] == g {
		delete(e.streams, g.id)
	}
}

func (g *run) add(token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *run) finish(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reason = reason
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *run) abandoned(linger time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && time.Since(g.detached) > linger
}

func (g *run) attach(change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += change
	g.detached = time.Now()
}

// at returns the token at a position, or the end, or a channel to wait on.
func (g *run) at(position int) (chunk engine.Chunk, ok bool, wait chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := position - g.from; i < len(g.tokens) {
		return engine.Chunk{Position: position, Text: g.tokens[i]}, true, nil
	}
	if g.reason != "" {
		return engine.Chunk{Position: position, FinishReason: g.reason}, true, nil
	}
	return engine.Chunk{}, false, g.changed
}

func (e *Engine) find(r *http.Request) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[chi.URLParam(r, "id")]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	g := e.find(r)
	if g == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < g.from {
		http.Error(w, "from: out of range", http.StatusGone)
		return
	}
	e.mu.Lock()
	e.counts.Resumed++
	e.mu.Unlock()
	e.serve(w, r, g, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	g := e.find(r)
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

// serve writes the events from a position on to one connection.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, g *run, position int) {
	g.attach(1)
	defer g.attach(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		e.thaw(r.Context())
		chunk, ok, wait := g.at(position)
		if !ok {
			select {
			case <-wait:
				continue
			case <-r.Context().Done():
				return
			case <-heartbeat.C:
				e.thaw(r.Context())
				_, _ = w.Write([]byte(": heartbeat\n\n"))
			}
		} else {
			data, _ := json.Marshal(chunk)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			position++
		}
		if out.Flush() != nil || chunk.FinishReason != "" {
			return
		}
	}
}

func (e *Engine) report() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{Slots: e.options.Slots, Running: e.running}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.report())
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.options.IgnoreFencing {
		http.Error(w, "fence: a higher number was seen", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Action {
	case "load":
		e.loaded[o.Target] = true
	case "unload":
		delete(e.loaded, o.Target)
	case "role":
	default:
		http.Error(w, "action: unknown", http.StatusBadRequest)
		return
	}
	e.log.Info("order obeyed", "fence", o.Fence, "action", o.Action, "target", o.Target)
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents answers all but the newest event, because engines publish late.
func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	late := e.cache[:max(0, len(e.cache)-1)]
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(late)
}

func (e *Engine) pools() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	pools := make([]string, 0, len(e.loaded))
	for _, m := range e.options.Models {
		if e.loaded[m] {
			pools = append(pools, m)
		}
	}
	for m := range e.loaded {
		known := false
		for _, p := range pools {
			known = known || p == m
		}
		if !known {
			pools = append(pools, m)
		}
	}
	return pools
}

// Run serves until ctx ends, then tells the entry instances that the engine is
// leaving, finishes all generations and returns.
func (e *Engine) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.options.Address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.options.Address)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	stop := Announce(ctx, Announcer{
		ID: e.options.ID, Address: cmp.Or(e.options.Advertise, listener.Addr().String()), DataCentre: e.options.DataCentre,
		Pools: e.pools, Load: e.report, To: e.options.AnnounceTo,
	}, e.log)
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	<-stop
	for e.Running() > 0 {
		time.Sleep(leavePoll)
	}
	return server.Shutdown(context.WithoutCancel(ctx))
}
