// Package loadmodel simulates load patterns under different policies in virtual time. It models
// engines that process prompts in chunks between the tokens of other runs, gateways that decide
// with the pools of package placement and receive each other's placements with a delay, and
// callers.
//
// It differs from the bench on which the users of the gateway test it: engines do not preempt runs
// and keep each prompt for a fixed time, links have no latency except for copies, callers never
// leave, and the failure of an engine is detected at once. docs/platform-results.md compares figures
// of both.
package loadmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/overload"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

const (
	// placementDelay is how long a placement takes to reach the other gateways: placements are
	// sent in batches every 50 ms, through a coordinator.
	placementDelay = 60 * time.Millisecond
	// copyDuration is how long copying the memory of a stream to another engine takes.
	copyDuration = 25 * time.Millisecond
	// backupDelay is how far the copy at a backup lags behind its stream.
	backupDelay = 300 * time.Millisecond
	// retryDelay is the delay before a stream is dispatched again when no engine is available.
	retryDelay = 300 * time.Millisecond
	// holdInterval is the interval at which a held stream is dispatched again.
	holdInterval = 20 * time.Millisecond
	// promptCacheTTL is how long an engine caches a prompt, about the time in which ten other
	// prompts evict it.
	promptCacheTTL = 10 * time.Second
	// silenceTimeout and slowTimeout are the event timeouts of gateways for pauses of up to 700 ms.
	silenceTimeout = 350 * time.Millisecond
	slowTimeout    = 1400 * time.Millisecond
	// resumeDelay is how long it takes until a stream that leaves its engine runs at another one: the request
	// and a connection.
	resumeDelay = 10 * time.Millisecond
	// paceInterval is the interval at which gateways exchange what they learned.
	paceInterval = 2 * time.Second
	// maxPaceEntries is the number of entries that a gateway gets at a time.
	maxPaceEntries = 100
	// announcementDelay is how long the announcement of a started engine takes to reach all
	// gateways.
	announcementDelay = 20 * time.Millisecond
	// streamSmoothing and streamOverloadTTL are those of the gateways.
	streamSmoothing   = 0.25
	streamOverloadTTL = 3 * time.Second
)

// Policy selects the placement features that a simulation uses.
type Policy struct {
	Name string
	// Relocate moves streams away from engines that do prefills.
	Relocate bool
	// Hold makes streams wait at their gateway until an engine can begin their prefill.
	Hold bool
	// Herd makes the gateways of held streams claim every place that they see.
	Herd bool
	// Learn makes gateways learn the pace of engines from their streams, and Share exchange what they learn
	// every paceInterval.
	Learn, Share bool
	// LeaveSilent moves streams from their copy if their engine has sent no event for silenceTimeout. With
	// Learn, gateways take the pace of the engine into account.
	LeaveSilent bool
	// HidePlacements keeps gateways from sending each other their placements.
	HidePlacements bool
	// Fair makes gateways divide the places among organisations, and refuse streams that cannot end in time.
	Fair bool
}

// Policies returns all policies that can be compared. With "apart", streams run apart from the
// prefills of other prompts, as they are relocated after their own; with "together", they stay where
// they began; with "blind", the gateways also do not see each other's placements. With "held", streams
// run apart and wait at their gateway while no engine can begin their prefill; with "herd", the gateways
// also claim every place that they see; with "fair", they divide the places among organisations instead. With
// "silent", streams are held and also leave silent engines; with "learned", gateways take the pace of engines
// into account that they learn, and with "shared" that which all of them learn.
func Policies() []Policy {
	return []Policy{
		{Name: "apart", Relocate: true},
		{Name: "together"},
		{Name: "blind", HidePlacements: true},
		{Name: "held", Relocate: true, Hold: true},
		{Name: "herd", Relocate: true, Hold: true, Herd: true},
		{Name: "fair", Relocate: true, Hold: true, Fair: true},
		{Name: "silent", Relocate: true, Hold: true, LeaveSilent: true},
		{Name: "learned", Relocate: true, Hold: true, LeaveSilent: true, Learn: true},
		{Name: "shared", Relocate: true, Hold: true, LeaveSilent: true, Learn: true, Share: true},
	}
}

