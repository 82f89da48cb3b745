package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// historyInput is the input of one operation on the configuration: a change of the
// weight of one organisation, or a linearizable read.
type historyInput struct {
	change bool
	base   uint64
	weight int
}

type historyOutput struct {
	outcome Outcome
	version uint64
	weight  int
}

type historyState struct {
	version uint64
	weight  int
}

// configurationModel is the sequential specification: compare-and-swap on the
// version.
var configurationModel = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(historyState), input.(historyInput), output.(historyOutput)
		switch {
		case !in.change:
			return out.version == s.version && out.weight == s.weight, s
		case out.outcome == Accepted:
			return s.version == in.base && out.version == s.version+1, historyState{out.version, in.weight}
		case out.outcome == Conflict:
			return s.version != in.base && out.version == s.version, s
		}
		return false, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// operatorClient runs the operations of one operator and records their history.
type operatorClient struct {
	group     *group
	id        int
	rng       *rand.Rand
	startedAt time.Time
	history   []porcupine.Operation
}

func (c *operatorClient) run(operations int) {
	version := uint64(0)
	for i := range operations {
		member := c.group.ids[c.rng.IntN(len(c.group.ids))]
		call := time.Since(c.startedAt).Nanoseconds()
		var in historyInput
		var out historyOutput
		if c.rng.IntN(2) == 0 {
			in = historyInput{change: true, base: version, weight: 1 + c.rng.IntN(900)}
			result := c.group.change(member, testChange(fmt.Sprint(c.id, "-", i), version, in.weight))
			out = historyOutput{outcome: result.Outcome, version: result.Version}
		} else {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			d, err := c.group.router(member).Read(ctx)
			cancel()
			if err != nil {
				continue
			}
			out = historyOutput{version: d.Version, weight: d.Organisations["boutique"].Weight}
		}
		version = out.version
		c.history = append(c.history, porcupine.Operation{
			ClientId: c.id, Input: in, Call: call, Output: out, Return: time.Since(c.startedAt).Nanoseconds(),
		})
	}
}

// loseDisk restarts a member with an empty disk. It does nothing while some member
// has not yet applied an earlier replacement, because the group only tolerates the
// loss of one disk at a time.
func (g *group) loseDisk(id consensus.MemberID, seed uint64) {
	for _, observer := range g.ids {
		table := g.node(observer).Status().Members
		for _, m := range g.members {
			if table[m.id] != m.disk {
				return
			}
		}
	}
	g.stop(id)
	m := g.members[id]
	m.store, m.disk = &memoryStore{}, consensus.DiskID(fmt.Sprint("disk-", id, "-", m.starts))
	g.start(id, seed)
	g.lostDisks++
}

// injectFaults isolates, freezes and restarts members and replaces their disks
// until done is closed.
func (g *group) injectFaults(rng *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+rng.IntN(40)) * time.Millisecond):
		}
		id := g.ids[rng.IntN(len(g.ids))]
		if leader := g.node(id).Status().Leader; leader != "" && rng.IntN(2) == 0 {
			id = leader
		}
		duration := time.Duration(50+rng.IntN(150)) * time.Millisecond
		switch rng.IntN(4) {
		case 0:
			g.setIsolated(id, true)
			time.Sleep(duration)
			g.setIsolated(id, false)
		case 1:
			m := g.members[id]
			m.gate.Lock()
			time.Sleep(duration)
			m.gate.Unlock()
		case 2:
			g.loseDisk(id, rng.Uint64())
		default:
			g.stop(id)
			time.Sleep(duration / 4)
			g.start(id, rng.Uint64())
		}
	}
}

// Guards against histories that a single copy of the configuration could not
// produce: lost or duplicated changes, two accepted changes with the same base,
// reads of an older version after a newer one.
func TestHistoriesAreLinearizable(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("seed%d/members%d", seed, size), func(t *testing.T) {
				checkHistory(t, seed, size)
			})
		}
	}
}

func checkHistory(t *testing.T, seed uint64, size int) {
	g := newGroup(t, size, seed)
	g.leader()
	g.mu.Lock()
	g.lossRate = 0.03
	g.mu.Unlock()
	const clientCount, operationsPerClient = 6, 60
	done := make(chan struct{})
	var nemesis, operators sync.WaitGroup
	nemesis.Go(func() { g.injectFaults(rand.New(rand.NewPCG(seed, 2)), done) })
	clients := make([]*operatorClient, clientCount)
	for i := range clients {
		clients[i] = &operatorClient{group: g, id: i, rng: rand.New(rand.NewPCG(seed, uint64(10+i))), startedAt: time.Now()}
	}
	started := time.Now()
	for _, c := range clients {
		c.startedAt = started
		operators.Go(func() { c.run(operationsPerClient) })
	}
	operators.Wait()
	close(done)
	nemesis.Wait()
	var history []porcupine.Operation
	for _, c := range clients {
		history = append(history, c.history...)
	}
	accepted := 0
	for _, o := range history {
		if o.Output.(historyOutput).outcome == Accepted {
			accepted++
		}
	}
	if accepted == 0 {
		t.Fatal("no change was accepted")
	}
	t.Logf("%d operations, %d changes accepted, term %d, %d disks lost", len(history), accepted, maxTerm(g), g.lostDisks)
	if result := porcupine.CheckOperationsTimeout(configurationModel, history, 30*time.Second); result != porcupine.Ok {
		t.Fatalf("the history is not linearizable: %s", result)
	}
}

func maxTerm(g *group) uint64 {
	var term uint64
	for _, id := range g.ids {
		term = max(term, g.node(id).Status().Term)
	}
	return term
}

var _ messageSender = (*member)(nil)
var _ peerClient = (*member)(nil)
var _ core = (*consensus.Node)(nil)
