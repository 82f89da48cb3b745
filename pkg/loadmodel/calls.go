package loadmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/overload"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

const (
	// callNetworkDelay is the mean time of one way between a gateway and a server, and of a refusal to a caller.
	callNetworkDelay = 2 * time.Millisecond
	// exchangeDelay is how long the exchange of the usage with a coordinator takes.
	exchangeDelay = 15 * time.Millisecond
	// exchangeSoonDelay is the delay of an exchange that a gateway asks for.
	exchangeSoonDelay = 100 * time.Millisecond
	// slowPeriod is the length of the periods in which a server may be slow.
	slowPeriod = 600 * time.Millisecond
	// excessSpread is the time over which the calls of an organisation with more than its usual load are spread.
	excessSpread = 50 * time.Millisecond
	// maxCallRefusals, callRefusalDelay and callHedgeShare are those of the gateways.
	maxCallRefusals  = 4
	callRefusalDelay = 15 * time.Millisecond
	callHedgeShare   = 0.55
	// callerPatience is the share of its remaining time that a caller waits after a refusal.
	callerPatience = 1.0 / 3
)

// CallPattern is a load of calls at servers without engines.
type CallPattern struct {
	Name, Description string
	Seconds           float64
	// Gateways is the number of gateways, of which CutOff reach no coordinator.
	Gateways, CutOff int
	Servers          []CallServerSpec
	Kinds            []CallKind
	// ImmediateShare is the share of callers that do not wait for the time in a refusal, and repeat three times.
	ImmediateShare float64
	// Organisations is the number of organisations: three have a seventh of the calls each, and the others equal parts
	// of the rest. The last one sends ExcessTimes its usual load during the overload, if that is set.
	Organisations int
	ExcessTimes   float64
}

// CallServerSpec describes a server. It ends at EndsS and starts again at StartsS, if these are set.
type CallServerSpec struct {
	Slots, Queue int
	// DurationMS is the mean duration of a call. A share of them, Spread, takes up to half of it more or less.
	DurationMS, Spread float64
	EndsS, StartsS     float64
	// LoadFactor is how much longer a call takes while all slots are in use, 0 for not longer.
	LoadFactor float64
	// SlowShare is the share of the periods of slowPeriod in which calls take SlowTimes as long.
	SlowShare, SlowTimes float64
}

// CallKind describes one kind of calls.
type CallKind struct {
	Name                     string
	PerSecond                float64
	Bursts                   []Burst
	ObjectiveMS, TimeLimitMS float64
	// Idempotent calls are sent to a second server when they are slow.
	Idempotent bool
}

// CallPolicy selects the decisions of the gateways about calls.
type CallPolicy struct {
	Name string
	// Shed refuses the calls that exceed the capacity of the servers.
	Shed bool
}

// CallPolicies returns the policies that can be compared.
func CallPolicies() []CallPolicy { return []CallPolicy{{Name: "forward"}, {Name: "shed", Shed: true}} }

// CallResult is the result of one call of a caller.
type CallResult struct {
	Kind string
	// ArrivedS is the time of arrival and DurationS the time until the response or the last refusal.
	ArrivedS, DurationS float64
	// Served is true if there was a response, and InTime if it was within the objective.
	Served, InTime bool
	// Sends counts the sends to servers, ServerRefusals those that a server refused, and Refusals the refusals
	// that the caller received.
	Sends, ServerRefusals, Refusals int
	// CutOff is set if the last gateway of the call did not reach a coordinator.
	CutOff bool
	// Organisation is the organisation of the caller.
	Organisation string
}

type callServer struct {
	spec        CallServerSpec
	id          string
	ended       bool
	incarnation int
	running     int
	queue       []*callAttempt
	// slow is set while calls take longer.
	slow bool
}

type callGateway struct {
	name   string
	pool   *placement.Pool
	calls  overload.Calls
	cutOff bool
	// timeLimits counts the time limits of callers by kind.
	timeLimits map[*CallKind]*overload.TimeLimits
}

