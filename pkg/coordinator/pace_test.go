package coordinator

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
)

// paceGateway is a gateway that sees one slow engine.
type paceGateway struct {
	mu      sync.Mutex
	entries map[string]pace.Entry
}

func (p *paceGateway) TakePaceSamples() []pace.Sample {
	return []pace.Sample{{Process: pace.Process{ID: "slow", StartedMS: 7}, Log: 0.5, Weight: 1, At: time.Now()}}
}

func (p *paceGateway) HandlePaceEntries(entries []pace.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		p.entries[e.Process.ID] = e
	}
}

func (p *paceGateway) gateways() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries["slow"].Gateways
}

// Guards against estimates that do not reach the other gateways, and against a table that is lost with a
// coordinator for good.
func TestPacesOfAllGatewaysAreMerged(t *testing.T) {
	g := newTestGroup(t, 3)
	gateways := []*paceGateway{{}, {}, {}}
	for i, p := range gateways {
		p.entries = map[string]pace.Entry{}
		r := &recorder{servers: map[string]directory.Server{}, placement: map[string]string{}}
		dialer := rpc.NewDialer(nil, &rpc.Counters{})
		t.Cleanup(func() { _ = dialer.Close() })
		c := follow.NewClient(fmt.Sprint("g", i), dialer, r, slog.New(slog.DiscardHandler))
		c.Add(t.Context(), []string{g.address(1), g.address(2), g.address(3)})
		go c.RunPaces(t.Context(), p)
	}
	merged := func() bool {
		for _, p := range gateways {
			if p.gateways() != len(gateways) {
				return false
			}
		}
		return true
	}
	g.eventually("an estimate of three gateways", merged)
	g.stop(1)
	for _, p := range gateways {
		p.mu.Lock()
		clear(p.entries)
		p.mu.Unlock()
	}
	g.eventually("an estimate of three gateways from another coordinator", merged)
}

// Guards against an exchange that takes much of the control budget of 9 KB per second and gateway. The samples are
// those of 88 gateways with six streams each, and of 300 gateways.
func TestPaceExchangeFitsTheControlBudget(t *testing.T) {
	for _, c := range []struct{ servers, gateways int }{{142, 88}, {466, 300}} {
		random := rand.New(rand.NewPCG(1, 1))
		table := newPaceTable()
		now := time.Unix(1_700_000_000, 0)
		versions := make([]uint64, c.gateways)
		sent, received, exchanges := 0, 0, 0
		for round := range 30 {
			for i := range c.gateways {
				var samples []pace.Sample
				for range 20 {
					id := random.IntN(c.servers)
					samples = append(samples, pace.Sample{
						Process: pace.Process{ID: fmt.Sprintf("engine-%08x", id), StartedMS: 1_700_000_000_000 + int64(id)},
						Log:     []float64{-0.5, 0, 0.5}[id%3] + 0.3*random.NormFloat64(), Weight: 0.5, At: now.Add(-time.Second),
					})
				}
				request := follow.EncodePaceReport(fmt.Sprintf("gateway-%08x", i), samples, now)
				request.Table, request.Version = table.id, versions[i]
				response := table.exchange(request, now)
				versions[i] = response.Version
				if round >= 10 {
					sent, received, exchanges = sent+proto.Size(request), received+proto.Size(response), exchanges+1
				}
				now = now.Add(follow.PaceInterval / time.Duration(c.gateways))
			}
		}
		perSecond := func(bytes int) float64 { return float64(bytes) / float64(exchanges) / follow.PaceInterval.Seconds() }
		t.Logf("%d servers, %d gateways: %.0f B/s sent and %.0f B/s received per gateway", c.servers, c.gateways, perSecond(sent), perSecond(received))
		qt.Check(t, perSecond(sent)+perSecond(received) < 2500, qt.IsTrue)
		qt.Check(t, table.len(), qt.Equals, c.servers)
	}
}