// event is an action that is scheduled for a point in virtual time.
type event struct {
	due      time.Duration
	sequence int
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// gateway holds the state from which one gateway decides.
type gateway struct {
	pool            *placement.Pool
	promptLocations placement.PromptLocations
	admission       placement.AdmissionQueue
	organisations   overload.Organisations
	waitedAt        time.Time
	durations       placement.DurationHistory
	// paceVersion is the version of the table of paces that the gateway has.
	paceVersion uint64
}

// streamState is the state of one stream across its runs: one run on each engine that executes it.
type streamState struct {
	kind           *Kind
	subject        string
	gateway        *gateway
	prompt, output int
	arrivedAt      time.Duration
	generated      int
	// firstEventDelay is the time from arrival to the first event, lastEventAt the time of the
	// latest event, and maxPause the longest time between two events.
	firstEventDelay, lastEventAt, maxPause time.Duration
	task                                   *task
	engine                                 *engine
	placedAt                               time.Duration
	backup                                 *engine
	backupIncarnation                      int
	excluded                               []string
	pending                                placement.PendingStream
	organisation                           string
	// drawn decides whether the stream is in excess, if its organisation is.
	drawn float64
	// estimatedAt is when it was last estimated whether the stream can end in time.
	estimatedAt time.Duration
	// event counts the events. gapsFrom is the start of the period of gaps that are not recorded, gaps their
	// number and longestGap the longest of them.
	event, gaps          int
	gapsFrom, longestGap time.Duration
	// prompt is the prompt that the engine reads for the present run.
	prompted pace.Prompt
	result   Stream
}

func (s *streamState) tokens() int { return s.prompt + s.output }

func (s *streamState) placementRun(engineMemoryTokens int) placement.Run {
	return placement.Run{Tokens: s.tokens(), EngineMemoryTokens: engineMemoryTokens, Exclude: s.excluded}
}

// Stream is the result of one stream.
type Stream struct {
	Kind string
	// ArrivedS is the arrival time. FirstEventS is the delay of the first event, DurationS the
	// duration of the stream and MaxPauseS its longest pause. All are in seconds.
	ArrivedS, FirstEventS, DurationS, MaxPauseS float64
	// InTime is true if the first event and all pauses were within the bounds.
	InTime bool
	// PrefillTokens is the number of tokens in all prefills of the stream, including repeated ones
	// after the failure of an engine.
	PrefillTokens int
	// Copies is the number of copies made of the stream's memory.
	Copies int
	// Attempts is the number of runs, and SilentMoves that of moves from an engine without an event.
	Attempts, SilentMoves int
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int
	// Organisation is the organisation of the caller.
	Organisation string
	// Refused is set if the stream was refused while it waited.
	Refused bool
}

type model struct {
	load        *LoadPattern
	policy      Policy
	random      *rand.Rand
	now         time.Duration
	events      eventQueue
	sequence    int
	engines     []*engine
	enginesByID map[string]*engine
	gateways    []*gateway
	streams     []Stream
	openStreams int
	table       *usage.Table
	paces       *pace.Table
}

// Simulate simulates a load under a policy. The callers depend only on the load and the seed.
func Simulate(load *LoadPattern, policy Policy, seed uint64) []Stream {
	m := &model{load: load, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), enginesByID: map[string]*engine{}, paces: pace.NewTable()}
	for _, d := range load.DataCentres {
		for range d.Engines {
			m.addEngine(d.Name)
		}
	}
	for _, d := range load.DataCentres {
		for i := range d.Gateways {
			pool := placement.NewPool(d.Name, rand.New(rand.NewPCG(seed, uint64(100+i+len(m.gateways)))))
			m.gateways = append(m.gateways, &gateway{pool: pool})
		}
	}
	for _, e := range m.engines {
		m.announce(e)
	}
	if policy.Fair {
		m.table = usage.NewTable(m.wallTime().Add(-time.Minute))
		for i, g := range m.gateways {
			g.organisations.Smoothing = streamSmoothing
			m.schedule(time.Duration(i)*usage.Interval/time.Duration(len(m.gateways)), func() { m.exchangeOrganisations(g, fmt.Sprint(i)) })
		}
	}
	m.scheduleArrivals()
	if policy.Share {
		for i, g := range m.gateways {
			m.schedule(paceInterval*time.Duration(i)/time.Duration(len(m.gateways)), func() { m.exchangePaces(i, g) })
		}
	}
	for _, f := range load.Faults {
		m.scheduleFault(f)
	}
	// The last streams may finish after the arrivals have ended.
	const maxDrainTime = 2 * time.Minute
	end := time.Duration(load.Seconds * float64(time.Second))
	for len(m.events) > 0 && (m.now < end || m.openStreams > 0) && m.now < end+maxDrainTime {
		e := heap.Pop(&m.events).(event)
		m.now = e.due
		e.action()
	}
	return m.streams
}