type callState struct {
	kind      *CallKind
	arrivedAt time.Duration
	// offers counts how often the caller has sent the call.
	offers    int
	immediate bool
	done      bool
	result    CallResult
}

// callOffer is one request of a caller at a gateway.
type callOffer struct {
	call               *callState
	gateway            *callGateway
	at                 time.Duration
	tried              []string
	refusals, inFlight int
	over               bool
}

type callAttempt struct {
	offer       *callOffer
	server      *callServer
	incarnation int
	sentAt      time.Duration
}

type callModel struct {
	pattern  *CallPattern
	policy   CallPolicy
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int
	servers  []*callServer
	byID     map[string]*callServer
	gateways []*callGateway
	table    *usage.Table
	results  []CallResult
}

// SimulateCalls simulates a load of calls under a policy. The callers depend only on the load and the seed.
func SimulateCalls(pattern *CallPattern, policy CallPolicy, seed uint64) []CallResult {
	m := &callModel{pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(seed, 3)), byID: map[string]*callServer{}}
	m.table = usage.NewTable(m.wallTime().Add(-time.Minute))
	for i := range pattern.Gateways {
		g := &callGateway{pool: placement.NewPool("d", rand.New(rand.NewPCG(seed, uint64(1000+i)))), name: fmt.Sprintf("g%d", i), cutOff: i < pattern.CutOff}
		g.timeLimits = map[*CallKind]*overload.TimeLimits{}
		for i := range pattern.Kinds {
			g.timeLimits[&pattern.Kinds[i]] = &overload.TimeLimits{}
		}
		m.gateways = append(m.gateways, g)
		m.schedule(time.Duration(m.random.Float64()*float64(usage.Interval)), func() { m.exchangeRegularly(g) })
	}
	for i, spec := range pattern.Servers {
		s := &callServer{spec: spec, id: fmt.Sprintf("s%d", i)}
		m.servers, m.byID[s.id] = append(m.servers, s), s
		m.announceServer(s, directory.Ready)
		if spec.SlowShare > 0 {
			m.scheduleSlowPeriods(s, rand.New(rand.NewPCG(seed, uint64(100+i))))
		}
		if spec.EndsS > 0 {
			m.schedule(seconds(spec.EndsS), func() { m.endServer(s) })
		}
		if spec.StartsS > 0 {
			m.schedule(seconds(spec.StartsS), func() {
				s.ended, s.incarnation = false, s.incarnation+1
				m.announceServer(s, directory.Ready)
			})
		}
	}
	m.scheduleCalls(rand.New(rand.NewPCG(seed, 4)))
	const drainTime = 5 * time.Second
	for len(m.events) > 0 && m.now < seconds(pattern.Seconds)+drainTime {
		e := heap.Pop(&m.events).(event)
		m.now = e.due
		e.action()
	}
	return m.results
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (m *callModel) wallTime() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *callModel) schedule(delay time.Duration, action func()) {
	m.sequence++
	heap.Push(&m.events, event{due: m.now + delay, sequence: m.sequence, action: action})
}

func (m *callModel) networkDelay() time.Duration {
	return time.Duration((0.5 + m.random.Float64()) * float64(callNetworkDelay))
}

func (m *callModel) announceServer(s *callServer, state directory.State) {
	for _, g := range m.gateways {
		m.schedule(announcementDelay, func() {
			g.pool.Update(directory.Server{
				ID: s.id, Service: "s", Address: s.id, DataCentre: "d", StartedMS: int64(1 + s.incarnation), State: state, Slots: s.spec.Slots,
			}, m.wallTime())
		})
	}
}

// scheduleSlowPeriods draws for each period whether a server is slow, which does not depend on the policy.
func (m *callModel) scheduleSlowPeriods(s *callServer, random *rand.Rand) {
	s.slow = random.Float64() < s.spec.SlowShare
	m.schedule(slowPeriod, func() { m.scheduleSlowPeriods(s, random) })
}

