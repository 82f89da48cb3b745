package sched

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// simEvent is an action scheduled at a virtual time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	simReplicas       = 24
	simSampleInterval = 100 * time.Millisecond
	simSlots          = 8
	simTokenTime      = 40 * time.Millisecond
	simUrgentTokens   = 50
	simPatientTokens  = 200
	// simLongShare of the patient generations are simLongFactor times longer and run for
	// minutes. Their estimates do not show it.
	simLongShare  = 0.05
	simLongFactor = 15
	// simPrefill is the time to recompute one token of a prefix.
	simPrefill = time.Millisecond
	// simCapacity is in tokens per second: each slot serves one token per simTokenTime.
	simCapacity = float64(simReplicas*simSlots) / 0.04
)

// simJob is one request of the simulation.
type simJob struct {
	key                    Key
	org                    string
	isLarge                bool
	rank                   Rank
	tokens, doneTokens     int
	requestedAt, grantedAt time.Duration
	retried                bool
	attempt                int
}

// simulation runs one pool in virtual time.
type simulation struct {
	pool             *Pool
	rng              *rand.Rand
	now              time.Duration
	events           simEvents
	jobs             map[Key]*simJob
	seq              int
	slotUse          map[int][rankCount]float64 // mean slots in use per second of virtual time
	phases           map[string]*simPhase
	phase            string
	recomputedTokens int
	// retryResults counts the retries that arrived after the floods: granted, and refused
	// again.
	retryResults [2]int
}

// simPhase collects the results of the requests that arrived in one phase.
type simPhase struct {
	waits           [rankCount][]time.Duration
	smallWaits      [rankCount][]time.Duration // of small organisations
	refused         [rankCount]int
	times           map[string][2]time.Duration // total time and service time
	servedTokens    map[string]float64
	requestedTokens map[string]float64
}

func newSimulation(c Config, seed int64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), jobs: map[Key]*simJob{},
		slotUse: map[int][rankCount]float64{}, phases: map[string]*simPhase{},
	}
	c.Ranks = defaultRanks
	c.Ranks[Patient].MaxWait = 20 * time.Second
	s.pool = NewPool(s.clock(), c, s.rng)
	s.every(time.Second, 0, func() {
		for i := range simReplicas {
			s.apply(s.pool.Announce(s.clock(), Announcement{
				ID: fmt.Sprint("b", i), Slots: simSlots, Sequence: uint64(s.now/time.Second) + 1,
			}))
		}
	})
	s.every(simSampleInterval, 0, func() { s.apply(s.pool.Tick(s.clock())); s.sample() })
	return s
}

// sample records the slots in use by rank and by organisation.
func (s *simulation) sample() {
	b := s.slotUse[int(s.now/time.Second)]
	for rank, n := range s.pool.running {
		b[rank] += float64(n) * simSampleInterval.Seconds()
	}
	s.slotUse[int(s.now/time.Second)] = b
	for name, o := range s.pool.organisations.byName {
		s.currentPhase().servedTokens[name] += float64(o.running) * simSampleInterval.Seconds() / simTokenTime.Seconds()
	}
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) schedule(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, do})
}

func (s *simulation) every(interval, firstAt time.Duration, do func()) {
	s.schedule(firstAt, func() { do(); s.every(interval, s.now+interval, do) })
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// generateLoad sends requests of an organisation as a Poisson process with a mean rate in
// tokens per second.
func (s *simulation) generateLoad(org string, large bool, rank Rank, tokensPerSecond float64, from, to time.Duration) {
	size, mean := simUrgentTokens, float64(simUrgentTokens)
	if rank == Patient {
		size, mean = simPatientTokens, simPatientTokens*(1+simLongShare*(simLongFactor-1))
	}
	nextGap := func() time.Duration {
		return time.Duration(s.rng.ExpFloat64() * mean / tokensPerSecond * float64(time.Second))
	}
	var sendNext func()
	sendNext = func() {
		if s.now >= to {
			return
		}
		j := &simJob{org: org, isLarge: large, rank: rank, tokens: 1 + s.rng.Intn(2*size), requestedAt: s.now}
		if rank == Patient && s.rng.Float64() < simLongShare {
			j.tokens *= simLongFactor
		}
		s.currentPhase().requestedTokens[org] += float64(j.tokens)
		s.submit(j)
		s.schedule(s.now+nextGap(), sendNext)
	}
	s.schedule(from+nextGap(), sendNext)
}

func (s *simulation) currentPhase() *simPhase {
	p := s.phases[s.phase]
	if p == nil {
		p = &simPhase{times: map[string][2]time.Duration{}, servedTokens: map[string]float64{}, requestedTokens: map[string]float64{}}
		s.phases[s.phase] = p
	}
	return p
}

func (s *simulation) submit(j *simJob) {
	s.seq++
	j.key = Key{"e", uint64(s.seq)}
	s.jobs[j.key] = j
	mean := simUrgentTokens
	if j.rank == Patient {
		mean = simPatientTokens
	}
	s.apply(s.pool.Acquire(s.clock(), Request{Key: j.key, Organisation: j.org, Rank: j.rank, EstimatedTokens: max(mean-j.doneTokens, 1), ResumedTokens: j.doneTokens}))
}

// apply simulates the effects of decisions.
func (s *simulation) apply(decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		j := s.jobs[d.Key]
		switch d.Kind {
		case Granted:
			s.handleGrant(j)
		case Refused:
			s.handleRefusal(j, d.Wait)
		case Preempted:
			done := min(j.tokens-1, j.doneTokens+int((s.now-j.grantedAt)/simTokenTime))
			spent := done - j.doneTokens
			j.doneTokens = done
			j.attempt++
			s.recomputedTokens += done
			s.apply(s.pool.Release(s.clock(), j.key, Usage{Outcome: Cancelled, Tokens: spent}))
			delete(s.jobs, d.Key)
			s.submit(j)
		}
	}
}

