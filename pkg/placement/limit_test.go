package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// limitedGateway is one gateway of a deployment whose servers name limits.
type limitedGateway struct {
	pool        *Pool
	demand      *RetryBudget
	view        *usage.View
	incarnation uint64
	// toldAt is when each server first named its limit in a response to this gateway.
	toldAt map[string]time.Time
	// excusedUntil is when the effects of a restart or a cut have passed.
	excusedUntil time.Time
	nextReportAt time.Time
	offline      bool
}

// limitFleet plays the gateways of a deployment and the servers of one service.
type limitFleet struct {
	random   *rand.Rand
	gateways []*limitedGateway
	servers  []string
	// limits holds the limit that each server names, if any.
	limits map[string]float64
	table  *usage.Table
	// arrivals holds the requests at each server from gateways that it had told.
	arrivals map[string][]time.Time
	served   int
}

func newLimitFleet(gateways, servers int, random *rand.Rand) *limitFleet {
	f := &limitFleet{
		random: random, limits: map[string]float64{}, arrivals: map[string][]time.Time{}, table: usage.NewTable(start.Add(-time.Minute)),
	}
	for i := range servers {
		f.servers = append(f.servers, fmt.Sprintf("s%d", i))
	}
	for range gateways {
		f.gateways = append(f.gateways, f.newGateway(start))
	}
	return f
}

func (f *limitFleet) newGateway(now time.Time) *limitedGateway {
	g := &limitedGateway{
		pool: NewPool("local", rand.New(rand.NewPCG(f.random.Uint64(), 1))), view: &usage.View{}, toldAt: map[string]time.Time{},
		nextReportAt: now.Add(time.Duration(f.random.IntN(1000)) * time.Millisecond), incarnation: f.random.Uint64(),
	}
	g.demand = &RetryBudget{Window: 10 * time.Second, Service: "s", View: g.view}
	for _, id := range f.servers {
		g.pool.Update(directory.Server{ID: id, Service: "s", DataCentre: "local", StartedMS: 1, Slots: 6}, now)
	}
	return g
}

// request plays a request of a caller of a gateway. It reports whether a server was selected.
func (f *limitFleet) request(g *limitedGateway, now time.Time) bool {
	g.demand.RecordRequest(now)
	g.setDemand(now)
	server := g.pool.SelectForCall(now, nil)
	if server == nil {
		return false
	}
	g.pool.RecordSend(server.ID, now)
	if told, ok := g.toldAt[server.ID]; ok && now.Sub(told) >= 500*time.Millisecond && now.After(g.excusedUntil) {
		f.arrivals[server.ID] = append(f.arrivals[server.ID], now)
	}
	g.pool.RecordLimit(server.Process(), f.limits[server.ID], now, now)
	if _, ok := g.toldAt[server.ID]; !ok && f.limits[server.ID] > 0 {
		g.toldAt[server.ID] = now
	}
	f.served++
	return true
}

func (g *limitedGateway) setDemand(now time.Time) {
	own := g.demand.Usage(now)
	d := ServiceDemand{Share: g.view.Share("s", own.Demand, now)}
	if common, ok := g.view.Common("s", own, now, usage.TotalsTTL); ok {
		d.PerServer = common.Total.Demand / float64(g.pool.CountReady())
	}
	g.pool.SetDemand(d)
}

// exchange lets the gateways report whose time has come.
func (f *limitFleet) exchange(now time.Time) {
	online := 0
	for _, g := range f.gateways {
		if !g.offline {
			online++
		}
	}
	for i, g := range f.gateways {
		if g.offline || now.Before(g.nextReportAt) {
			continue
		}
		g.nextReportAt = now.Add(time.Second)
		g.setDemand(now)
		r := usage.Report{
			Incarnation: g.incarnation, Services: usage.Services{"s": g.demand.Usage(now)}, Limits: g.pool.Limits(now),
		}
		f.table.Record(fmt.Sprint(i), r, now)
		totals := f.table.Totals(now, online)
		g.view.Update(totals, r, now)
		g.setDemand(now)
		for _, l := range totals.Limits {
			own := 0.0
			if j := slices.IndexFunc(r.Limits, func(o usage.Limit) bool { return o.Server == l.Server }); j >= 0 {
				own = r.Limits[j].Sends
			}
			g.pool.ApplyPeerLimit(l, own, now)
		}
	}
}

