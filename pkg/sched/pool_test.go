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

// oracle holds what callers and backend servers know about a pool.
type oracle struct {
	t       *rapid.T
	pool    *Pool
	now     time.Time
	next    uint64
	waiting map[Key]Request
	granted map[Key]Request
	at      map[Key]string
	ended   map[Key]string
	slots   map[string]int // announced and not leaving
	left    map[string]uint64
	seq     uint64
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, now: time.Unix(1000, 0), waiting: map[Key]Request{}, granted: map[Key]Request{},
		at: map[Key]string{}, ended: map[Key]string{}, slots: map[string]int{}, left: map[string]uint64{},
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

func (o *oracle) check(decisions []Decision) {
	for _, d := range decisions {
		r, waits := o.waiting[d.Key]
		switch d.Kind {
		case Granted:
			if !waits {
				o.t.Fatalf("grant of %v, which does not wait (ended: %q)", d.Key, o.ended[d.Key])
			}
			o.checkGrant(r, d.Server)
			delete(o.waiting, d.Key)
			o.granted[d.Key], o.at[d.Key] = r, d.Server
		case Refused:
			if !waits || o.ended[d.Key] != "" {
				o.t.Fatalf("refusal of %v, which does not wait (ended: %q)", d.Key, o.ended[d.Key])
			}
			if d.Wait <= 0 {
				o.t.Fatalf("refusal without a time to come back: %v", d)
			}
			delete(o.waiting, d.Key)
			o.ended[d.Key] = "refused"
		case Preempted:
			if g, ok := o.granted[d.Key]; !ok || g.Rank != Patient {
				o.t.Fatalf("preemption of %v, which is no patient grant", d.Key)
			}
		}
	}
}

func (o *oracle) checkGrant(r Request, server string) {
	slots, ok := o.slots[server]
	if !ok {
		o.t.Fatalf("grant to %s, which is leaving or unknown", server)
	}
	if slices.Contains(r.Exclude, server) {
		o.t.Fatalf("grant to %s, which the request excludes", server)
	}
	held, patient := 0, 0
	for k, g := range o.granted {
		if o.at[k] == server {
			held++
		}
		if g.Rank == Patient {
			patient++
		}
	}
	if held >= slots {
		o.t.Fatalf("grant %d to %s, which announced %d slots", held+1, server, slots)
	}
	if r.Rank != Urgent || o.pool.config.Policy == FIFO || patient >= o.pool.floor() {
		return
	}
	for _, w := range o.waiting {
		if w.Rank == Patient && len(w.Exclude) == 0 && w.Organisation != "o0" {
			o.t.Fatalf("urgent grant while %d patient grants are below the floor of %d", patient, o.pool.floor())
		}
	}
}

func (o *oracle) acquire() {
	o.next++
	r := Request{
		Key: Key{rapid.SampledFrom([]string{"e1", "e2"}).Draw(o.t, "instance"), o.next}, Rank: Rank(rapid.IntRange(0, 1).Draw(o.t, "rank")),
		Organisation: fmt.Sprint("o", rapid.IntRange(0, 3).Draw(o.t, "organisation")), Tokens: rapid.IntRange(1, 100).Draw(o.t, "tokens"),
		Prefix: uint64(rapid.IntRange(0, 3).Draw(o.t, "prefix")) << 60, Resumed: max(0, rapid.IntRange(-5, 1).Draw(o.t, "resumed")),
		Remote: rapid.IntRange(0, 5).Draw(o.t, "remote") == 0,
	}
	if rapid.IntRange(0, 3).Draw(o.t, "excludes") == 0 {
		r.Exclude = []string{o.server()}
	}
	o.waiting[r.Key] = r
	o.check(o.pool.Acquire(o.now, r))
}

func (o *oracle) server() string { return fmt.Sprint("b", rapid.IntRange(0, 4).Draw(o.t, "server")) }

// draw picks one of the keys in a fixed order.
func (o *oracle) draw(m map[Key]Request) (Key, bool) {
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
	if k, ok := o.draw(o.waiting); ok {
		delete(o.waiting, k)
		o.ended[k] = "cancelled"
		o.check(o.pool.Cancel(o.now, k))
	}
}

func (o *oracle) release(outcome Outcome) {
	if k, ok := o.draw(o.granted); ok {
		delete(o.granted, k)
		o.ended[k] = "released"
		o.check(o.pool.Release(o.now, k, Usage{Outcome: outcome, Tokens: rapid.IntRange(0, 200).Draw(o.t, "used"), FirstToken: time.Millisecond}))
	}
}

// announce sends a fresh report, or a stale one of a server that left.
func (o *oracle) announce() {
	id := o.server()
	o.seq++
	a := Announcement{ID: id, Slots: rapid.IntRange(0, 12).Draw(o.t, "slots"), Sequence: o.seq, Incarnation: 1}
	if gone, ok := o.left[id]; ok {
		a.Incarnation = gone
		if rapid.Bool().Draw(o.t, "restarted") {
			a.Incarnation++
			delete(o.left, id)
			o.slots[id] = a.Slots
		}
	} else {
		if s := o.pool.servers.byID[id]; s != nil {
			a.Incarnation = max(s.incarnation, 1)
		}
		o.slots[id] = a.Slots
	}
	o.check(o.pool.Announce(o.now, a))
}

func (o *oracle) leave() {
	id := o.server()
	incarnation := uint64(1)
	if s := o.pool.servers.byID[id]; s != nil {
		incarnation = max(s.incarnation, 1)
	}
	delete(o.slots, id)
	o.left[id] = incarnation
	o.check(o.pool.Leave(o.now, id, incarnation, o.seq))
}

func (o *oracle) tick() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(o.t, "ms")) * time.Millisecond)
	for id, s := range o.pool.servers.byID {
		if s.leaving && o.now.Sub(s.left) > leaveMemory {
			delete(o.left, id)
		}
	}
	o.check(o.pool.Tick(o.now))
}