// endServer ends a server as one does that has announced it: its calls are completed.
func (m *callModel) endServer(s *callServer) {
	s.ended = true
	m.announceServer(s, directory.Leaving)
}

func (m *callModel) scheduleCalls(random *rand.Rand) {
	const arrivalInterval = time.Millisecond
	for elapsed := time.Duration(0); elapsed < seconds(m.pattern.Seconds); elapsed += arrivalInterval {
		for i := range m.pattern.Kinds {
			k := &m.pattern.Kinds[i]
			if random.Float64() >= k.rate(elapsed)*arrivalInterval.Seconds() {
				continue
			}
			m.scheduleCall(k, elapsed, m.pattern.organisation(random), random.Float64() < m.pattern.ImmediateShare)
		}
	}
}

func (m *callModel) scheduleCall(k *CallKind, at time.Duration, organisation string, immediate bool) {
	calls := 1
	if excess := m.pattern.ExcessTimes; excess > 0 && IsOverloaded(at.Seconds()) && organisation == m.pattern.excessOrganisation() {
		calls = int(excess)
		if m.random.Float64() < excess-float64(calls) {
			calls++
		}
	}
	for i := range calls {
		if i > 0 {
			at += time.Duration(m.random.Float64() * float64(excessSpread))
		}
		call := &callState{kind: k, arrivedAt: at, immediate: immediate, result: CallResult{Organisation: organisation}}
		m.schedule(at, func() { m.offer(call) })
	}
}

// excessOrganisation returns the organisation that sends more than its usual load.
func (p *CallPattern) excessOrganisation() string { return fmt.Sprintf("o%d", p.Organisations-1) }

// organisation draws the organisation of a call.
func (p *CallPattern) organisation(random *rand.Rand) string {
	const large, largeShare = 3, 1.0 / 7
	if p.Organisations <= large {
		return ""
	}
	if drawn := random.Float64() / largeShare; drawn < large {
		return fmt.Sprintf("o%d", int(drawn))
	}
	return fmt.Sprintf("o%d", large+random.IntN(p.Organisations-large))
}

func (k *CallKind) rate(elapsed time.Duration) float64 {
	kind := Kind{PerSecond: k.PerSecond, Bursts: k.Bursts}
	return kind.rate(elapsed)
}

// offer sends a call of a caller to a gateway.
func (m *callModel) offer(call *callState) {
	call.offers++
	o := &callOffer{call: call, gateway: m.gateways[m.random.IntN(len(m.gateways))], at: m.now}
	call.result.CutOff = o.gateway.cutOff
	m.schedule(m.timeLeft(call), func() {
		if !call.done {
			m.finish(call, false)
		}
	})
	m.schedule(m.networkDelay(), func() { m.admit(o) })
}

func (m *callModel) timeLeft(call *callState) time.Duration {
	return milliseconds(call.kind.TimeLimitMS) - (m.now - call.arrivedAt)
}

func (m *callModel) admit(o *callOffer) {
	g, k, now := o.gateway, o.call.kind, m.wallTime()
	if m.policy.Shed {
		late := g.timeLimits[k].IsLate(m.timeLeft(o.call), milliseconds(k.TimeLimitMS), milliseconds(k.ObjectiveMS), g.pool.CallDuration(now))
		if !g.calls.Admit(o.call.result.Organisation, late, g.pool.CallCapacity(now), m.random.Float64(), now) {
			m.refuse(o)
			return
		}
	}
	m.send(o, true)
	if k.Idempotent {
		m.schedule(time.Duration(callHedgeShare*k.ObjectiveMS*float64(time.Millisecond)), func() {
			if !o.over && !o.call.done && len(o.tried) < 2 && !(m.policy.Shed && g.calls.Overloaded(g.pool.CallCapacity(m.wallTime()), m.wallTime())) {
				m.send(o, false)
			}
		})
	}
}

