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

// historyInput is one operation on the configuration: a change of the weight of
// one organisation, or a linearizable read.
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

// configurationModel is the specification: compare-and-swap on the version.
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

// client records the operations of one operator.
type client struct {
	group   *group
	id      int
	random  *rand.Rand
	started time.Time
	history []porcupine.Operation
}

func (c *client) run(operations int) {
	version := uint64(0)
	for i := range operations {
		member := c.group.ids[c.random.IntN(len(c.group.ids))]
		call := time.Since(c.started).Nanoseconds()
		var in historyInput
		var out historyOutput
		if c.random.IntN(2) == 0 {
			in = historyInput{change: true, base: version, weight: 1 + c.random.IntN(900)}
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
			ClientId: c.id, Input: in, Call: call, Output: out, Return: time.Since(c.started).Nanoseconds(),
		})
	}
}

// loseDisk restarts a member with an empty disk, unless an earlier replacement
// is not known to every member yet: more than one lost disk is no single fault.
func (g *group) loseDisk(id consensus.MemberID, seed uint64) {
	for _, at := range g.ids {
		table := g.node(at).Status().Members
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

// disturb cuts off, freezes and restarts members and takes their disks until
// done is closed.
func (g *group) disturb(random *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+random.IntN(40)) * time.Millisecond):
		}
		id := g.ids[random.IntN(len(g.ids))]
		if leader := g.node(id).Status().Leader; leader != "" && random.IntN(2) == 0 {
			id = leader
		}
		length := time.Duration(50+random.IntN(150)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			g.setCut(id, true)
			time.Sleep(length)
			g.setCut(id, false)
		case 1:
			m := g.members[id]
			m.gate.Lock()
			time.Sleep(length)
			m.gate.Unlock()
		case 2:
			g.loseDisk(id, random.Uint64())
		default:
			g.stop(id)
			time.Sleep(length / 4)
			g.start(id, random.Uint64())
		}
	}
}

// Guards against histories that no single copy of the configuration could give:
// lost or doubled changes, two winners of one base, reads that go back.
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
	g.loss = 0.03
	g.mu.Unlock()
	const clients, operations = 6, 60
	done := make(chan struct{})
	var nemesis, operators sync.WaitGroup
	nemesis.Go(func() { g.disturb(rand.New(rand.NewPCG(seed, 2)), done) })
	all := make([]*client, clients)
	for i := range all {
		all[i] = &client{group: g, id: i, random: rand.New(rand.NewPCG(seed, uint64(10+i))), started: time.Now()}
	}
	started := time.Now()
	for _, c := range all {
		c.started = started
		operators.Go(func() { c.run(operations) })
	}
	operators.Wait()
	close(done)
	nemesis.Wait()
	var history []porcupine.Operation
	for _, c := range all {
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

var _ carrier = (*member)(nil)
var _ remote = (*member)(nil)
var _ core = (*consensus.Node)(nil)