func (m *model) schedule(delay time.Duration, action func()) {
	m.sequence++
	heap.Push(&m.events, event{due: m.now + delay, sequence: m.sequence, action: action})
}

// wallTime returns the virtual time as the time.Time that pools expect.
func (m *model) wallTime() time.Time { return time.Unix(0, 0).Add(m.now) }

func (m *model) addEngine(dataCentre string) *engine {
	e := &engine{cachedUntil: map[string]time.Duration{}, spec: m.load.Engine, speed: 1, id: fmt.Sprintf("e%03d", len(m.engines)), dataCentre: dataCentre}
	if n := len(m.load.Speeds); n > 0 {
		e.speed = m.load.Speeds[len(m.engines)%n]
	}
	m.engines = append(m.engines, e)
	m.enginesByID[e.id] = e
	return e
}

func (m *model) announce(e *engine) {
	for _, g := range m.gateways {
		g.pool.Update(directory.Server{
			ID: e.id, Service: "s", Address: e.id, DataCentre: e.dataCentre, StartedMS: int64(1 + e.incarnation), Slots: e.spec.Runs,
		}, m.wallTime())
	}
}

// scheduleArrivals schedules the arrivals of callers, which do not depend on the policy.
func (m *model) scheduleArrivals() {
	random := rand.New(rand.NewPCG(m.random.Uint64(), 2))
	const arrivalInterval = 10 * time.Millisecond
	end := time.Duration(m.load.Seconds * float64(time.Second))
	size := func(mean int, spread float64) int {
		return max(mean/10, int(float64(mean)*(1+spread*random.NormFloat64())))
	}
	for elapsed := time.Duration(0); elapsed < end; elapsed += arrivalInterval {
		for i := range m.load.Kinds {
			k := &m.load.Kinds[i]
			if random.Float64() >= k.rate(elapsed)*arrivalInterval.Seconds() {
				continue
			}
			organisation, count := m.load.drawOrganisation(elapsed, random)
			for range count - 1 {
				m.scheduleStream(k, elapsed+time.Duration(random.Float64()*float64(time.Second)), organisation, random, size)
			}
			m.scheduleStream(k, elapsed, organisation, random, size)
		}
	}
}

// drawOrganisation draws the organisation of a caller, and the number of streams that it sends in place of one.
func (l *LoadPattern) drawOrganisation(elapsed time.Duration, random *rand.Rand) (organisation string, streams int) {
	if l.Organisations == 0 {
		return "", 1
	}
	i := random.IntN(l.Organisations)
	if i < l.Organisations-1 || elapsed.Seconds() < l.ExcessFromS || elapsed.Seconds() >= l.ExcessToS {
		return fmt.Sprint("o", i), 1
	}
	return fmt.Sprint("o", i), int(l.ExcessTimes + random.Float64())
}

func (m *model) scheduleStream(k *Kind, at time.Duration, organisation string, random *rand.Rand, size func(int, float64) int) {
	s := &streamState{
		organisation: organisation, drawn: random.Float64(),
		kind: k, subject: fmt.Sprintf("r%d", m.sequence), gateway: m.gateways[random.IntN(len(m.gateways))],
		prompt: size(k.PromptTokens, k.PromptSpread), output: size(k.OutputTokens, k.OutputSpread),
	}
	m.schedule(at, func() {
		s.arrivedAt = m.now
		s.gateway.organisations.Record(s.organisation, m.wallTime())
		s.pending.Rank = k.Rank
		s.pending.OnTimeUntil = placement.LatestPlacement(m.wallTime(), milliseconds(k.FirstEventMS))
		s.pending.Tokens = s.prompt
		m.openStreams++
		m.dispatch(s)
	})
}

// exchangeOrganisations exchanges the demand of organisations of a gateway each second.
func (m *model) exchangeOrganisations(g *gateway, name string) {
	m.schedule(usage.Interval, func() { m.exchangeOrganisations(g, name) })
	now := m.wallTime()
	report := usage.Report{Incarnation: 1}
	if now.Sub(g.waitedAt) < streamOverloadTTL {
		report.Organisations = usage.Organisations{"s": g.organisations.Report(now)}
	} else {
		g.organisations.Measure(now)
	}
	g.organisations.HandleTotals(m.table.Exchange(name, report, len(m.gateways), now).Organisations["s"])
}

