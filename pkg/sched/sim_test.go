package sched

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
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
	simReplicas      = 24
	simSample        = 100 * time.Millisecond
	simSlots         = 8
	simTokenTime     = 40 * time.Millisecond
	simUrgentTokens  = 50
	simPatientTokens = 200
	// simLongPart of the patient generations are simLongFactor times longer and
	// run for minutes; their estimate does not tell.
	simLongPart   = 0.05
	simLongFactor = 15
	// simPrefill is the time to compute one token of a prefix again.
	simPrefill = time.Millisecond
	// simCapacity is in tokens per second.
	simCapacity = float64(simReplicas*simSlots) / 0.04
)

// simJob is one request of the simulation.
type simJob struct {
	key            Key
	org            string
	large          bool
	rank           Rank
	tokens, done   int
	asked, granted time.Duration
	retried        bool
	run            int
}

// simulation runs one pool under virtual time.
type simulation struct {
	pool       *Pool
	rng        *rand.Rand
	now        time.Duration
	events     simEvents
	jobs       map[Key]*simJob
	seq        int
	busy       map[int][rankCount]float64 // mean slots in use per second of virtual time
	phases     map[string]*simPhase
	phase      string
	recomputed int
	// retries counts the second tries that came after the floods: granted, refused again.
	retries [2]int
}

// simPhase collects the figures of the requests that arrived in a phase.
type simPhase struct {
	waits   [rankCount][]time.Duration
	small   [rankCount][]time.Duration // of small organisations
	refused [rankCount]int
	spent   map[string][2]time.Duration // whole time and time of service
	served  map[string]float64
	asked   map[string]float64
}

func newSimulation(c Config, seed int64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), jobs: map[Key]*simJob{},
		busy: map[int][rankCount]float64{}, phases: map[string]*simPhase{},
	}
	c.Ranks = defaultRanks
	c.Ranks[Patient].MaxWait = 20 * time.Second
	s.pool = NewPool(s.time(), c, s.rng)
	s.every(time.Second, 0, func() {
		for i := range simReplicas {
			s.act(s.pool.Announce(s.time(), Announcement{
				ID: fmt.Sprint("b", i), Slots: simSlots, Sequence: uint64(s.now/time.Second) + 1,
			}))
		}
	})
	s.every(simSample, 0, func() { s.act(s.pool.Tick(s.time())); s.sample() })
	return s
}

// sample counts the slots in use by rank and by organisation.
func (s *simulation) sample() {
	b := s.busy[int(s.now/time.Second)]
	for rank, n := range s.pool.running {
		b[rank] += float64(n) * simSample.Seconds()
	}
	s.busy[int(s.now/time.Second)] = b
	for name, o := range s.pool.orgs.byName {
		s.figures().served[name] += float64(o.running) * simSample.Seconds() / simTokenTime.Seconds()
	}
}

func (s *simulation) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, do})
}