// loseInstance ends what an entry instance had.
func (o *oracle) loseInstance() {
	for _, m := range []map[Key]Request{o.waiting, o.granted} {
		for k := range m {
			if k.Instance == "e2" {
				delete(m, k)
				o.ended[k] = "lost"
			}
		}
	}
	o.check(o.pool.DropInstance(o.now, "e2"))
}

func (o *oracle) invariants() {
	p := o.pool
	if len(p.entries) != len(o.waiting)+len(o.granted) {
		o.t.Fatalf("the pool holds %d requests, %d wait and %d are granted", len(p.entries), len(o.waiting), len(o.granted))
	}
	if 2*len(p.servers.ejected) > p.servers.present {
		o.t.Fatalf("%d of %d servers are ejected", len(p.servers.ejected), p.servers.present)
	}
	slots, load := 0, 0
	for _, s := range p.servers.byID {
		if s.inService() {
			slots, load = slots+s.slots, load+s.load()
		}
	}
	if slots != p.servers.slots || load != p.servers.load {
		o.t.Fatalf("sums are %d slots and load %d, want %d and %d", p.servers.slots, p.servers.load, slots, load)
	}
	for _, name := range []string{"o0", "o1", "o2", "o3"} {
		org, running := p.orgs.byName[name], 0
		for _, g := range o.granted {
			if g.Organisation == name {
				running++
			}
		}
		if org == nil && running > 0 || org != nil && org.running != running {
			o.t.Fatalf("%s runs %d", name, running)
		}
	}
}

// Guards against lost or doubled requests, too many grants at a server, grants
// to leaving or excluded servers and a floor that is not held.
func TestPoolAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { o.invariants() }, "acquire": func(*rapid.T) { o.acquire() }, "acquire again": func(*rapid.T) { o.acquire() },
			"cancel": func(*rapid.T) { o.cancel() }, "release": func(*rapid.T) { o.release(OK) }, "fail": func(*rapid.T) { o.release(Failed) },
			"no room": func(*rapid.T) { o.release(NoRoom) }, "announce": func(*rapid.T) { o.announce() }, "announce more": func(*rapid.T) { o.announce() },
			"leave": func(*rapid.T) { o.leave() }, "tick": func(*rapid.T) { o.tick() }, "lose": func(*rapid.T) { o.loseInstance() },
		})
		// Every request that still waits is refused in the end once no server is left.
		for range 2 {
			o.now = o.now.Add(2 * time.Minute)
			o.check(o.pool.Tick(o.now))
		}
		for len(o.granted) > 0 {
			o.release(OK)
		}
		o.check(o.pool.Tick(o.now))
		if len(o.waiting) > 0 || len(o.pool.entries) > 0 {
			t.Fatalf("%d requests never ended, the pool holds %d", len(o.waiting), len(o.pool.entries))
		}
		o.check(o.pool.Tick(o.now.Add(time.Minute)))
		if n := o.pool.Stats().Organisations; n != 0 {
			t.Fatalf("state of %d idle organisations is kept", n)
		}
	})
}