// send sends a call to the best server that has not been tried, and refuses it if there is none.
func (m *callModel) send(o *callOffer, required bool) {
	g, now := o.gateway, m.wallTime()
	selected := g.pool.SelectForCall(now, o.tried)
	if selected == nil {
		if required {
			m.refuse(o)
		}
		return
	}
	server := m.byID[selected.ID]
	o.tried = append(o.tried, selected.ID)
	o.inFlight++
	o.call.result.Sends++
	g.pool.RecordRequestStart(selected.ID)
	g.calls.RecordSend(now)
	a := &callAttempt{offer: o, server: server, incarnation: server.incarnation, sentAt: m.now}
	m.schedule(m.networkDelay(), func() { m.arrive(a) })
}

// arrive handles an attempt at its server.
func (m *callModel) arrive(a *callAttempt) {
	s := a.server
	switch {
	case s.ended || s.running >= s.spec.Slots && len(s.queue) >= s.spec.Queue:
		load := s.load()
		m.schedule(m.networkDelay(), func() { m.handleServerRefusal(a, load) })
	case s.running >= s.spec.Slots:
		s.queue = append(s.queue, a)
	default:
		m.run(a)
	}
}

func (s *callServer) load() placement.LoadReport {
	return placement.LoadReport{Running: s.running, Waiting: len(s.queue), Slots: s.spec.Slots}
}

func (m *callModel) run(a *callAttempt) {
	s := a.server
	s.running++
	duration := s.spec.DurationMS
	if m.random.Float64() < s.spec.Spread {
		duration *= 0.5 + m.random.Float64()
	}
	if s.running >= s.spec.Slots && s.spec.LoadFactor > 0 {
		duration *= s.spec.LoadFactor
	}
	if s.slow {
		duration *= s.spec.SlowTimes
	}
	m.schedule(milliseconds(duration), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			m.run(next)
		}
		load := s.load()
		m.schedule(m.networkDelay(), func() { m.handleResponse(a, load) })
	})
}

// recordLoad records the end of an attempt and the load that the server reported with it.
func (m *callModel) recordLoad(a *callAttempt, load placement.LoadReport) {
	g := a.offer.gateway
	a.offer.inFlight--
	g.pool.RecordRequestEnd(a.server.id, m.wallTime())
	g.pool.RecordLoad(a.server.id, load, m.wallTime())
	g.calls.RecordReport(load.Waiting, load.Slots, m.wallTime())
	if g.calls.NeedsExchange(m.wallTime()) {
		m.schedule(exchangeSoonDelay, func() { m.exchange(g) })
	}
}

func (m *callModel) handleResponse(a *callAttempt, load placement.LoadReport) {
	m.recordLoad(a, load)
	g := a.offer.gateway
	g.pool.RecordSuccess(a.server.id, m.now-a.sentAt, m.wallTime())
	g.calls.RecordServed(m.wallTime())
	if a.offer.over || a.offer.call.done {
		return
	}
	a.offer.over = true
	m.schedule(m.networkDelay(), func() {
		if !a.offer.call.done {
			m.finish(a.offer.call, true)
		}
	})
}

func (m *callModel) handleServerRefusal(a *callAttempt, load placement.LoadReport) {
	m.recordLoad(a, load)
	o := a.offer
	o.call.result.ServerRefusals++
	o.refusals++
	if !a.server.ended {
		o.gateway.calls.RecordFull(m.wallTime())
	}
	if o.over || o.call.done || o.inFlight > 0 {
		return
	}
	if o.refusals >= maxCallRefusals || m.policy.Shed && !o.gateway.pool.HasRoomForCall(m.wallTime(), o.tried) {
		m.refuse(o)
		return
	}
	m.schedule(callRefusalDelay, func() {
		if !o.over && !o.call.done {
			m.send(o, true)
		}
	})
}