// cannotEnd reports whether a stream that waits cannot end before its deadline.
func (m *model) cannotEnd(s *streamState, request placement.Run) bool {
	if s.kind.TimeoutMS <= 0 || s.generated > 0 || s.estimatedAt > 0 && m.now-s.estimatedAt < time.Second {
		return false
	}
	s.estimatedAt = m.now
	g, now := s.gateway, m.wallTime()
	return overload.StreamWait{
		AheadTokens: g.admission.AheadOf(&s.pending, now), Share: 1 / float64(len(m.gateways)),
		PlaceRate: g.pool.PlaceRate(now, request, s.prompt, g.durations.Average()), Shortest: g.durations.Shortest(),
		Left: s.arrivedAt + milliseconds(s.kind.TimeoutMS) - m.now,
	}.CannotEnd()
}

// refuse ends a stream that waits.
func (m *model) refuse(s *streamState) {
	s.gateway.admission.Leave(&s.pending)
	m.openStreams--
	s.result.Kind, s.result.PromptTokens, s.result.ArrivedS = s.kind.Name, s.prompt, s.arrivedAt.Seconds()
	s.result.Organisation, s.result.Refused = s.organisation, true
	m.streams = append(m.streams, s.result)
}

func (m *model) scheduleFault(f Fault) {
	m.schedule(time.Duration(f.FromS*float64(time.Second)), func() {
		var failed []*engine
		for _, e := range m.engines {
			if e.dataCentre == f.DataCentre && m.random.Float64() < f.Share {
				failed = append(failed, e)
			}
		}
		for _, e := range failed {
			m.failEngine(e)
		}
		m.schedule(time.Duration((f.ToS-f.FromS)*float64(time.Second)), func() {
			for _, e := range failed {
				e.failed = false
				m.schedule(announcementDelay, func() { m.announce(e) })
			}
		})
	})
}

// failEngine ends the process of an engine and fails its streams over to other engines.
func (m *model) failEngine(e *engine) {
	interrupted := append(e.running, e.waiting...)
	e.failed, e.incarnation, e.running, e.waiting, e.copyTokens = true, e.incarnation+1, nil, nil, 0
	clear(e.cachedUntil)
	for _, t := range interrupted {
		s := t.stream
		s.gateway.pool.RecordUnreachable(e.id, m.wallTime())
		m.release(s)
		m.schedule(time.Millisecond, func() { m.failOver(s) })
	}
}

// release removes a stream and its memory, copy and prefill from the pool of its gateway.
func (m *model) release(s *streamState) {
	pool := s.gateway.pool
	pool.RecordRequestEnd(s.engine.id, m.wallTime())
	prefills := 0
	if s.task != nil && s.generated == 0 {
		prefills = -1
	}
	pool.Reserve(s.engine.id, -s.tokens(), 0, prefills)
	if s.backup != nil {
		pool.Reserve(s.backup.id, 0, -s.tokens(), 0)
	}
	s.task, s.engine = nil, nil
}

// failOver continues the stream of a failed engine from its backup, or dispatches it again.
func (m *model) failOver(s *streamState) {
	backup := s.backup
	usable := m.hasUsableBackup(s)
	m.dropBackup(s)
	if !usable {
		m.dispatch(s)
		return
	}
	m.continueFromCopy(s, backup)
}

func (m *model) dropBackup(s *streamState) {
	if s.backup != nil && !s.backup.failed && s.backup.incarnation == s.backupIncarnation {
		s.backup.copyTokens = max(0, s.backup.copyTokens-s.tokens())
	}
	s.backup = nil
}