// Guards the fair shares: two organisations that always wait get tokens in
// proportion to their weights, up to one largest request each.
func TestTokenSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 6).Draw(t, "weights")
		q, number := newRankQueue(Patient), uint64(0)
		served := make([]float64, len(weights))
		orgs := make([]*organisation, len(weights))
		push := func(i int) {
			number++
			q.push(&entry{Request: Request{Tokens: rapid.IntRange(1, largest).Draw(t, "tokens")}, org: orgs[i], number: number})
		}
		for i, w := range weights {
			orgs[i] = newOrganisations().get(fmt.Sprint(i), func(string) OrganisationConfig { return OrganisationConfig{Weight: w} })
			push(i)
			push(i)
		}
		for range 200 {
			e := q.next()
			i := slices.Index(orgs, e.org)
			q.serve(e)
			// The estimate is wrong and corrected at the end.
			real := rapid.IntRange(1, largest).Draw(t, "real")
			q.charge(&orgs[i].flows[Patient], real-e.Tokens)
			served[i] += float64(real)
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

// Guards limits over all data centres: whatever the demands and whichever data
// centres are cut off from each other, the parts stay within the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, limit := time.Unix(1000, 0), rapid.IntRange(1, 1000).Draw(t, "limit")
		count := rapid.IntRange(1, 6).Draw(t, "data centres")
		side, views := make([]int, count), make([]*Shares, count)
		demands := make([]Demand, count)
		name := func(i int) string { return fmt.Sprint("dc", i) }
		for i := range count {
			side[i] = rapid.IntRange(0, 2).Draw(t, "side")
			demands[i] = Demand{float64(rapid.IntRange(0, 1000).Draw(t, "tokens")), float64(rapid.IntRange(0, 50).Draw(t, "in flight")), rapid.IntRange(0, 5).Draw(t, "running")}
			views[i] = NewShares(Site{name(i), "p"})
		}
		for i, v := range views {
			for k := range count {
				at := now
				if side[i] != side[k] {
					at = now.Add(-time.Minute)
				}
				v.Report(at, Site{name(k), "p"}, map[string]Demand{"o": demands[k]})
			}
		}
		tokens, inFlight, inUse, running := 0.0, 0, 0, 0
		together := !slices.ContainsFunc(side, func(s int) bool { return s != side[0] })
		for i, v := range views {
			rate := v.TokensPerSecond(now, "o", limit, demands[i])
			if alone := !slices.Contains(append(slices.Clone(side[:i]), side[i+1:]...), side[i]); alone && (rate < float64(limit/count)-1e-6 || rate > float64(limit/count+1)+1e-6) {
				t.Fatalf("a cut-off data centre has %v of %d, the equal share of %d is %d", rate, limit, count, limit/count)
			}
			tokens += rate
			part := v.InFlight(now, "o", limit, demands[i])
			inFlight, inUse, running = inFlight+part, inUse+max(part, demands[i].Running), running+demands[i].Running
		}
		if together && running <= limit && inUse > limit {
			t.Fatalf("%d running requests can become %d of %d", running, inUse, limit)
		}
		if tokens > float64(limit)+1e-6 || inFlight > limit {
			t.Fatalf("parts add up to %v tokens per second and %d in flight of %d", tokens, inFlight, limit)
		}
	})
}

// Guards against ejection on one slow pool-wide phase, of more than half of the
// pool, for ever, or with more than one probe at a time.
func TestEjectionAndProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, Config{Ranks: defaultRanks}, rand.New(rand.NewSource(1)))
	number := uint64(0)
	ask := func() Decision {
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
		d := ask()
		p.Release(now, d.Key, Usage{Tokens: 1, FirstToken: max(latency[d.Server], 100*time.Millisecond)})
	}
	qt.Assert(t, p.Servers(), qt.DeepEquals, []string{"b1", "b2", "b3"})
	for range 100 {
		p.Release(now, ask().Key, Usage{Outcome: Failed})
	}
	qt.Assert(t, p.Stats().Ejected, qt.Equals, 2)
	now = now.Add(4900 * time.Millisecond)
	for i := range 4 {
		p.Announce(now, Announcement{ID: fmt.Sprint("b", i), Slots: 8, Sequence: number + 1})
	}
	now = now.Add(urgentProbeAfter + 101*time.Millisecond)
	first, second := ask(), ask()
	qt.Assert(t, first.Server, qt.Equals, "b0")
	qt.Assert(t, second.Server, qt.Not(qt.Equals), "b0")
	p.Release(now, first.Key, Usage{FirstToken: 100 * time.Millisecond})
	qt.Assert(t, slices.Contains(p.Servers(), "b0"), qt.IsTrue)
	qt.Assert(t, p.Stats().Ejected, qt.Equals, 1)
	for _, id := range p.Servers()[1:] {
		p.Leave(now, id, 0, 0) // the ejected server and one other are left
	}
	p.Leave(now, p.Servers()[0], 0, 0)
	qt.Assert(t, p.Servers(), qt.HasLen, 1)
}