// checkLimits fails the test if a server got more requests within LimitWindow than its limit bears.
func (f *limitFleet) checkLimits(t *testing.T, from time.Time) {
	t.Helper()
	for id, limit := range f.limits {
		allowed := 1.5*limit*LimitWindow.Seconds() + 5
		for _, first := range f.arrivals[id] {
			if n := countWithin(f.arrivals[id], first, LimitWindow); !first.Before(from) && float64(n) > allowed {
				t.Fatalf("%s, limit %g, got %d requests in %s from %s on; %g allowed", id, limit, n, LimitWindow, first.Sub(start), allowed)
			}
		}
	}
}

// Guards against a server that gets more requests than the limit that it named: all gateways together
// keep to it, however many there are, with uneven callers, bursts, restarts and cuts.
func TestLimitsHoldForAllGatewaysTogether(t *testing.T) {
	const step = 10 * time.Millisecond
	const length = 30 * time.Second
	for _, tt := range []struct {
		gateways    int
		perS, limit float64
	}{{1, 75, 10}, {3, 75, 8}, {7, 75, 13.4}, {16, 120, 20}, {89, 250, 56}, {89, 250, 12}, {89, 26, 0.4}, {300, 600, 100}} {
		for _, trouble := range []string{"", "burst", "restarts", "cut"} {
			t.Run(fmt.Sprintf("%d gateways limit %g %s", tt.gateways, tt.limit, trouble), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(tt.gateways), uint64(len(trouble))))
				f := newLimitFleet(tt.gateways, 3, random)
				limitedAt := start.Add(3 * time.Second)
				pending := 0.0
				for now := start; now.Before(start.Add(length)); now = now.Add(step) {
					elapsed := now.Sub(start)
					f.exchange(now)
					if now.Equal(limitedAt) {
						f.limits["s0"], f.limits["s1"] = tt.limit, tt.limit*0.7
					}
					rate := tt.perS
					if trouble == "burst" && elapsed > 9*time.Second && elapsed < 16*time.Second {
						rate *= 2.5
					}
					if trouble == "restarts" && elapsed%(5*time.Second) == 0 && elapsed > 5*time.Second {
						i := random.IntN(tt.gateways)
						f.gateways[i] = f.newGateway(now)
						f.gateways[i].excusedUntil = now.Add(3 * time.Second)
					}
					if trouble == "cut" && tt.gateways > 1 {
						cut := elapsed > 10*time.Second && elapsed < 15*time.Second
						for i := 0; i < tt.gateways; i += 3 {
							f.gateways[i].offline = cut
							if cut {
								f.gateways[i].excusedUntil = now.Add(3 * time.Second)
							}
						}
					}
					for pending += rate * step.Seconds(); pending >= 1; pending-- {
						// The callers are unevenly spread over the gateways.
						f.request(f.gateways[min(random.IntN(tt.gateways), random.IntN(tt.gateways))], now)
					}
				}
				f.checkLimits(t, limitedAt.Add(3*time.Second))
			})
		}
	}
}

// Guards against a limit that is wasted or that starves some callers: when all servers have named one,
// most of it is used, by each gateway about as its callers need it.
func TestLimitsAreUsed(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, gateways := range []int{1, 6, 89} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(gateways), 7))
			f := newLimitFleet(gateways, 3, random)
			for _, id := range f.servers {
				f.limits[id] = 50
			}
			served := make([]int, 2)
			asked := make([]int, 2)
			for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
				f.exchange(now)
				for range 3 {
					i := min(random.IntN(gateways), random.IntN(gateways))
					half := 0
					if i >= gateways/2 && gateways > 1 {
						half = 1
					}
					ok := f.request(f.gateways[i], now)
					if now.Sub(start) > 5*time.Second {
						asked[half]++
						if ok {
							served[half]++
						}
					}
				}
			}
			f.checkLimits(t, start.Add(4*time.Second))
			rate := float64(served[0]+served[1]) / 25
			qt.Assert(t, rate > 0.75*150, qt.IsTrue, qt.Commentf("%g of 150 a second are used", rate))
			for half := range served {
				if asked[half] > 0 {
					share := float64(served[half]) / float64(asked[half])
					qt.Assert(t, share > 0.3, qt.IsTrue, qt.Commentf("a part of the callers is served %g of its requests", share))
				}
			}
		})
	}
}