func (s *simulation) handleGrant(j *simJob) {
	f := s.currentPhase()
	if j.doneTokens == 0 {
		f.waits[j.rank] = append(f.waits[j.rank], s.now-j.requestedAt)
		if !j.isLarge {
			f.smallWaits[j.rank] = append(f.smallWaits[j.rank], s.now-j.requestedAt)
		}
		if j.retried && s.phase == "recovery" {
			s.retryResults[0]++
		}
	}
	j.grantedAt = s.now
	j.attempt++
	attempt := j.attempt
	s.schedule(s.now+time.Duration(j.doneTokens)*simPrefill+time.Duration(j.tokens-j.doneTokens)*simTokenTime, func() {
		if j.attempt != attempt {
			return
		}
		f := s.currentPhase()
		times := f.times[j.org]
		f.times[j.org] = [2]time.Duration{times[0] + s.now - j.requestedAt, times[1] + time.Duration(j.tokens)*simTokenTime}
		delete(s.jobs, j.key)
		s.apply(s.pool.Release(s.clock(), j.key, Usage{Outcome: OK, Tokens: j.tokens - j.doneTokens, TimeToFirstToken: simTokenTime}))
	})
}

// handleRefusal retries a refused request once, after the retry time that it was given.
func (s *simulation) handleRefusal(j *simJob, wait time.Duration) {
	delete(s.jobs, j.key)
	s.currentPhase().refused[j.rank]++
	if j.retried {
		if s.phase == "recovery" {
			s.retryResults[1]++
		}
		return
	}
	j.retried = true
	s.schedule(s.now+wait, func() { j.requestedAt = s.now; s.submit(j) })
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

func jainIndex(list []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range list {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(list)) * squares)
}

// utilisation returns the share of the slots that a rank uses between two seconds of
// virtual time.
func (s *simulation) utilisation(from, to int, rank Rank) float64 {
	sum := 0.0
	for t := from; t < to; t++ {
		sum += s.slotUse[t][rank]
	}
	return sum / float64((to-from)*simReplicas*simSlots)
}

// floodResult holds the results of the flood scenario.
type floodResult struct {
	urgentP50, urgentP95       time.Duration // during the patient flood
	smallUrgentP95             time.Duration // of small organisations during the urgent flood
	patientShare               float64       // share of the slots at the end of the urgent flood
	jain, smallSlowdown        float64       // the results of fairness
	recovery                   time.Duration // time after the floods with less than 90% of the normal utilisation
	recomputed, preemptions    int           // tokens computed again after preemptions, and their number
	utilisation, retryAccepted float64       // during the patient flood; share of the retries after the floods
}

// runFloodScenario simulates normal load, a patient flood, an urgent flood and normal
// load again. Three of ten organisations send 19 of 20 tokens of the floods; each small
// organisation demands less than its fair share.
func runFloodScenario(c Config, seed int64) *simulation {
	const minute = time.Minute
	s := newSimulation(c, seed)
	for i := range 10 {
		org, large, loadShare := fmt.Sprint("o", i), i < 3, 0.05/7
		if large {
			loadShare = 0.95 / 3
		}
		s.generateLoad(org, large, Urgent, 0.3*simCapacity*loadShare, time.Second, 9*minute)
		s.generateLoad(org, large, Patient, 0.3*simCapacity*loadShare, time.Second, 9*minute)
		s.generateLoad(org, large, Patient, 5*simCapacity*loadShare, minute, 3*minute)
		s.generateLoad(org, large, Urgent, 5*simCapacity*loadShare, 3*minute, 8*minute)
	}
	for i, name := range []string{"normal", "patient flood", "urgent flood", "recovery"} {
		s.phase = name
		s.run([]time.Duration{minute, 3 * minute, 8 * minute, 9 * minute}[i])
	}
	return s
}