// Guards the token limit: an organisation gets its rate and a bounded burst, is
// told when to come back, and a changed limit is in force for its next request.
func TestTokenLimit(t *testing.T) {
	now, limit := time.Unix(1000, 0), 100
	c := Config{Ranks: defaultRanks, Organisation: func(string) OrganisationConfig { return OrganisationConfig{TokensPerSecond: limit} }}
	p := NewPool(now, c, rand.New(rand.NewSource(1)))
	number := uint64(0)
	run := func() (tokens int, refusals map[Reason]int) {
		refusals = map[Reason]int{}
		for range 20 * 50 { // 20 s at 50 requests a second
			number++
			now = now.Add(20 * time.Millisecond)
			if number%50 == 1 {
				p.Announce(now, Announcement{ID: "b", Slots: 4, Sequence: number})
			}
			d := p.Acquire(now, Request{Key: Key{"e", number}, Organisation: "o", Tokens: 30})[0]
			if d.Kind == Refused {
				refusals[d.Reason]++
				continue
			}
			p.Release(now, d.Key, Usage{Tokens: 10}) // the estimate was too high
			tokens += 10
		}
		return tokens, refusals
	}
	tokens, refusals := run()
	qt.Assert(t, tokens >= 20*limit && tokens <= 20*limit+2*limit+30, qt.IsTrue, qt.Commentf("%d tokens", tokens))
	qt.Assert(t, refusals, qt.DeepEquals, map[Reason]int{Limit: 1000 - tokens/10})
	limit = 0
	p.Configure(c)
	tokens, _ = run()
	qt.Assert(t, tokens, qt.Equals, 20*50*10)
}

// Guards against a wait that is not told: a request that will wait for more than
// 2 s is reported for other data centres, one that would wait for longer than
// its rank allows is refused at once, and later ones come back later.
func TestExpectedWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, Config{Ranks: defaultRanks}, rand.New(rand.NewSource(1)))
	p.Announce(now, Announcement{ID: "b", Slots: 1, Sequence: 1})
	kinds, waits, running := map[Kind]int{}, []time.Duration{}, Key{}
	for n := range 20 {
		for _, d := range p.Acquire(now, Request{Key: Key{"e", uint64(n)}, Organisation: "o", Tokens: 10}) {
			kinds[d.Kind]++
			if d.Kind == Granted {
				running = d.Key
			} else if d.Kind == Refused {
				waits = append(waits, d.Wait)
			}
		}
		if n < 10 && n%2 == 1 { // 10 tokens a second are served, 20 asked
			now = now.Add(time.Second)
			for _, d := range p.Release(now, running, Usage{Tokens: 10}) {
				running = d.Key
			}
		}
	}
	qt.Assert(t, kinds[Granted], qt.Equals, 1)
	qt.Assert(t, kinds[Delayed] > 0 && kinds[Refused] > 0, qt.IsTrue, qt.Commentf("%v", kinds))
	last := len(waits) - 1 // the last refusals come at the same moment
	qt.Assert(t, waits[last-2] < waits[last-1] && waits[last-1] < waits[last], qt.IsTrue, qt.Commentf("%v", waits))
	qt.Assert(t, p.Stats().Queued[Urgent] <= 6, qt.IsTrue) // 5 s at 1 request a second, and one running
}

// Guards against herds: independent deciders with load reports 1 s old choose
// the same servers, a broker gives no slot twice.
func TestHerd(t *testing.T) {
	alone, herd := oversubscribed(1), oversubscribed(6)
	t.Logf("oversubscribed grants of 20000: broker %d, 6 deciders %d", alone, herd)
	qt.Assert(t, alone, qt.Equals, 0)
	qt.Assert(t, herd > 0, qt.IsTrue)
}

// oversubscribed sends requests for 90% of the slots of 24 servers through some
// deciders and counts the grants to full servers.
func oversubscribed(deciders int) (count int) {
	rng := rand.New(rand.NewSource(3))
	now := time.Unix(1000, 0)
	pools, running := make([]*Pool, deciders), map[string]int{}
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
		if n%86 == 0 { // once a second: a grant lasts 2 s, 24×8×0.9/2 a second
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
		p := pools[rng.Intn(deciders)]
		for _, d := range slices.Clone(p.Acquire(now, Request{Key: Key{"e", uint64(n)}, Organisation: "o"})) {
			if d.Kind == Granted {
				if running[d.Server]++; running[d.Server] > simSlots {
					count++
				}
				grants = append(grants, grant{p, d.Key, d.Server, now.Add(2 * time.Second)})
			}
		}
	}
	return count
}