// refuse refuses an offer to its caller, which repeats the call if it has not done so yet.
func (m *callModel) refuse(o *callOffer) {
	o.over = true
	call := o.call
	call.result.Refusals++
	left, retryAfter := m.timeLeft(call), o.gateway.pool.RetryAfter(m.wallTime())
	if m.policy.Shed {
		pool := o.gateway.pool
		room := o.gateway.calls.Room(pool.CallCapacity(m.wallTime()), pool.CallDuration(m.wallTime()), m.wallTime())
		retryAfter = overload.RetryAfter(room, left, m.random.Float64())
	}
	m.schedule(m.networkDelay(), func() {
		maxOffers, wait := 2, min(retryAfter, time.Duration(callerPatience*float64(left)))
		if call.immediate {
			maxOffers, wait = 4, 0
		}
		if call.offers >= maxOffers || m.timeLeft(call) <= 0 {
			m.finish(call, false)
			return
		}
		m.schedule(wait, func() {
			if !call.done {
				m.offer(call)
			}
		})
	})
}

func (m *callModel) finish(call *callState, served bool) {
	if call.done {
		return
	}
	call.done = true
	r := &call.result
	r.Kind, r.ArrivedS, r.DurationS, r.Served = call.kind.Name, call.arrivedAt.Seconds(), (m.now - call.arrivedAt).Seconds(), served
	r.InTime = served && m.now-call.arrivedAt <= milliseconds(call.kind.ObjectiveMS)
	m.results = append(m.results, *r)
}

// exchangeRegularly makes the regular exchanges of a gateway.
func (m *callModel) exchangeRegularly(g *callGateway) {
	m.exchange(g)
	m.schedule(usage.Interval, func() { m.exchangeRegularly(g) })
}

// exchange exchanges the usage of a gateway with the coordinators.
func (m *callModel) exchange(g *callGateway) {
	if g.cutOff || !m.policy.Shed {
		return
	}
	reported := usage.Report{Incarnation: 1, Services: usage.Services{"s": {Calls: g.calls.Rates(m.wallTime())}}}
	if organisations := g.calls.ReportOrganisations(m.wallTime()); len(organisations) > 0 {
		reported.Organisations = usage.Organisations{"s": organisations}
	}
	m.schedule(exchangeDelay/2, func() {
		totals := m.table.Exchange(g.name, reported, len(m.gateways), m.wallTime())
		m.schedule(exchangeDelay/2, func() {
			now := m.wallTime()
			g.calls.SetObjective(m.shortestObjective(), g.pool.CallDuration(now))
			g.calls.HandleTotals(totals.Services["s"].Calls, reported.Services["s"].Calls, totals.Organisations["s"], g.pool.CallCapacity(now), now)
		})
	})
}

func (m *callModel) shortestObjective() (shortest time.Duration) {
	for i := range m.pattern.Kinds {
		if o := milliseconds(m.pattern.Kinds[i].ObjectiveMS); shortest == 0 || o < shortest {
			shortest = o
		}
	}
	return shortest
}

// CallSummary summarizes the results of calls of one kind.
type CallSummary struct {
	Calls int
	// InTime, Served and Refused are shares of the calls: in their objective, with a response, and with at least
	// one refusal.
	InTime, Served, Refused float64
	// SendsPerCall and RefusedSends are the sends to servers per call and the share of them that servers refused.
	SendsPerCall, RefusedSends float64
}

