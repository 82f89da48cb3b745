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
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

const (
	// placementDelay is how long a placement takes to reach the other gateways: placements are
	// sent in batches every 50 ms, through a coordinator.
	placementDelay = 60 * time.Millisecond
	// copyDuration is how long copying the memory of a run to another engine takes.
	copyDuration = 25 * time.Millisecond
	// backupDelay is how far the copy at a backup lags behind its run.
	backupDelay = 300 * time.Millisecond
	// retryDelay is the delay before a run is retried when no engine is available.
	retryDelay = 300 * time.Millisecond
	// promptCacheTTL is how long an engine caches a prompt, about the time in which ten other
	// prompts evict it.
	promptCacheTTL = 10 * time.Second
	// announcementDelay is how long the announcement of a started engine takes to reach all
	// gateways.
	announcementDelay = 20 * time.Millisecond
)

// Policy selects the placement features that a simulation uses.
type Policy struct {
	Name string
	// Relocate moves streams away from engines that do prefills.
	Relocate bool
	// HidePlacements keeps gateways from sending each other their placements.
	HidePlacements bool
}

// Policies returns all policies that can be compared. With "apart", streams run apart from the
// prefills of other prompts, as they are relocated after their own; with "together", they stay where
// they began; with "blind", the gateways also do not see each other's placements.
func Policies() []Policy {
	return []Policy{
		{Name: "apart", Relocate: true},
		{Name: "together"},
		{Name: "blind", HidePlacements: true},
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
}

// run is the state of one stream across all engines that execute it.
type run struct {
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
	result                                 Stream
}

func (r *run) tokens() int { return r.prompt + r.output }

func (r *run) placementRun(engineMemoryTokens int) placement.Run {
	return placement.Run{Tokens: r.tokens(), EngineMemoryTokens: engineMemoryTokens, Exclude: r.excluded}
}

// Stream is the result of one stream.
type Stream struct {
	Kind string
	// ArrivedS is the arrival time. FirstEventS is the delay of the first event, DurationS the
	// duration of the stream and MaxPauseS its longest pause. All are in seconds.
	ArrivedS, FirstEventS, DurationS, MaxPauseS float64
	// InTime is true if the first event and all pauses were within the bounds.
	InTime bool
	// PrefillTokens is the number of tokens in all prefills of the run, including repeated ones
	// after the failure of an engine.
	PrefillTokens int
	// Copies is the number of copies made of the run's memory.
	Copies int
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int
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
	openRuns    int
}

// Simulate simulates a load under a policy. The callers depend only on the load and the seed.
func Simulate(load *LoadPattern, policy Policy, seed uint64) []Stream {
	m := &model{load: load, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), enginesByID: map[string]*engine{}}
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
	m.scheduleArrivals()
	for _, f := range load.Faults {
		m.scheduleFault(f)
	}
	// The last streams may finish after the arrivals have ended.
	const maxDrainTime = 2 * time.Minute
	end := time.Duration(load.Seconds * float64(time.Second))
	for len(m.events) > 0 && (m.now < end || m.openRuns > 0) && m.now < end+maxDrainTime {
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
	e := &engine{cachedUntil: map[string]time.Duration{}, spec: m.load.Engine, id: fmt.Sprintf("e%03d", len(m.engines)), dataCentre: dataCentre}
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
			r := &run{
				kind: k, subject: fmt.Sprintf("r%d", m.sequence), gateway: m.gateways[random.IntN(len(m.gateways))],
				prompt: size(k.PromptTokens, k.PromptSpread), output: size(k.OutputTokens, k.OutputSpread),
			}
			m.schedule(elapsed, func() {
				r.arrivedAt = m.now
				m.openRuns++
				m.dispatch(r)
			})
		}
	}
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

// failEngine ends the process of an engine and fails its runs over to other engines.
func (m *model) failEngine(e *engine) {
	interrupted := append(e.running, e.waiting...)
	e.failed, e.incarnation, e.running, e.waiting, e.copyTokens = true, e.incarnation+1, nil, nil, 0
	clear(e.cachedUntil)
	for _, t := range interrupted {
		r := t.run
		r.gateway.pool.RecordUnreachable(e.id, m.wallTime())
		m.release(r)
		m.schedule(time.Millisecond, func() { m.failOver(r) })
	}
}