// runFloodScenarios returns the combined results of several seeds. The phases end at 60,
// 180, 480 and 540 seconds of virtual time.
func runFloodScenarios(c Config, seeds int) floodResult {
	var r floodResult
	var urgentWaits, smallUrgentWaits []time.Duration
	requested, served, times := map[string]float64{}, map[string]float64{}, map[string][2]time.Duration{}
	retries, n := [2]int{}, float64(seeds)
	for seed := range seeds {
		s := runFloodScenario(c, int64(seed))
		p := s.phases["patient flood"]
		urgentWaits = append(urgentWaits, p.waits[Urgent]...)
		smallUrgentWaits = append(smallUrgentWaits, s.phases["urgent flood"].smallWaits[Urgent]...)
		for org := range p.requestedTokens {
			requested[org] += p.requestedTokens[org]
			served[org] += p.servedTokens[org]
			times[org] = [2]time.Duration{times[org][0] + p.times[org][0], times[org][1] + p.times[org][1]}
		}
		retries = [2]int{retries[0] + s.retryResults[0], retries[1] + s.retryResults[1]}
		r.patientShare += s.utilisation(440, 480, Patient) / n
		r.utilisation += (s.utilisation(70, 180, Urgent) + s.utilisation(70, 180, Patient)) / n
		r.recomputed += s.recomputedTokens
		r.preemptions += int(s.pool.Stats().Preempted[Patient])
		for t := 480; t < 535; t++ {
			if s.utilisation(t, t+5, Urgent)+s.utilisation(t, t+5, Patient) < 0.9*0.6 {
				r.recovery = max(r.recovery, time.Duration(t+5-480)*time.Second)
			}
		}
	}
	r.urgentP50, r.urgentP95 = quantile(urgentWaits, 0.5), quantile(urgentWaits, 0.95)
	r.smallUrgentP95 = quantile(smallUrgentWaits, 0.95)
	r.retryAccepted = float64(retries[0]) / max(float64(retries[0]+retries[1]), 1)
	r.jain, r.smallSlowdown = fairness(requested, served, times, 120*simCapacity*n)
	return r
}

// fairness compares what organisations were served with what they are entitled to: a
// small one to its demand, a large one to an equal part of the remaining capacity. It
// returns Jain's index and the highest slowdown of a small organisation.
func fairness(requested, served map[string]float64, times map[string][2]time.Duration, capacity float64) (index, slowdown float64) {
	largeCapacity := capacity
	for k := 3; k < 10; k++ {
		largeCapacity -= requested[fmt.Sprint("o", k)]
	}
	var shares []float64
	for i := range 10 {
		org := fmt.Sprint("o", i)
		if i < 3 {
			shares = append(shares, served[org]/(largeCapacity/3))
			continue
		}
		shares = append(shares, served[org]/requested[org])
		slowdown = max(slowdown, float64(times[org][0])/float64(times[org][1]))
	}
	return jainIndex(shares), slowdown
}

// Guards scheduling by rank in floods. Urgent work must start within 0.35 s, its
// first-token target, at the 95th percentile during a patient flood; patient work must
// keep its floor of 10% of the slots during an urgent flood; small organisations must not
// be slowed down by large ones; and most callers that return after their retry time must
// be accepted.
func TestFloods(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
	}{
		{"fifo", Config{Policy: FIFO}}, {"fair", Config{}},
		{"fair, preempt", Config{Preempt: true, PreemptAfter: DefaultPreemptAfter, MaxPreemptCost: DefaultMaxPreemptCost}},
	} {
		r := runFloodScenarios(c.config, 3)
		t.Logf("%s: urgent wait p50 %v p95 %v, of small organisations in the urgent flood p95 %v, patient share %.3f, Jain %.3f, slowdown %.2f, recovery %v, recomputed %d in %d preemptions, utilisation %.3f, retries accepted after the flood %.2f",
			c.name, r.urgentP50, r.urgentP95, r.smallUrgentP95, r.patientShare, r.jain, r.smallSlowdown, r.recovery, r.recomputed, r.preemptions, r.utilisation, r.retryAccepted)
		if c.config.Policy == FIFO {
			continue
		}
		if r.urgentP95 > 350*time.Millisecond {
			t.Errorf("%s: urgent wait is %v at the 95th percentile", c.name, r.urgentP95)
		}
		if r.patientShare < 0.09 {
			t.Errorf("%s: patient work had %.3f of the slots", c.name, r.patientShare)
		}
		if r.retryAccepted < 0.5 {
			t.Errorf("%s: %.2f of the retries after the retry time were accepted", c.name, r.retryAccepted)
		}
		if r.jain < 0.95 || r.smallSlowdown > 2 {
			t.Errorf("%s: Jain index %.3f, slowdown of the worst small organisation %.2f", c.name, r.jain, r.smallSlowdown)
		}
	}
}