// dispatch selects an engine for a stream and starts the prefill there.
func (m *model) dispatch(s *streamState) {
	g, now := s.gateway, m.wallTime()
	request := s.placementRun(m.load.Engine.MemoryTokens)
	request.Prefer = g.promptLocations.CandidateEngines(s.subject, now)
	var selected *placement.Server
	if m.policy.Hold && g.pool.SelectCachingEngine(now, request) == nil && g.pool.CanWait(now, request) {
		if m.policy.Fair {
			s.pending.Excess = s.drawn < g.organisations.ExcessShare(s.organisation)
		}
		if selected = m.selectPlace(s, request); selected == nil {
			g.waitedAt = now
			if m.policy.Fair && m.cannotEnd(s, request) {
				m.refuse(s)
				return
			}
			g.admission.Join(&s.pending)
			m.schedule(holdInterval, func() { m.dispatch(s) })
			return
		}
	}
	if selected != nil {
		g.admission.Leave(&s.pending)
	} else {
		g.admission.Leave(&s.pending)
		selected = g.pool.SelectEngine(now, request)
	}
	if selected == nil {
		s.excluded = nil
		m.schedule(retryDelay, func() { m.dispatch(s) })
		return
	}
	e := m.enginesByID[selected.ID]
	if e.failed {
		g.pool.RecordUnreachable(e.id, now)
		m.schedule(time.Millisecond, func() { m.dispatch(s) })
		return
	}
	s.prompted = pace.Prompt{Tokens: s.prompt + s.generated, Ahead: g.pool.PromptsAhead(e.id, now)}
	g.pool.RecordPrefill(e.id, now)
	relocates := m.policy.Relocate && g.pool.SelectRelocationTarget(now, request, e.id) != nil
	prefillTokens := s.prompt + s.generated
	if until, ok := e.cachedUntil[s.subject]; ok && m.now < until {
		prefillTokens = s.generated
		s.prompted.Tokens = 0
	}
	e.cachedUntil[s.subject] = m.now + promptCacheTTL
	m.startTask(s, e, prefillTokens, !relocates, relocates)
}

// selectPlace returns an engine that can begin the prefill of a stream, nil if there is none or another
// stream is next at its gateway.
func (m *model) selectPlace(s *streamState, request placement.Run) *placement.Server {
	queue, pool, now := &s.gateway.admission, s.gateway.pool, m.wallTime()
	s.pending.Resumes = s.generated > 0
	switch {
	case !queue.IsNext(&s.pending, now):
		return nil
	case queue.Len() == 0 && !s.pending.Excess || m.policy.Herd:
		return pool.SelectFreeEngine(now, request)
	}
	share := 1 / float64(len(m.gateways))
	if s.pending.Excess {
		share *= placement.ExcessClaimShare
	}
	return pool.ClaimFreeEngine(now, request, share)
}

// continueFromCopy continues a stream on an engine that has a copy of its memory.
func (m *model) continueFromCopy(s *streamState, e *engine) { m.startTask(s, e, 0, true, false) }

// startTask starts a run of a stream on an engine. Its priority in the queue follows the rule of
// gateways: two per rank, and a stream that has generated tokens precedes new ones of its rank.
func (m *model) startTask(s *streamState, e *engine, prefillTokens int, withBackup, relocates bool) {
	g := s.gateway
	s.engine, s.placedAt = e, m.now
	s.gaps, s.longestGap, s.gapsFrom = 0, 0, 0
	s.result.Attempts++
	s.result.PrefillTokens += prefillTokens
	e.lastTaskSequence++
	s.task = &task{stream: s, prefillLeft: prefillTokens, priority: 2*s.kind.Rank + 1, sequence: e.lastTaskSequence, relocates: relocates}
	if s.generated > 0 {
		s.task.priority--
	}
	if prefillTokens == 0 {
		s.task.firstTokenAt = m.now
	}
	e.waiting = append(e.waiting, s.task)
	g.pool.RecordRequestStart(e.id)
	prefills := 0
	if s.generated == 0 {
		prefills = 1
	}
	g.pool.Reserve(e.id, s.tokens(), 0, prefills)
	if withBackup {
		m.startBackup(s)
	}
	m.publishPlacement(s, prefillTokens == 0)
	m.scheduleStep(e)
}

// startBackup selects a backup for the stream and copies the stream's memory there.
func (m *model) startBackup(s *streamState) {
	request := s.placementRun(m.load.Engine.MemoryTokens)
	request.Exclude = append([]string{s.engine.id}, request.Exclude...)
	request.EngineDataCentre = s.engine.dataCentre
	selected := s.gateway.pool.SelectBackup(m.wallTime(), request)
	if selected == nil || m.enginesByID[selected.ID].failed {
		return
	}
	backup := m.enginesByID[selected.ID]
	if !backup.hasRoom(s.tokens()) {
		s.gateway.pool.RecordCopyRefusal(backup.id, m.wallTime())
		return
	}
	s.backup, s.backupIncarnation = backup, backup.incarnation
	s.backup.copyTokens += s.tokens()
	s.gateway.pool.Reserve(s.backup.id, 0, s.tokens(), 0)
	s.result.Copies++
}

