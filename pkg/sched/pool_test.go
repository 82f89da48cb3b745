package sched

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// oracle is a model of a pool: what its callers and backend servers can observe.
type oracle struct {
	t               *rapid.T
	pool            *Pool
	now             time.Time
	lastNumber      uint64
	queued          map[Key]Request
	running         map[Key]Request
	serverOf        map[Key]string
	endReason       map[Key]string
	announcedSlots  map[string]int // announced and not leaving
	leftIncarnation map[string]uint64
	sequence        uint64
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, now: time.Unix(1000, 0), queued: map[Key]Request{}, running: map[Key]Request{},
		serverOf: map[Key]string{}, endReason: map[Key]string{}, announcedSlots: map[string]int{}, leftIncarnation: map[string]uint64{},
	}
	ranks := defaultRanks
	ranks[Urgent].QueuePerOrganisation, ranks[Patient].QueuePerOrganisation = 3, 3
	o.pool = NewPool(o.now, Config{
		Policy: rapid.SampledFrom([]Policy{Fair, Fair, FIFO}).Draw(t, "policy"), Ranks: ranks, Preempt: rapid.Bool().Draw(t, "preempt"),
		Organisation: func(name string) OrganisationConfig {
			if name == "o0" {
				return OrganisationConfig{Weight: 2, MaxInFlight: 2}
			}
			return OrganisationConfig{Weight: 1}
		},
	}, rand.New(rand.NewSource(1)))
	return o
}

func (o *oracle) applyDecisions(decisions []Decision) {
	for _, d := range decisions {
		r, isQueued := o.queued[d.Key]
		switch d.Kind {
		case Granted:
			if !isQueued {
				o.t.Fatalf("grant of %v, which is not queued (ended: %q)", d.Key, o.endReason[d.Key])
			}
			o.verifyGrant(r, d.Server)
			delete(o.queued, d.Key)
			o.running[d.Key], o.serverOf[d.Key] = r, d.Server
		case Refused:
			if !isQueued || o.endReason[d.Key] != "" {
				o.t.Fatalf("refusal of %v, which is not queued (ended: %q)", d.Key, o.endReason[d.Key])
			}
			if d.Wait <= 0 {
				o.t.Fatalf("refusal without a retry time: %v", d)
			}
			delete(o.queued, d.Key)
			o.endReason[d.Key] = "refused"
		case Preempted:
			if g, ok := o.running[d.Key]; !ok || g.Rank != Patient {
				o.t.Fatalf("preemption of %v, which is not a patient grant", d.Key)
			}
		}
	}
}

func (o *oracle) verifyGrant(r Request, server string) {
	slots, ok := o.announcedSlots[server]
	if !ok {
		o.t.Fatalf("grant to %s, which is leaving or unknown", server)
	}
	if slices.Contains(r.Exclude, server) {
		o.t.Fatalf("grant to %s, which the request excludes", server)
	}
	held, patient := 0, 0
	for k, g := range o.running {
		if o.serverOf[k] == server {
			held++
		}
		if g.Rank == Patient {
			patient++
		}
	}
	if held >= slots {
		o.t.Fatalf("grant %d to %s, which announced %d slots", held+1, server, slots)
	}
	if r.Rank != Urgent || o.pool.config.Policy == FIFO || patient >= o.pool.floorSlots() {
		return
	}
	for _, w := range o.queued {
		if w.Rank == Patient && len(w.Exclude) == 0 && w.Organisation != "o0" {
			o.t.Fatalf("urgent grant while %d patient grants are below the floor of %d", patient, o.pool.floorSlots())
		}
	}
}

func (o *oracle) acquire() {
	o.lastNumber++
	r := Request{
		Key: Key{rapid.SampledFrom([]string{"e1", "e2"}).Draw(o.t, "instance"), o.lastNumber}, Rank: Rank(rapid.IntRange(0, 1).Draw(o.t, "rank")),
		Organisation: fmt.Sprint("o", rapid.IntRange(0, 3).Draw(o.t, "organisation")), EstimatedTokens: rapid.IntRange(1, 100).Draw(o.t, "tokens"),
		PrefixHash: uint64(rapid.IntRange(0, 3).Draw(o.t, "prefix")) << 60, ResumedTokens: max(0, rapid.IntRange(-5, 1).Draw(o.t, "resumed")),
		Remote: rapid.IntRange(0, 5).Draw(o.t, "remote") == 0,
	}
	if rapid.IntRange(0, 3).Draw(o.t, "excludes") == 0 {
		r.Exclude = []string{o.drawServer()}
	}
	o.queued[r.Key] = r
	o.applyDecisions(o.pool.Acquire(o.now, r))
}

