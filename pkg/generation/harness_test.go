package generation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// membershipList is a membership list that tests can modify.
type membershipList struct {
	mu      sync.Mutex
	members []membership.Member
}

// view is the membership.View of one instance. The addresses of other members
// lead over the simulated network links.
type view struct {
	*membershipList
	self  string
	links *links
}

func (v view) Self() membership.Member {
	m, _ := v.Member(v.self)
	return m
}

func (v view) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var members []membership.Member
	for _, m := range v.members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			members = append(members, v.link(m))
		}
	}
	return members
}

func (v view) Member(id string) (membership.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.members {
		if m.ID == id && m.State != membership.Dead {
			return v.link(m), true
		}
	}
	return membership.Member{}, false
}

func (v view) link(m membership.Member) membership.Member {
	if m.ID != v.self {
		m.PeerAddress = v.links.between(v.self, m.PeerAddress).address
	}
	return m
}

// roundRobinSlots is a broker that grants slots of the engines in rotation.
type roundRobinSlots struct {
	mu        sync.Mutex
	engines   []string
	next      int
	refuseAll bool
	leases    []*lease
}

type lease struct {
	address   string
	preempted chan struct{}
	mu        sync.Mutex
	usage     *broker.Usage
}

func (l *lease) Backend() (string, string)  { return l.address, l.address }
func (l *lease) Preempted() <-chan struct{} { return l.preempted }
func (l *lease) Release(u broker.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usage == nil {
		l.usage = &u
	}
}

// reportedUsage returns the usage reported with the release, or nil before it.
func (l *lease) reportedUsage() *broker.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

func (s *roundRobinSlots) Acquire(_ context.Context, r broker.Request) (broker.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.engines {
		s.next++
		address := s.engines[s.next%len(s.engines)]
		if !s.refuseAll && !slices.Contains(r.Exclude, address) {
			l := &lease{address: address, preempted: make(chan struct{})}
			s.leases = append(s.leases, l)
			return l, nil
		}
	}
	return nil, &broker.Refusal{Reason: "no_backend", RetryAfter: time.Second}
}

func (s *roundRobinSlots) setRefuseAll(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseAll = refuse
}

// node is one entry instance of a cluster, with its services.
type node struct {
	id      string
	records *streamrecord.Service
	service *Service
	cancel  context.CancelFunc
}

// backend is a backend server: a stand-in engine with an HTTP listener.
type backend struct {
	*standin.Engine
	server  *httptest.Server
	address string
}

// kill closes the listener and all connections and stops the engine.
func (b *backend) kill() {
	b.server.CloseClientConnections()
	b.server.Listener.Close()
	b.Freeze()
}

type cluster struct {
	*quicktest.C
	membershipList *membershipList
	nodes          []*node
	backends       []*backend
	slots          *roundRobinSlots
	links          *links
	options        clusterOptions
}

type clusterOptions struct {
	dataCentres    []string
	engineCount    int
	tokenInterval  time.Duration
	slotsPerEngine int
	attemptChains  bool
	storeBytes     int64
	// linkDelay is the one-way delay of each network link.
	linkDelay time.Duration
}

func newCluster(tb testing.TB, o clusterOptions) *cluster {
	c := &cluster{C: quicktest.New(tb), membershipList: &membershipList{}, slots: &roundRobinSlots{}, options: o}
	c.links = newLinks(c, o.linkDelay)
	if o.storeBytes == 0 {
		o.storeBytes = 64 << 20
	}
	if o.slotsPerEngine == 0 {
		o.slotsPerEngine = 1000
	}
	for i := range o.engineCount {
		c.addBackend(o, i)
	}
	for i, dc := range o.dataCentres {
		c.membershipList.members = append(c.membershipList.members, membership.Member{
			ID: fmt.Sprintf("n%d", i+1), DataCentre: dc, PeerAddress: testnet.UnusedAddress(c),
		})
	}
	for _, m := range c.membershipList.members {
		c.startNode(m, o.storeBytes)
	}
	return c
}