// release removes a run and its memory, copy and prefill from the pool of its gateway.
func (m *model) release(r *run) {
	pool := r.gateway.pool
	pool.RecordRequestEnd(r.engine.id)
	prefills := 0
	if r.task != nil && r.generated == 0 {
		prefills = -1
	}
	pool.Reserve(r.engine.id, -r.tokens(), 0, prefills)
	if r.backup != nil {
		pool.Reserve(r.backup.id, 0, -r.tokens(), 0)
	}
	r.task, r.engine = nil, nil
}

// failOver continues the run of a failed engine from its backup, or dispatches it again.
func (m *model) failOver(r *run) {
	backup := r.backup
	usable := backup != nil && !backup.failed && backup.incarnation == r.backupIncarnation && m.now-r.placedAt > backupDelay && r.generated > 0
	m.dropBackup(r)
	if !usable {
		m.dispatch(r)
		return
	}
	m.continueFromCopy(r, backup)
}

func (m *model) dropBackup(r *run) {
	if r.backup != nil && !r.backup.failed && r.backup.incarnation == r.backupIncarnation {
		r.backup.copyTokens = max(0, r.backup.copyTokens-r.tokens())
	}
	r.backup = nil
}

// dispatch selects an engine for a run and starts the prefill there.
func (m *model) dispatch(r *run) {
	g, now := r.gateway, m.wallTime()
	request := r.placementRun(m.load.Engine.MemoryTokens)
	request.Prefer = g.promptLocations.CandidateEngines(r.subject, now)
	selected := g.pool.SelectEngine(now, request)
	if selected == nil {
		r.excluded = nil
		m.schedule(retryDelay, func() { m.dispatch(r) })
		return
	}
	e := m.enginesByID[selected.ID]
	if e.failed {
		g.pool.RecordUnreachable(e.id, now)
		m.schedule(time.Millisecond, func() { m.dispatch(r) })
		return
	}
	g.pool.RecordPrefill(e.id, now)
	relocates := m.policy.Relocate && g.pool.SelectRelocationTarget(now, request, e.id) != nil
	prefillTokens := r.prompt + r.generated
	if until, ok := e.cachedUntil[r.subject]; ok && m.now < until {
		prefillTokens = r.generated
	}
	e.cachedUntil[r.subject] = m.now + promptCacheTTL
	m.startTask(r, e, prefillTokens, !relocates, relocates)
}

// continueFromCopy starts a run on an engine that has a copy of its memory.
func (m *model) continueFromCopy(r *run, e *engine) { m.startTask(r, e, 0, true, false) }

// startTask starts a run on an engine. Its priority in the queue follows the rule of gateways: two
// per rank, and a run that has generated tokens precedes new ones of its rank.
func (m *model) startTask(r *run, e *engine, prefillTokens int, withBackup, relocates bool) {
	g := r.gateway
	r.engine, r.placedAt = e, m.now
	r.result.PrefillTokens += prefillTokens
	e.lastTaskSequence++
	r.task = &task{run: r, prefillLeft: prefillTokens, priority: 2*r.kind.Rank + 1, sequence: e.lastTaskSequence, relocates: relocates}
	if r.generated > 0 {
		r.task.priority--
	}
	if prefillTokens == 0 {
		r.task.firstTokenAt = m.now
	}
	e.waiting = append(e.waiting, r.task)
	g.pool.RecordRequestStart(e.id)
	prefills := 0
	if r.generated == 0 {
		prefills = 1
	}
	g.pool.Reserve(e.id, r.tokens(), 0, prefills)
	if withBackup {
		m.startBackup(r)
	}
	m.publishPlacement(r, prefillTokens == 0)
	m.scheduleStep(e)
}