func (o *oracle) drawServer() string {
	return fmt.Sprint("b", rapid.IntRange(0, 4).Draw(o.t, "server"))
}

// drawKey picks one of the keys, which are sorted so that a run can be repeated.
func (o *oracle) drawKey(m map[Key]Request) (Key, bool) {
	var keys []Key
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return Key{}, false
	}
	slices.SortFunc(keys, func(a, b Key) int { return int(a.Number) - int(b.Number) })
	return rapid.SampledFrom(keys).Draw(o.t, "key"), true
}

func (o *oracle) cancel() {
	if k, ok := o.drawKey(o.queued); ok {
		delete(o.queued, k)
		o.endReason[k] = "cancelled"
		o.applyDecisions(o.pool.Cancel(o.now, k))
	}
}

func (o *oracle) release(outcome Outcome) {
	if k, ok := o.drawKey(o.running); ok {
		delete(o.running, k)
		o.endReason[k] = "released"
		o.applyDecisions(o.pool.Release(o.now, k, Usage{Outcome: outcome, Tokens: rapid.IntRange(0, 200).Draw(o.t, "used"), TimeToFirstToken: time.Millisecond}))
	}
}

// announce sends a new announcement, or an outdated one of a server that left.
func (o *oracle) announce() {
	id := o.drawServer()
	o.sequence++
	a := Announcement{ID: id, Slots: rapid.IntRange(0, 12).Draw(o.t, "slots"), Sequence: o.sequence, Incarnation: 1}
	if leftAs, ok := o.leftIncarnation[id]; ok {
		a.Incarnation = leftAs
		if rapid.Bool().Draw(o.t, "restarted") {
			a.Incarnation++
			delete(o.leftIncarnation, id)
			o.announcedSlots[id] = a.Slots
		}
	} else {
		if s := o.pool.servers.byID[id]; s != nil {
			a.Incarnation = max(s.incarnation, 1)
		}
		o.announcedSlots[id] = a.Slots
	}
	o.applyDecisions(o.pool.Announce(o.now, a))
}

func (o *oracle) leave() {
	id := o.drawServer()
	incarnation := uint64(1)
	if s := o.pool.servers.byID[id]; s != nil {
		incarnation = max(s.incarnation, 1)
	}
	delete(o.announcedSlots, id)
	o.leftIncarnation[id] = incarnation
	o.applyDecisions(o.pool.Leave(o.now, id, incarnation, o.sequence))
}

func (o *oracle) tick() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(o.t, "ms")) * time.Millisecond)
	for id, s := range o.pool.servers.byID {
		if s.leaving && o.now.Sub(s.leftAt) > leaveTTL {
			delete(o.leftIncarnation, id)
		}
	}
	o.applyDecisions(o.pool.Tick(o.now))
}

// loseInstance drops all requests and grants of one entry instance.
func (o *oracle) loseInstance() {
	for _, m := range []map[Key]Request{o.queued, o.running} {
		for k := range m {
			if k.ProcessID == "e2" {
				delete(m, k)
				o.endReason[k] = "lost"
			}
		}
	}
	o.applyDecisions(o.pool.DropInstance(o.now, "e2"))
}

func (o *oracle) verifyInvariants() {
	p := o.pool
	if len(p.entries) != len(o.queued)+len(o.running) {
		o.t.Fatalf("pool holds %d requests, want %d queued and %d granted", len(p.entries), len(o.queued), len(o.running))
	}
	if 2*len(p.servers.ejectedServers) > p.servers.presentServers {
		o.t.Fatalf("%d of %d servers are ejected", len(p.servers.ejectedServers), p.servers.presentServers)
	}
	slots, load := 0, 0
	for _, s := range p.servers.byID {
		if s.inService() {
			slots, load = slots+s.slots, load+s.load()
		}
	}
	if slots != p.servers.totalSlots || load != p.servers.totalLoad {
		o.t.Fatalf("totals are %d slots and load %d, want %d and %d", p.servers.totalSlots, p.servers.totalLoad, slots, load)
	}
	for _, name := range []string{"o0", "o1", "o2", "o3"} {
		org, running := p.organisations.byName[name], 0
		for _, g := range o.running {
			if g.Organisation == name {
				running++
			}
		}
		if org == nil && running > 0 || org != nil && org.running != running {
			o.t.Fatalf("running requests of %s do not match the %d grants", name, running)
		}
	}
}