func (s *simulation) every(interval, first time.Duration, do func()) {
	s.at(first, func() { do(); s.every(interval, s.now+interval, do) })
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// load sends requests of an organisation as a Poisson process of tokens per second.
func (s *simulation) load(org string, large bool, rank Rank, tokensPerSecond float64, from, to time.Duration) {
	size, mean := simUrgentTokens, float64(simUrgentTokens)
	if rank == Patient {
		size, mean = simPatientTokens, simPatientTokens*(1+simLongPart*(simLongFactor-1))
	}
	gap := func() time.Duration {
		return time.Duration(s.rng.ExpFloat64() * mean / tokensPerSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		if s.now >= to {
			return
		}
		j := &simJob{org: org, large: large, rank: rank, tokens: 1 + s.rng.Intn(2*size), asked: s.now}
		if rank == Patient && s.rng.Float64() < simLongPart {
			j.tokens *= simLongFactor
		}
		s.figures().asked[org] += float64(j.tokens)
		s.ask(j)
		s.at(s.now+gap(), next)
	}
	s.at(from+gap(), next)
}

func (s *simulation) figures() *simPhase {
	p := s.phases[s.phase]
	if p == nil {
		p = &simPhase{spent: map[string][2]time.Duration{}, served: map[string]float64{}, asked: map[string]float64{}}
		s.phases[s.phase] = p
	}
	return p
}

func (s *simulation) ask(j *simJob) {
	s.seq++
	j.key = Key{"e", uint64(s.seq)}
	s.jobs[j.key] = j
	mean := simUrgentTokens
	if j.rank == Patient {
		mean = simPatientTokens
	}
	s.act(s.pool.Acquire(s.time(), Request{Key: j.key, Organisation: j.org, Rank: j.rank, Tokens: max(mean-j.done, 1), Resumed: j.done}))
}

// act does what the pool decided.
func (s *simulation) act(decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		j := s.jobs[d.Key]
		switch d.Kind {
		case Granted:
			s.granted(j)
		case Refused:
			s.refused(j, d.Wait)
		case Preempted:
			done := min(j.tokens-1, j.done+int((s.now-j.granted)/simTokenTime))
			spent := done - j.done
			j.done = done
			j.run++
			s.recomputed += done
			s.act(s.pool.Release(s.time(), j.key, Usage{Outcome: Cancelled, Tokens: spent}))
			delete(s.jobs, d.Key)
			s.ask(j)
		}
	}
}

func (s *simulation) granted(j *simJob) {
	f := s.figures()
	if j.done == 0 {
		f.waits[j.rank] = append(f.waits[j.rank], s.now-j.asked)
		if !j.large {
			f.small[j.rank] = append(f.small[j.rank], s.now-j.asked)
		}
		if j.retried && s.phase == "recovery" {
			s.retries[0]++
		}
	}
	j.granted = s.now
	j.run++
	run := j.run
	s.at(s.now+time.Duration(j.done)*simPrefill+time.Duration(j.tokens-j.done)*simTokenTime, func() {
		if j.run != run {
			return
		}
		f := s.figures()
		spent := f.spent[j.org]
		f.spent[j.org] = [2]time.Duration{spent[0] + s.now - j.asked, spent[1] + time.Duration(j.tokens)*simTokenTime}
		delete(s.jobs, j.key)
		s.act(s.pool.Release(s.time(), j.key, Usage{Outcome: OK, Tokens: j.tokens - j.done, FirstToken: simTokenTime}))
	})
}

// refused lets the caller come back once after the time it was told.
func (s *simulation) refused(j *simJob, wait time.Duration) {
	delete(s.jobs, j.key)
	s.figures().refused[j.rank]++
	if j.retried {
		if s.phase == "recovery" {
			s.retries[1]++
		}
		return
	}
	j.retried = true
	s.at(s.now+wait, func() { j.asked = s.now; s.ask(j) })
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

func jain(list []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range list {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(list)) * squares)
}

// use returns the part of the slots that a rank uses between two seconds.
func (s *simulation) use(from, to int, rank Rank) float64 {
	sum := 0.0
	for t := from; t < to; t++ {
		sum += s.busy[t][rank]
	}
	return sum / float64((to-from)*simReplicas*simSlots)
}

// floodResult holds what the flood scenario measures.
type floodResult struct {
	urgentP50, urgentP95     time.Duration // during the patient flood
	smallUrgent95            time.Duration // of small organisations during the urgent flood
	patientKept              float64       // part of the slots at the end of the urgent flood
	jain, smallSlowdown      float64
	recovery                 time.Duration
	recomputed, preemptions  int
	utilisation, retryHonest float64
}

// flood runs normal load, a patient flood, an urgent flood and normal load
// again. Three of ten organisations ask for 19 of 20 flooding tokens; each small
// one asks for less than its fair share.
func flood(c Config, seed int64) *simulation {
	const minute = time.Minute
	s := newSimulation(c, seed)
	for i := range 10 {
		org, large, part := fmt.Sprint("o", i), i < 3, 0.05/7
		if large {
			part = 0.95 / 3
		}
		s.load(org, large, Urgent, 0.3*simCapacity*part, time.Second, 9*minute)
		s.load(org, large, Patient, 0.3*simCapacity*part, time.Second, 9*minute)
		s.load(org, large, Patient, 5*simCapacity*part, minute, 3*minute)
		s.load(org, large, Urgent, 5*simCapacity*part, 3*minute, 8*minute)
	}
	for i, name := range []string{"normal", "patient flood", "urgent flood", "recovery"} {
		s.phase = name
		s.run([]time.Duration{minute, 3 * minute, 8 * minute, 9 * minute}[i])
	}
	return s
}

// floods returns the figures of several runs of the scenario.
func floods(c Config, seeds int) floodResult {
	var r floodResult
	var waits, smallUrgent []time.Duration
	asked, served, spent := map[string]float64{}, map[string]float64{}, map[string][2]time.Duration{}
	retries, n := [2]int{}, float64(seeds)
	for seed := range seeds {
		s := flood(c, int64(seed))
		p := s.phases["patient flood"]
		waits = append(waits, p.waits[Urgent]...)
		smallUrgent = append(smallUrgent, s.phases["urgent flood"].small[Urgent]...)
		for org := range p.asked {
			asked[org] += p.asked[org]
			served[org] += p.served[org]
			spent[org] = [2]time.Duration{spent[org][0] + p.spent[org][0], spent[org][1] + p.spent[org][1]}
		}
		retries = [2]int{retries[0] + s.retries[0], retries[1] + s.retries[1]}
		r.patientKept += s.use(440, 480, Patient) / n
		r.utilisation += (s.use(70, 180, Urgent) + s.use(70, 180, Patient)) / n
		r.recomputed += s.recomputed
		r.preemptions += int(s.pool.Stats().Preempted[Patient])
		for t := 480; t < 535; t++ {
			if s.use(t, t+5, Urgent)+s.use(t, t+5, Patient) < 0.9*0.6 {
				r.recovery = max(r.recovery, time.Duration(t+5-480)*time.Second)
			}
		}
	}
	r.urgentP50, r.urgentP95 = quantile(waits, 0.5), quantile(waits, 0.95)
	r.smallUrgent95 = quantile(smallUrgent, 0.95)
	r.retryHonest = float64(retries[0]) / max(float64(retries[0]+retries[1]), 1)
	r.jain, r.smallSlowdown = fairness(asked, served, spent, 120*simCapacity*n)
	return r
}

// fairness compares what organisations got with what they are entitled to: a
// small one to what it asks, a large one to an equal part of the rest.
func fairness(asked, served map[string]float64, spent map[string][2]time.Duration, capacity float64) (index, slowdown float64) {
	rest := capacity
	for k := 3; k < 10; k++ {
		rest -= asked[fmt.Sprint("o", k)]
	}
	var shares []float64
	for i := range 10 {
		org := fmt.Sprint("o", i)
		if i < 3 {
			shares = append(shares, served[org]/(rest/3))
			continue
		}
		shares = append(shares, served[org]/asked[org])
		slowdown = max(slowdown, float64(spent[org][0])/float64(spent[org][1]))
	}
	return jain(shares), slowdown
}

// Guards the service by rank in floods: urgent work must start within its
// first-token target of 0.35 s at the 95th percentile during a patient flood,
// patient work must keep its floor of 10% of the slots during an urgent flood,
// small organisations must not pay for large ones, and callers that come back
// when they were told to must be accepted more often than not.
func TestFloods(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
	}{
		{"fifo", Config{Policy: FIFO}}, {"fair", Config{}},
		{"fair, preempt", Config{Preempt: true, PreemptAfter: DefaultPreemptAfter, PreemptCost: DefaultPreemptCost}},
	} {
		r := floods(c.config, 3)
		t.Logf("%s: urgent wait p50 %v p95 %v, of small ones in the urgent flood p95 %v, patient kept %.3f, Jain %.3f, slowdown %.2f, recovery %v, recomputed %d in %d preemptions, use %.3f, second tries after the flood accepted %.2f",
			c.name, r.urgentP50, r.urgentP95, r.smallUrgent95, r.patientKept, r.jain, r.smallSlowdown, r.recovery, r.recomputed, r.preemptions, r.utilisation, r.retryHonest)
		if c.config.Policy == FIFO {
			continue
		}
		if r.urgentP95 > 350*time.Millisecond {
			t.Errorf("%s: urgent wait is %v at the 95th percentile", c.name, r.urgentP95)
		}
		if r.patientKept < 0.09 {
			t.Errorf("%s: patient work kept %.3f of the capacity", c.name, r.patientKept)
		}
		if r.retryHonest < 0.5 {
			t.Errorf("%s: %.2f of the callers that came back as told were accepted", c.name, r.retryHonest)
		}
		if r.jain < 0.95 || r.smallSlowdown > 2 {
			t.Errorf("%s: Jain index %.3f, slowdown of the worst small organisation %.2f", c.name, r.jain, r.smallSlowdown)
		}
	}
}