// startBackup selects a backup for the run and copies the run's memory there.
func (m *model) startBackup(r *run) {
	request := r.placementRun(m.load.Engine.MemoryTokens)
	request.Exclude = append([]string{r.engine.id}, request.Exclude...)
	request.EngineDataCentre = r.engine.dataCentre
	selected := r.gateway.pool.SelectBackup(m.wallTime(), request)
	if selected == nil || m.enginesByID[selected.ID].failed {
		return
	}
	backup := m.enginesByID[selected.ID]
	if !backup.hasRoom(r.tokens()) {
		r.gateway.pool.RecordCopyRefusal(backup.id, m.wallTime())
		return
	}
	r.backup, r.backupIncarnation = backup, backup.incarnation
	r.backup.copyTokens += r.tokens()
	r.gateway.pool.Reserve(r.backup.id, 0, r.tokens(), 0)
	r.result.Copies++
}

// publishPlacement records the placement of a run at its gateway, and at the other gateways after
// placementDelay.
func (m *model) publishPlacement(r *run, promptCopied bool) {
	p := placement.Placement{Subject: r.subject, Server: r.engine.id, PromptCopied: promptCopied}
	if r.backup != nil {
		p.Backup = r.backup.id
	}
	r.gateway.promptLocations.Record(r.subject, p.Server, promptCopied, m.wallTime())
	if m.policy.HidePlacements {
		return
	}
	m.schedule(placementDelay, func() {
		for _, g := range m.gateways {
			if g != r.gateway {
				previous := g.promptLocations.CurrentEngine(r.subject)
				g.promptLocations.Record(r.subject, p.Server, promptCopied, m.wallTime())
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
	duration, decoded := e.runStep(m.now)
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
	r := t.run
	if r.task != t {
		return
	}
	first := r.generated == 0
	r.generated++
	if first {
		r.gateway.pool.Reserve(e.id, 0, 0, -1)
	}
	t.tokensSinceEvent++
	if first || t.tokensSinceEvent >= m.load.Engine.TokensPerEvent || r.generated >= r.output {
		t.tokensSinceEvent = 0
		m.recordEvent(r)
	}
	if r.generated >= r.output {
		m.finishRun(e, t)
		return
	}
	if t.relocates {
		t.relocates = false
		m.relocate(e, t)
	}
}

func (m *model) recordEvent(r *run) {
	if r.lastEventAt == 0 {
		r.firstEventDelay = m.now - r.arrivedAt
	} else {
		r.maxPause = max(r.maxPause, m.now-r.lastEventAt)
	}
	r.lastEventAt = m.now
}

func (m *model) finishRun(e *engine, t *task) {
	r := t.run
	e.remove(t)
	m.release(r)
	m.dropBackup(r)
	m.openRuns--
	r.result.Kind, r.result.PromptTokens = r.kind.Name, r.prompt
	r.result.ArrivedS, r.result.FirstEventS = r.arrivedAt.Seconds(), r.firstEventDelay.Seconds()
	r.result.DurationS, r.result.MaxPauseS = (m.now - r.arrivedAt).Seconds(), r.maxPause.Seconds()
	r.result.InTime = r.firstEventDelay <= milliseconds(r.kind.FirstEventMS) && r.maxPause <= milliseconds(r.kind.PauseMS)
	m.streams = append(m.streams, r.result)
}

// relocate moves a run to another engine if that still shortens the stream, and selects a
// backup otherwise.
func (m *model) relocate(e *engine, t *task) {
	r := t.run
	target := r.gateway.pool.SelectRelocationTarget(m.wallTime(), r.placementRun(m.load.Engine.MemoryTokens), e.id)
	if target == nil {
		m.startBackup(r)
		return
	}
	targetEngine := m.enginesByID[target.ID]
	if targetEngine.failed || !targetEngine.hasRoom(r.tokens()) {
		r.gateway.pool.RecordCopyRefusal(targetEngine.id, m.wallTime())
		m.startBackup(r)
		return
	}
	incarnation := targetEngine.incarnation
	targetEngine.copyTokens += r.tokens()
	e.remove(t)
	m.release(r)
	r.result.Copies++
	m.schedule(copyDuration, func() {
		if targetEngine.failed || targetEngine.incarnation != incarnation {
			m.dispatch(r)
			return
		}
		targetEngine.copyTokens -= r.tokens()
		m.continueFromCopy(r, targetEngine)
	})
}