// publishPlacement records the placement of a stream at its gateway, and at the other gateways after
// placementDelay.
func (m *model) publishPlacement(s *streamState, promptCopied bool) {
	p := placement.Placement{Subject: s.subject, Server: s.engine.id, PromptCopied: promptCopied}
	if s.backup != nil {
		p.Backup = s.backup.id
	}
	s.gateway.promptLocations.Record(s.subject, p.Server, promptCopied, m.wallTime())
	if m.policy.HidePlacements {
		return
	}
	m.schedule(placementDelay, func() {
		for _, g := range m.gateways {
			if g != s.gateway {
				previous := g.promptLocations.CurrentEngine(s.subject)
				g.promptLocations.Record(s.subject, p.Server, promptCopied, m.wallTime())
				g.pool.RecordPeerPlacement(previous, p, m.wallTime())
			}
		}
	})
}

// scheduleStep starts the next step of an engine and schedules its end.
func (m *model) scheduleStep(e *engine) {
	if e.stepScheduled || e.failed {
		return
	}
	e.stepScheduled = true
	incarnation := e.incarnation
	duration, decoded := e.runStep(m.now, e.slowdown(m.now, m.load.Noise, m.random))
	m.schedule(duration, func() {
		e.stepScheduled = false
		if e.incarnation != incarnation {
			m.scheduleStep(e)
			return
		}
		for _, t := range decoded {
			m.handleToken(e, t)
		}
		if len(e.running)+len(e.waiting) > 0 {
			m.scheduleStep(e)
		}
	})
}

// handleToken records a generated token of a task, and the event that it completes.
func (m *model) handleToken(e *engine, t *task) {
	s := t.stream
	if s.task != t {
		return
	}
	first := s.generated == 0
	s.generated++
	if first {
		s.gateway.pool.Reserve(e.id, 0, 0, -1)
	}
	t.tokensSinceEvent++
	if first || t.tokensSinceEvent >= m.load.Engine.TokensPerEvent || s.generated >= s.output {
		t.tokensSinceEvent = 0
		m.learn(s, first)
		m.recordEvent(s)
	}
	if s.generated >= s.output {
		m.finishStream(e, t)
		return
	}
	if t.relocates {
		t.relocates = false
		m.relocate(e, t)
	}
}

func (m *model) recordEvent(s *streamState) {
	if s.lastEventAt == 0 {
		s.firstEventDelay = m.now - s.arrivedAt
	} else {
		s.maxPause = max(s.maxPause, m.now-s.lastEventAt)
	}
	s.lastEventAt = m.now
	s.event++
	if m.policy.LeaveSilent {
		m.watchSilence(s)
	}
}

func (m *model) finishStream(e *engine, t *task) {
	s := t.stream
	e.remove(t)
	m.release(s)
	m.dropBackup(s)
	m.openStreams--
	s.gateway.durations.Record(m.now - s.arrivedAt)
	s.result.Kind, s.result.PromptTokens, s.result.Organisation = s.kind.Name, s.prompt, s.organisation
	s.result.ArrivedS, s.result.FirstEventS = s.arrivedAt.Seconds(), s.firstEventDelay.Seconds()
	s.result.DurationS, s.result.MaxPauseS = (m.now - s.arrivedAt).Seconds(), s.maxPause.Seconds()
	s.result.InTime = s.firstEventDelay <= milliseconds(s.kind.FirstEventMS) && s.maxPause <= milliseconds(s.kind.PauseMS)
	m.streams = append(m.streams, s.result)
}

// relocate relocates a stream to another engine if that still shortens it, and selects a
// backup otherwise.
func (m *model) relocate(e *engine, t *task) {
	s := t.stream
	target := s.gateway.pool.SelectRelocationTarget(m.wallTime(), s.placementRun(m.load.Engine.MemoryTokens), e.id)
	if target == nil {
		m.startBackup(s)
		return
	}
	targetEngine := m.enginesByID[target.ID]
	if targetEngine.failed || !targetEngine.hasRoom(s.tokens()) {
		s.gateway.pool.RecordCopyRefusal(targetEngine.id, m.wallTime())
		m.startBackup(s)
		return
	}
	incarnation := targetEngine.incarnation
	targetEngine.copyTokens += s.tokens()
	e.remove(t)
	m.release(s)
	s.result.Copies++
	m.schedule(copyDuration, func() {
		if targetEngine.failed || targetEngine.incarnation != incarnation {
			m.dispatch(s)
			return
		}
		targetEngine.copyTokens -= s.tokens()
		m.continueFromCopy(s, targetEngine)
	})
}