// Guards against lost or duplicated requests, more grants at a server than it has slots,
// grants on leaving or excluded servers, and urgent grants while patient work is below
// its floor.
func TestPoolAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { o.verifyInvariants() }, "acquire": func(*rapid.T) { o.acquire() }, "acquire again": func(*rapid.T) { o.acquire() },
			"cancel": func(*rapid.T) { o.cancel() }, "release": func(*rapid.T) { o.release(OK) }, "fail": func(*rapid.T) { o.release(Failed) },
			"no room": func(*rapid.T) { o.release(ServerFull) }, "announce": func(*rapid.T) { o.announce() }, "announce more": func(*rapid.T) { o.announce() },
			"leave": func(*rapid.T) { o.leave() }, "tick": func(*rapid.T) { o.tick() }, "lose": func(*rapid.T) { o.loseInstance() },
		})
		// Without servers, every request that is still queued must be refused.
		for range 2 {
			o.now = o.now.Add(2 * time.Minute)
			o.applyDecisions(o.pool.Tick(o.now))
		}
		for len(o.running) > 0 {
			o.release(OK)
		}
		o.applyDecisions(o.pool.Tick(o.now))
		if len(o.queued) > 0 || len(o.pool.entries) > 0 {
			t.Fatalf("%d requests never ended, pool holds %d", len(o.queued), len(o.pool.entries))
		}
		o.applyDecisions(o.pool.Tick(o.now.Add(time.Minute)))
		if n := o.pool.Stats().Organisations; n != 0 {
			t.Fatalf("state of %d idle organisations was not evicted", n)
		}
	})
}

// Guards fair sharing: two organisations that always have queued requests are served
// tokens in proportion to their weights, up to one request of the largest size each.
func TestTokenSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 6).Draw(t, "weights")
		q, number := newRankQueue(Patient), uint64(0)
		served := make([]float64, len(weights))
		orgs := make([]*organisation, len(weights))
		push := func(i int) {
			number++
			q.push(&poolEntry{Request: Request{EstimatedTokens: rapid.IntRange(1, largest).Draw(t, "tokens")}, org: orgs[i], arrivalNumber: number})
		}
		for i, w := range weights {
			orgs[i] = newOrganisationTable().getOrCreate(fmt.Sprint(i), func(string) OrganisationConfig { return OrganisationConfig{Weight: w} })
			push(i)
			push(i)
		}
		for range 200 {
			e := q.next()
			i := slices.Index(orgs, e.org)
			q.serve(e)
			// The estimate was wrong and is corrected when the grant ends.
			actualTokens := rapid.IntRange(1, largest).Draw(t, "real")
			q.charge(&orgs[i].flows[Patient], actualTokens-e.EstimatedTokens)
			served[i] += float64(actualTokens)
			push(i)
			for a := range weights {
				for b := range weights {
					wa, wb := float64(weights[a]), float64(weights[b])
					if served[a]/wa-served[b]/wb > largest/wa+largest/wb {
						t.Fatalf("served %v for weights %v", served, weights)
					}
				}
			}
		}
	})
}

// Guards limits across data centres: the shares add up to no more than the limit, for any
// demand and any partition between the data centres.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, limit := time.Unix(1000, 0), rapid.IntRange(1, 1000).Draw(t, "limit")
		count := rapid.IntRange(1, 6).Draw(t, "data centres")
		partition, views := make([]int, count), make([]*Shares, count)
		demands := make([]Demand, count)
		name := func(i int) string { return fmt.Sprint("dc", i) }
		for i := range count {
			partition[i] = rapid.IntRange(0, 2).Draw(t, "side")
			demands[i] = Demand{float64(rapid.IntRange(0, 1000).Draw(t, "tokens")), float64(rapid.IntRange(0, 50).Draw(t, "in flight")), rapid.IntRange(0, 5).Draw(t, "running")}
			views[i] = NewShares(Site{name(i), "p"})
		}
		for i, v := range views {
			for k := range count {
				at := now
				if partition[i] != partition[k] {
					at = now.Add(-time.Minute)
				}
				v.RecordReport(at, Site{name(k), "p"}, map[string]Demand{"o": demands[k]})
			}
		}
		tokens, inFlight, inUse, running := 0.0, 0, 0, 0
		connected := !slices.ContainsFunc(partition, func(s int) bool { return s != partition[0] })
		for i, v := range views {
			rate := v.TokenRateShare(now, "o", limit, demands[i])
			if alone := !slices.Contains(append(slices.Clone(partition[:i]), partition[i+1:]...), partition[i]); alone && (rate < float64(limit/count)-1e-6 || rate > float64(limit/count+1)+1e-6) {
				t.Fatalf("an isolated data centre has %v of %d, the equal share of %d is %d", rate, limit, count, limit/count)
			}
			tokens += rate
			share := v.InFlightShare(now, "o", limit, demands[i])
			inFlight, inUse, running = inFlight+share, inUse+max(share, demands[i].Running), running+demands[i].Running
		}
		if connected && running <= limit && inUse > limit {
			t.Fatalf("%d running requests can grow to %d, limit %d", running, inUse, limit)
		}
		if tokens > float64(limit)+1e-6 || inFlight > limit {
			t.Fatalf("shares add up to %v tokens per second and %d in flight, limit %d", tokens, inFlight, limit)
		}
	})
}

