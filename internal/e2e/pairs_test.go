package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// injectedFault is a kind of failure that the test can cause. The function that
// inject returns ends it.
type injectedFault struct {
	name   string
	inject func(d *deployment, rng *rand.Rand) (undo func())
}

func pickRandom[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// injectKill kills a process. The function that it returns starts it again.
func injectKill(p *process) func() {
	p.kill()
	return p.start
}

// injectFreeze freezes a process. The function that it returns thaws it.
func injectFreeze(p *process) func() {
	p.freeze()
	return p.thaw
}

var injectedFaults = []injectedFault{
	{"engine killed", func(d *deployment, rng *rand.Rand) func() { return injectKill(pickRandom(rng, d.engines).process) }},
	{"engine frozen", func(d *deployment, rng *rand.Rand) func() { return injectFreeze(pickRandom(rng, d.engines).process) }},
	{"entry instance killed", func(d *deployment, rng *rand.Rand) func() { return injectKill(pickRandom(rng, d.entries).process) }},
	{"entry instance frozen", func(d *deployment, rng *rand.Rand) func() { return injectFreeze(pickRandom(rng, d.entries).process) }},
	{"control instance killed", func(d *deployment, rng *rand.Rand) func() { return injectKill(pickRandom(rng, d.control).process) }},
	{"control instance frozen", func(d *deployment, rng *rand.Rand) func() { return injectFreeze(pickRandom(rng, d.control).process) }},
	{"data centre partitioned", func(d *deployment, rng *rand.Rand) func() {
		d.partition(pickRandom(rng, dataCentres))
		return d.healPartition
	}},
	{"connections silent", func(d *deployment, _ *rand.Rand) func() {
		for _, e := range d.entries {
			e.proxy.Blackhole()
		}
		for _, e := range d.engines {
			e.proxy.Blackhole()
		}
		return func() {}
	}},
}

// Guards against guarantees that a single failure keeps, but two at a time break.
// Random pairs of failures, chosen by -seed, are injected during generations,
// at-most-once calls and changes. Availability is not guaranteed for every pair,
// so a stream may be lost; but delivered tokens must be correct, calls must run at
// most once and accepted changes must not be lost.
func TestPairsOfFaults(t *testing.T) {
	const pairs = 6
	rng := rand.New(rand.NewPCG(*seedFlag, pairs))
	for i := range pairs {
		firstFault, secondFault := pickRandom(rng, injectedFaults), pickRandom(rng, injectedFaults)
		t.Run(fmt.Sprintf("%d/%s+%s", i, firstFault.name, secondFault.name), func(t *testing.T) {
			s := servicesTopology()
			s.engines, s.control = []int{2, 2, 1}, []int{2, 2, 1}
			d := startDeployment(t, s)
			runPair(d, rng, firstFault, secondFault)
		})
	}
}

func runPair(d *deployment, rng *rand.Rand, firstFault, secondFault injectedFault) {
	const n, faultTime = 10, 1500 * time.Millisecond
	results := d.generateAll(n, "small", document.Patient, "a")
	calls := d.sendShopCalls(100, func() {
		time.Sleep(300 * time.Millisecond)
		undoFirst := firstFault.inject(d, rng)
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		undoSecond := secondFault.inject(d, rng)
		time.Sleep(faultTime)
		undoSecond()
		undoFirst()
	})
	accepted := d.makeChanges("org", 5, -1, nil)
	lost := 0
	for range n {
		r := <-results
		if r.err != nil && len(r.output.tokens) < outputTokens {
			lost++
			checkPartialOutput(d.t, r)
			continue
		}
		checkOutput(d.t, r)
	}
	d.t.Logf("%d of %d streams were lost", lost, n)
	d.checkShopCalls(calls)
	d.checkAccepted(accepted)
}
