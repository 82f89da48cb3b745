package orders

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("11")
	}
	os.Exit(m.Run())
}

var (
	startTime  = time.Unix(1_000_000, 0)
	testConfig = PlannerConfig{
		LeaseMargin: 1300 * time.Millisecond, OrderTimeout: time.Second, LoadTimeout: 5 * time.Second,
		LoadsPerSecond: 2, LoadBurst: 3,
	}
)

const testLeaseDuration = 10 * time.Second

func testBackend(i int, dataCentre string, loaded ...string) Backend {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 2), byte(i)}), 9000)
	return Backend{ID: fmt.Sprint("e", i), Address: address, DataCentre: dataCentre, Loaded: loaded, AnnouncedAt: startTime}
}

func documentOf(rules ...document.PlacementRule) *document.Document {
	d := document.Empty()
	for _, s := range []string{"x", "y"} {
		d.Services[s] = document.Service{Kind: document.KindGeneration}
	}
	for i, r := range rules {
		d.Placements[fmt.Sprint("rule", i)] = r
	}
	return d
}

// Guards against an order to an engine that ignores fencing numbers before the
// lease of the previous holder and the margin have passed, and against a wait that
// is not needed.
func TestWaitForOldOwner(t *testing.T) {
	previousLeaseEnd := testLeaseDuration + testConfig.LeaseMargin
	afterRefill := 2 * time.Second // the token bucket for loads starts empty
	checks := document.PlacementRule{Services: []string{"x"}, Replicas: 1, ChecksFencing: true}
	ignores := document.PlacementRule{Services: []string{"x"}, Replicas: 1}
	for _, test := range []struct {
		name   string
		rules  []document.PlacementRule
		fence  uint64
		after  time.Duration
		orders int
	}{
		{"checks the number", []document.PlacementRule{checks}, 2, afterRefill, 1},
		{"ignores the number, just before", []document.PlacementRule{ignores}, 2, previousLeaseEnd - 1, 0},
		{"ignores the number, after", []document.PlacementRule{ignores}, 2, previousLeaseEnd, 1},
		{"ignores the number, first holder", []document.PlacementRule{ignores}, 1, afterRefill, 1},
		{"one of two rules says that it ignores it", []document.PlacementRule{ignores, checks}, 2, previousLeaseEnd - 1, 0},
		{"current lease expired", []document.PlacementRule{checks}, 2, time.Hour, 0},
	} {
		p := NewPlanner(testConfig)
		lease := Lease{Fence: test.fence, GrantedAt: startTime, MaxPreviousDuration: testLeaseDuration, ExpiresAt: startTime.Add(time.Minute)}
		doc, backends := documentOf(test.rules...), []Backend{testBackend(1, "north")}
		qt.Check(t, p.Plan(startTime, lease, doc, backends), qt.HasLen, 0, qt.Commentf(test.name))
		qt.Check(t, p.Plan(startTime.Add(test.after), lease, doc, backends), qt.HasLen, test.orders, qt.Commentf(test.name))
	}
}

// Guards against missing replicas that are never loaded, replicas that are unloaded
// although a rule needs them, orders that never cease, and loads above the limits.
func TestPlacementConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []document.PlacementRule
		for range rapid.IntRange(1, 3).Draw(t, "rules") {
			rules = append(rules, document.PlacementRule{
				Services: rapid.SampledFrom([][]string{{"x"}, {"y"}, {"x", "y"}}).Draw(t, "services"),
				Networks: rapid.SampledFrom([][]string{nil, {"10.0.0.0/24"}}).Draw(t, "networks"),
				Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"), ChecksFencing: true,
			})
		}
		doc, p := documentOf(rules...), NewPlanner(testConfig)
		var backends []Backend
		for i := range rapid.IntRange(1, 6).Draw(t, "backends") {
			loaded := rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "loaded")
			backends = append(backends, testBackend(i, rapid.SampledFrom([]string{"north", "south"}).Draw(t, "data centre"), loaded...))
		}
		lease := Lease{Fence: 3, GrantedAt: startTime, MaxPreviousDuration: testLeaseDuration, ExpiresAt: startTime.Add(time.Hour)}
		now, loads, lastOrderAt := startTime, 0, startTime
		for ; now.Sub(startTime) < 2*time.Minute; now = now.Add(100 * time.Millisecond) {
			for _, o := range p.Plan(now, lease, doc, backends) {
				lastOrderAt = now
				if o.Action == Load {
					loads++
				}
				if !rapid.Bool().Draw(t, "lost") || now.Sub(startTime) > time.Minute {
					applyOrder(backends, o, now.Add(50*time.Millisecond))
				}
			}
			if maxLoads := float64(testConfig.LoadBurst) + testConfig.LoadsPerSecond*now.Sub(startTime).Seconds(); float64(loads) > maxLoads {
				t.Fatalf("%d loads after %s", loads, now.Sub(startTime))
			}
		}
		if now.Sub(lastOrderAt) < 30*time.Second {
			t.Fatalf("orders were still planned in the last 30 seconds")
		}
		checkGoals(t, rules, backends)
	})
}