// Guards against ejections when the whole pool is slow, ejection of more than half of the
// pool, ejections that never end, and several probes at a time.
func TestEjectionAndProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, Config{Ranks: defaultRanks}, rand.New(rand.NewSource(1)))
	number := uint64(0)
	acquire := func() Decision {
		number++
		d := p.Acquire(now, Request{Key: Key{"e", number}, Organisation: "o"})
		qt.Assert(t, d, qt.HasLen, 1)
		return d[0]
	}
	latency := map[string]time.Duration{"b0": 400 * time.Millisecond}
	for i := range 4 {
		p.Announce(now, Announcement{ID: fmt.Sprint("b", i), Slots: 8, Sequence: number})
	}
	for range 400 {
		d := acquire()
		p.Release(now, d.Key, Usage{Tokens: 1, TimeToFirstToken: max(latency[d.Server], 100*time.Millisecond)})
	}
	qt.Assert(t, p.Servers(), qt.DeepEquals, []string{"b1", "b2", "b3"})
	for range 100 {
		p.Release(now, acquire().Key, Usage{Outcome: Failed})
	}
	qt.Assert(t, p.Stats().Ejected, qt.Equals, 2)
	now = now.Add(4900 * time.Millisecond)
	for i := range 4 {
		p.Announce(now, Announcement{ID: fmt.Sprint("b", i), Slots: 8, Sequence: number + 1})
	}
	now = now.Add(urgentProbeDelay + 101*time.Millisecond)
	first, second := acquire(), acquire()
	qt.Assert(t, first.Server, qt.Equals, "b0")
	qt.Assert(t, second.Server, qt.Not(qt.Equals), "b0")
	p.Release(now, first.Key, Usage{TimeToFirstToken: 100 * time.Millisecond})
	qt.Assert(t, slices.Contains(p.Servers(), "b0"), qt.IsTrue)
	qt.Assert(t, p.Stats().Ejected, qt.Equals, 1)
	for _, id := range p.Servers()[1:] {
		p.Leave(now, id, 0, 0) // the ejected server and another one remain
	}
	p.Leave(now, p.Servers()[0], 0, 0)
	qt.Assert(t, p.Servers(), qt.HasLen, 1)
}

// Guards the token limit: an organisation gets its rate and a bounded burst, refusals
// carry a retry time, and a changed limit applies to the next request.
func TestTokenLimit(t *testing.T) {
	now, limit := time.Unix(1000, 0), 100
	c := Config{Ranks: defaultRanks, Organisation: func(string) OrganisationConfig { return OrganisationConfig{TokensPerSecond: limit} }}
	p := NewPool(now, c, rand.New(rand.NewSource(1)))
	number := uint64(0)
	sendRequests := func() (tokens int, refusals map[Reason]int) {
		refusals = map[Reason]int{}
		for range 20 * 50 { // 20 s at 50 requests a second
			number++
			now = now.Add(20 * time.Millisecond)
			if number%50 == 1 {
				p.Announce(now, Announcement{ID: "b", Slots: 4, Sequence: number})
			}
			d := p.Acquire(now, Request{Key: Key{"e", number}, Organisation: "o", EstimatedTokens: 30})[0]
			if d.Kind == Refused {
				refusals[d.Reason]++
				continue
			}
			p.Release(now, d.Key, Usage{Tokens: 10}) // the estimate was too high
			tokens += 10
		}
		return tokens, refusals
	}
	tokens, refusals := sendRequests()
	qt.Assert(t, tokens >= 20*limit && tokens <= 20*limit+2*limit+30, qt.IsTrue, qt.Commentf("%d tokens", tokens))
	qt.Assert(t, refusals, qt.DeepEquals, map[Reason]int{LimitReached: 1000 - tokens/10})
	limit = 0
	p.Configure(c)
	tokens, _ = sendRequests()
	qt.Assert(t, tokens, qt.Equals, 20*50*10)
}