// SummarizeCalls returns the summary of the calls for which include returns true.
func SummarizeCalls(results []CallResult, include func(CallResult) bool) CallSummary {
	var s CallSummary
	sends := 0.0
	for _, r := range results {
		if !include(r) {
			continue
		}
		s.Calls++
		s.InTime += boolToFloat(r.InTime)
		s.Served += boolToFloat(r.Served)
		s.Refused += boolToFloat(r.Refusals > 0)
		sends += float64(r.Sends)
		s.RefusedSends += float64(r.ServerRefusals)
	}
	calls := max(1, float64(s.Calls))
	s.InTime, s.Served, s.Refused, s.SendsPerCall = s.InTime/calls, s.Served/calls, s.Refused/calls, sends/calls
	s.RefusedSends /= max(1, sends)
	return s
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// The overload of all patterns of calls lasts from overloadBeginsS to overloadEndsS.
const (
	overloadBeginsS = 8.0
	overloadEndsS   = 28.0
)

// IsOverloaded reports whether a call arrived during the overload of its pattern.
func IsOverloaded(arrivedS float64) bool {
	return arrivedS >= overloadBeginsS && arrivedS < overloadEndsS
}

// CallPatterns returns the load patterns of calls for a number of gateways.
func CallPatterns(gateways int) []*CallPattern {
	server := CallServerSpec{Slots: 6, Queue: 24, DurationMS: 30, Spread: 0.2}
	leaving := server
	leaving.EndsS, leaving.StartsS = overloadBeginsS, overloadEndsS
	slower := server
	slower.LoadFactor = 1.3
	slow := leaving
	slow.DurationMS = 60
	kinds := func(bursts ...Burst) []CallKind {
		return []CallKind{
			{Name: "once", PerSecond: 138, ObjectiveMS: 200, TimeLimitMS: 1200, Bursts: bursts},
			{Name: "idempotent", PerSecond: 92, ObjectiveMS: 150, TimeLimitMS: 1000, Idempotent: true, Bursts: bursts},
		}
	}
	fast := CallServerSpec{Slots: 6, Queue: 24, DurationMS: 15, Spread: 0.2, SlowShare: 0.15, SlowTimes: 2.5}
	fastLeaving := fast
	fastLeaving.EndsS, fastLeaving.StartsS = overloadBeginsS, overloadEndsS
	shortKinds := []CallKind{
		{Name: "once", PerSecond: 188, ObjectiveMS: 120, TimeLimitMS: 800},
		{Name: "idempotent", PerSecond: 75, ObjectiveMS: 120, TimeLimitMS: 600, Idempotent: true},
	}
	burst := Burst{FromS: overloadBeginsS, ToS: overloadEndsS, Times: 2.6}
	return []*CallPattern{
		{
			Name: "one-server-left", Description: "two of three servers leave", Seconds: 36, Gateways: gateways,
			Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(),
		},
		{
			Name: "one-slower-server-left", Description: "two of three servers leave, and calls at a full server take longer", Seconds: 36,
			Gateways: gateways, Servers: []CallServerSpec{slower, leaving, slow}, Kinds: kinds(),
		},
		{
			Name: "burst", Description: "2.6 times the calls", Seconds: 36, Gateways: gateways,
			Servers: []CallServerSpec{server, server, server}, Kinds: kinds(burst),
		},
		{
			Name: "burst-at-one-server", Description: "2.6 times the calls while one of three servers is left", Seconds: 36, Gateways: gateways,
			Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(burst),
		},
		{
			Name: "immediate-repeats", Description: "two of three servers leave, and half of the callers repeat refused calls three times at once",
			Seconds: 36, Gateways: gateways, Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(), ImmediateShare: 0.5,
		},
		{
			Name: "one-organisation", Description: "one of 24 organisations sends 7.5 times its usual load while one of three servers is left",
			Seconds: 36, Gateways: gateways, Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(), Organisations: 24, ExcessTimes: 7.5,
		},
		{
			Name: "slow-spells", Description: "each of three servers takes 2.5 times as long in 15% of the time", Seconds: 36, Gateways: gateways,
			Servers: []CallServerSpec{fast, fast, fast}, Kinds: shortKinds,
		},
		{
			Name: "slow-spells-at-one-server", Description: "the same with one server left", Seconds: 36, Gateways: gateways,
			Servers: []CallServerSpec{fast, fastLeaving, fastLeaving}, Kinds: shortKinds,
		},
		{
			Name: "cut-off", Description: "two of three servers leave, and a third of the gateways reach no coordinator",
			Seconds: 36, Gateways: gateways, CutOff: gateways / 3, Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(),
		},
		{
			Name: "alone", Description: "two of three servers leave, and no gateway reaches a coordinator",
			Seconds: 36, Gateways: gateways, CutOff: gateways, Servers: []CallServerSpec{server, leaving, leaving}, Kinds: kinds(),
		},
	}
}