func applyOrder(backends []Backend, o Order, now time.Time) {
	i := slices.IndexFunc(backends, func(b Backend) bool { return b.ID == o.BackendID })
	b := &backends[i]
	b.AnnouncedAt = now
	b.Loaded = slices.DeleteFunc(slices.Clone(b.Loaded), func(s string) bool { return s == o.Target })
	if o.Action == Load {
		b.Loaded = append(b.Loaded, o.Target)
	}
}

func checkGoals(t *rapid.T, rules []document.PlacementRule, backends []Backend) {
	for _, rule := range rules {
		for _, service := range rule.Services {
			for _, dataCentre := range []string{"north", "south"} {
				eligible, loaded := 0, 0
				for i := range backends {
					if b := &backends[i]; b.DataCentre == dataCentre && matches(rule, b) {
						eligible++
						if slices.Contains(b.Loaded, service) {
							loaded++
						}
					}
				}
				if required := min(rule.Replicas, eligible); loaded < required || len(rules) == 1 && required > 0 && loaded > required {
					t.Fatalf("%d of %d eligible servers in %s have loaded %s, the rule requires %d", loaded, eligible, dataCentre, service, rule.Replicas)
				}
			}
		}
	}
}

// controlInstance is one control instance, whose clock drifts by up to 1%.
type controlInstance struct {
	planner *Planner
	offset  time.Duration
	drift   float64
	lease   Lease
	// The request in transit. sentAt, appliedAt (when it reaches the log) and
	// respondedAt are times in the simulation.
	sentAt, appliedAt, respondedAt time.Duration
	expectedFence                  uint64
	renew, granted, requestPending bool
	frozenUntil                    time.Duration
}

func (o *controlInstance) localTime(t time.Duration) time.Time {
	return startTime.Add(o.offset + t + time.Duration(o.drift*float64(t)))
}

// Guards against orders of two lease holders at the same time to an engine that ignores
// fencing numbers: no order of a previous holder may be in transit once a new
// holder has sent an order.
func TestOwnersNeverOverlap(t *testing.T) {
	orders, holderChanges := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// Integers that rapid draws are mostly small; the schedule needs evenly
		// distributed ones.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		cfg := testConfig
		// In this simulation no order is in transit after its deadline, so the margin
		// covers the drift only.
		cfg.LeaseMargin = 250 * time.Millisecond
		cfg.LoadTimeout, cfg.LoadsPerSecond = 100*time.Millisecond, 1000
		doc, backends := documentOf(document.PlacementRule{Services: []string{"x"}, Replicas: 1}), []Backend{testBackend(1, "north")}
		var instances []*controlInstance
		for range 3 {
			instances = append(instances, &controlInstance{
				planner: NewPlanner(cfg), drift: (rng.Float64() - 0.5) / 50,
				offset: time.Duration(rng.Int64N(1e12)),
			})
		}
		currentFence, holder := uint64(0), (*controlInstance)(nil)
		newestFence, lastDeadline := uint64(0), time.Duration(0)
		for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
			o := instances[rng.IntN(3)]
			for _, o := range instances {
				if o.requestPending && o.appliedAt <= now && !o.granted && o.expectedFence == currentFence && (!o.renew || holder == o) {
					if o.granted = true; !o.renew {
						currentFence, holder = currentFence+1, o
					}
				}
			}
			if now < o.frozenUntil {
				continue
			}
			o.receiveResponse(now)
			switch action := rng.IntN(1000); {
			case action < 4:
				o.frozenUntil = now + 15*time.Second
			case action < 400 && !o.requestPending && (holder == o || action < 10):
				delay := time.Duration(rng.IntN(2)*rng.IntN(3000)) * time.Millisecond
				*o = controlInstance{
					planner: o.planner, offset: o.offset, drift: o.drift, lease: o.lease, requestPending: true, renew: holder == o && o.lease.Fence == currentFence,
					expectedFence: currentFence, sentAt: now, appliedAt: now + delay/2, respondedAt: now + delay,
				}
			}
			for _, order := range o.planner.Plan(o.localTime(now), o.lease, doc, backends) {
				orders++
				if order.Fence < newestFence || order.Fence > newestFence && now <= lastDeadline {
					t.Fatalf("at %s an order under lease %d was sent, an order under lease %d can be in transit until %s", now, order.Fence, newestFence, lastDeadline)
				}
				if order.Fence > newestFence && newestFence > 0 {
					holderChanges++
				}
				newestFence = order.Fence
				remaining := float64(order.Deadline.Sub(o.localTime(now))) / (1 + o.drift)
				lastDeadline = max(lastDeadline, now+time.Duration(remaining))
			}
		}
	})
	qt.Assert(t, orders > 1000 && holderChanges > 50, qt.IsTrue, qt.Commentf("%d orders, %d changes of the lease holder", orders, holderChanges))
}

// receiveResponse processes the result of the request in transit.
func (o *controlInstance) receiveResponse(now time.Duration) {
	if !o.requestPending || now < o.respondedAt {
		return
	}
	o.requestPending = false
	if !o.granted {
		return
	}
	o.granted = false
	if !o.renew {
		o.lease = Lease{Fence: o.expectedFence + 1, GrantedAt: o.localTime(now), MaxPreviousDuration: testLeaseDuration}
	}
	o.lease.ExpiresAt = o.localTime(o.sentAt).Add(testLeaseDuration)
}