// Guards against long waits that are not reported. A request expected to wait for more
// than 2 s is reported as delayed, so that other data centres are asked; one expected to
// wait for longer than the maximum of its rank is refused at once, and the retry times of
// later refusals increase.
func TestExpectedWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, Config{Ranks: defaultRanks}, rand.New(rand.NewSource(1)))
	p.Announce(now, Announcement{ID: "b", Slots: 1, Sequence: 1})
	kinds, waits, running := map[Kind]int{}, []time.Duration{}, Key{}
	for n := range 20 {
		for _, d := range p.Acquire(now, Request{Key: Key{"e", uint64(n)}, Organisation: "o", EstimatedTokens: 10}) {
			kinds[d.Kind]++
			if d.Kind == Granted {
				running = d.Key
			} else if d.Kind == Refused {
				waits = append(waits, d.Wait)
			}
		}
		if n < 10 && n%2 == 1 { // 10 tokens a second are served, 20 requested
			now = now.Add(time.Second)
			for _, d := range p.Release(now, running, Usage{Tokens: 10}) {
				running = d.Key
			}
		}
	}
	qt.Assert(t, kinds[Granted], qt.Equals, 1)
	qt.Assert(t, kinds[Delayed] > 0 && kinds[Refused] > 0, qt.IsTrue, qt.Commentf("%v", kinds))
	last := len(waits) - 1 // the last refusals happen at the same time
	qt.Assert(t, waits[last-2] < waits[last-1] && waits[last-1] < waits[last], qt.IsTrue, qt.Commentf("%v", waits))
	qt.Assert(t, p.Stats().Queued[Urgent] <= 6, qt.IsTrue) // 5 s at 1 request a second, and one running
}

// Guards against oversubscription: independent schedulers with load reports 1 s old
// select the same servers, while a single broker never grants a slot twice.
func TestHerd(t *testing.T) {
	single, independent := countOversubscribed(1), countOversubscribed(6)
	t.Logf("oversubscribed grants of 20000: one broker %d, 6 independent schedulers %d", single, independent)
	qt.Assert(t, single, qt.Equals, 0)
	qt.Assert(t, independent > 0, qt.IsTrue)
}

// countOversubscribed sends requests for 90% of the slots of 24 servers through several
// independent pools and counts the grants on full servers.
func countOversubscribed(schedulers int) (oversubscriptions int) {
	rng := rand.New(rand.NewSource(3))
	now := time.Unix(1000, 0)
	pools, running := make([]*Pool, schedulers), map[string]int{}
	for i := range pools {
		pools[i] = NewPool(now, Config{Ranks: defaultRanks}, rng)
	}
	type grant struct {
		pool   *Pool
		key    Key
		server string
		end    time.Time
	}
	var grants []grant
	for n := range 20_000 {
		if n%86 == 0 { // once a second: with grants of 2 s, 86 requests a second use 90% of 24×8 slots
			for i := range simReplicas {
				id := fmt.Sprint("b", i)
				for _, p := range pools {
					p.Announce(now, Announcement{ID: id, Slots: simSlots, Running: running[id], Sequence: uint64(n + 1)})
				}
			}
		}
		now = now.Add(time.Second / 86)
		for len(grants) > 0 && !grants[0].end.After(now) {
			running[grants[0].server]--
			grants[0].pool.Release(now, grants[0].key, Usage{Tokens: 1})
			grants = grants[1:]
		}
		p := pools[rng.Intn(schedulers)]
		for _, d := range slices.Clone(p.Acquire(now, Request{Key: Key{"e", uint64(n)}, Organisation: "o"})) {
			if d.Kind == Granted {
				if running[d.Server]++; running[d.Server] > simSlots {
					oversubscriptions++
				}
				grants = append(grants, grant{p, d.Key, d.Server, now.Add(2 * time.Second)})
			}
		}
	}
	return oversubscriptions
}