func (c *cluster) addBackend(o clusterOptions, i int) {
	e := standin.NewEngine(standin.EngineOptions{
		ID: fmt.Sprintf("e%d", i), Models: []string{"m"}, Slots: o.slotsPerEngine, TokenInterval: o.tokenInterval,
		AttemptChains: o.attemptChains, Linger: 5 * time.Second,
	}, discardLogger)
	server := httptest.NewUnstartedServer(http.HandlerFunc(e.ServeHTTP))
	server.Start()
	b := &backend{Engine: e, server: server, address: server.Listener.Addr().String()}
	c.backends = append(c.backends, b)
	c.slots.engines = append(c.slots.engines, b.address)
	c.Cleanup(func() { server.CloseClientConnections(); server.Listener.Close(); e.Unfreeze() })
}

func (c *cluster) startNode(m membership.Member, limit int64) {
	ctx, cancel := context.WithCancel(context.Background())
	counters := &rpc.Counters{}
	v := view{membershipList: c.membershipList, self: m.ID, links: c.links}
	n := &node{id: m.ID, cancel: cancel}
	n.records = streamrecord.New(v, rpc.NewDialer(nil, counters), limit, nil, discardLogger)
	server := rpc.NewServer(nil, counters, discardLogger)
	c.Assert(n.records.Register(server.Mux()), quicktest.IsNil)
	c.Assert(server.Listen(ctx, m.PeerAddress), quicktest.IsNil)
	c.Assert(n.records.Start(ctx), quicktest.IsNil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	n.service = New(v, &configwatch.SettableSource{}, c.slots, n.records, discardLogger, WithEngines(func(address string) engine.Engine {
		return engine.NewHTTP(c.links.between(m.ID, address).address, client)
	}))
	c.nodes = append(c.nodes, n)
	c.Cleanup(n.kill)
}

// copyHolder returns an instance other than owner that has a record.
func (c *cluster) copyHolder(owner *node) *node {
	for _, n := range c.nodes {
		if n != owner && n.records.Stats().Records > 0 {
			return n
		}
	}
	c.Fatal("no instance holds a copy")
	return nil
}

// setFrozen stops or continues the traffic of an instance in both directions.
func (c *cluster) setFrozen(n *node, frozen bool) {
	m, _ := view{membershipList: c.membershipList, links: c.links, self: n.id}.Member(n.id)
	c.links.forEach(func(from, to string, l *link) {
		if from == n.id || to == m.PeerAddress {
			l.setPaused(frozen)
		}
	})
}

// kill makes an entry instance unreachable and cancels its generations.
func (n *node) kill() {
	n.cancel()
	n.service.cancel()
	_ = n.records.Stop(context.Background())
}

func newRequest(tokens int) Request {
	return Request{Organisation: "o", Rank: "urgent", Model: "m", Prompt: "prompt", MaxTokens: tokens}
}

func (c *cluster) backendByAddress(address string) *backend {
	for _, b := range c.backends {
		if b.address == address {
			return b
		}
	}
	c.Fatalf("no engine at %s", address)
	return nil
}

// leasedEngine returns the backend server, a stand-in engine, of the newest lease.
func (c *cluster) leasedEngine() *backend {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	return c.backendByAddress(c.slots.leases[len(c.slots.leases)-1].address)
}

// readTokens appends to tokens until there are n or the answer ends, and checks
// the positions.
func (c *cluster) readTokens(s Session, tokens []string, n int) []string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for len(tokens) < n {
		e, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("after %d tokens", len(tokens)))
		if e.Finished {
			c.Assert(e.Position, quicktest.Equals, len(tokens))
			continue
		}
		c.Assert(e.Position, quicktest.Equals, len(tokens))
		tokens = append(tokens, e.Text)
	}
	return tokens
}

// readComplete reads to the end and verifies that the answer has n tokens of one
// uninterrupted generation.
func (c *cluster) readComplete(s Session, tokens []string, n int) {
	tokens = c.readTokens(s, tokens, n+1)
	c.Assert(tokens, quicktest.HasLen, n)
	c.Assert(standin.VerifyTokens("prompt", Seed(s.StreamID()), tokens), quicktest.IsNil)
	s.Close()
}

// waitFor waits up to 5 s until the condition holds.
func (c *cluster) waitFor(condition func() bool) {
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the condition does not hold after 5 s")
}