// Guards against a limit that stays in force at some gateways after the server has withdrawn it.
func TestWithdrawnLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	f := newLimitFleet(6, 1, random)
	f.limits["s0"] = 2
	now := start
	play := func(d time.Duration) (selected int) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			f.exchange(now)
			if f.request(f.gateways[random.IntN(6)], now) {
				selected++
			}
		}
		return selected
	}
	play(5 * time.Second)
	qt.Assert(t, play(5*time.Second) < 25, qt.IsTrue)
	f.limits["s0"] = 0
	play(4 * time.Second)
	qt.Assert(t, play(2*time.Second), qt.Equals, 100)
	// A limit that no response repeats expires.
	f.limits["s0"] = 2
	play(5 * time.Second)
	qt.Assert(t, f.gateways[0].pool.HasLimits(now), qt.IsTrue)
	now = now.Add(limitTTL + time.Second)
	qt.Assert(t, f.gateways[0].pool.isWithinLimit(f.gateways[0].pool.Get("s0"), now), qt.IsTrue)
}

// Guards against an older response that withdraws a limit which a later request was told of.
func TestResponsesOutOfOrderKeepTheLimit(t *testing.T) {
	p := NewPool("local", rand.New(rand.NewPCG(1, 1)))
	p.Update(directory.Server{ID: "s0", DataCentre: "local", StartedMS: 1}, start)
	qt.Assert(t, p.RecordLimit(Process{ID: "s0", StartedMS: 1}, 5, atMillis(100), atMillis(120)), qt.IsTrue)
	qt.Assert(t, p.RecordLimit(Process{ID: "s0", StartedMS: 1}, 0, atMillis(50), atMillis(130)), qt.IsFalse)
	qt.Assert(t, p.Get("s0").limit.rate, qt.Equals, 5.0)
	qt.Assert(t, p.RecordLimit(Process{ID: "s0", StartedMS: 1}, 0, atMillis(140), atMillis(150)), qt.IsTrue)
	qt.Assert(t, p.Get("s0").limit.rate, qt.Equals, 0.0)
}

// Guards against less urgent requests that go before more urgent ones when a limit frees a place.
func TestLimitQueueOrdersByRank(t *testing.T) {
	var q LimitQueue
	first, second, urgent := q.Join(1), q.Join(1), q.Join(0)
	qt.Assert(t, []int{q.Ahead(urgent), q.Ahead(first), q.Ahead(second)}, qt.DeepEquals, []int{0, 1, 2})
	qt.Assert(t, []int{q.AheadOf(0), q.AheadOf(1), q.AheadOf(2)}, qt.DeepEquals, []int{1, 3, 3})
	q.Leave(urgent)
	q.Leave(first)
	qt.Assert(t, q.Ahead(second), qt.Equals, 0)
}

// Guards against a request whose remaining servers have no room and that holds up those behind it,
// which may use others.
func TestBlockedRequestHoldsUpNoOthers(t *testing.T) {
	var q LimitQueue
	blocked, second := q.Join(0), q.Join(1)
	blocked.BlockedUntil = atMillis(100)
	qt.Assert(t, q.IsNext(second, 1, atMillis(50)), qt.IsTrue)
	qt.Assert(t, q.IsNext(nil, 1, atMillis(50)), qt.IsFalse)
	qt.Assert(t, q.IsNext(second, 1, atMillis(100)), qt.IsFalse)
	qt.Assert(t, q.IsNext(blocked, 0, atMillis(50)), qt.IsTrue)
	qt.Assert(t, q.IsNext(nil, 0, atMillis(100)), qt.IsFalse)
}
