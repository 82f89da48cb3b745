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
	start  = time.Unix(1_000_000, 0)
	config = Config{
		Margin: 1300 * time.Millisecond, OrderTimeout: time.Second, LoadTimeout: 5 * time.Second,
		LoadsPerSecond: 2, LoadBurst: 3,
	}
)

const leaseTime = 10 * time.Second

func backend(i int, site string, loaded ...string) Backend {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 2), byte(i)}), 9000)
	return Backend{ID: fmt.Sprint("e", i), Address: address, DataCentre: site, Loaded: loaded, Seen: start}
}

func documentOf(rules ...document.Placement) *document.Document {
	d := document.Empty()
	for _, s := range []string{"x", "y"} {
		d.Services[s] = document.Service{Kind: document.Generation}
	}
	for i, r := range rules {
		d.Placements[fmt.Sprint("rule", i)] = r
	}
	return d
}

// Guards against an order to an engine that ignores fencing numbers before the
// old owner's lease and the margin have passed, and against a wait where none is needed.
func TestWaitForOldOwner(t *testing.T) {
	wait := leaseTime + config.Margin
	late := 2 * time.Second // the allowance for loads starts empty
	checks := document.Placement{Services: []string{"x"}, Replicas: 1, ChecksFencing: true}
	ignores := document.Placement{Services: []string{"x"}, Replicas: 1}
	for _, test := range []struct {
		name   string
		rules  []document.Placement
		fence  uint64
		after  time.Duration
		orders int
	}{
		{"checks the number", []document.Placement{checks}, 2, late, 1},
		{"ignores the number, just before", []document.Placement{ignores}, 2, wait - 1, 0},
		{"ignores the number, after", []document.Placement{ignores}, 2, wait, 1},
		{"ignores the number, first owner", []document.Placement{ignores}, 1, late, 1},
		{"one of two rules says that it ignores it", []document.Placement{ignores, checks}, 2, wait - 1, 0},
		{"own lease over", []document.Placement{checks}, 2, time.Hour, 0},
	} {
		p := New(config)
		lease := Lease{Fence: test.fence, Granted: start, Longest: leaseTime, Expires: start.Add(time.Minute)}
		doc, backends := documentOf(test.rules...), []Backend{backend(1, "north")}
		qt.Check(t, p.Plan(start, lease, doc, backends), qt.HasLen, 0, qt.Commentf(test.name))
		qt.Check(t, p.Plan(start.Add(test.after), lease, doc, backends), qt.HasLen, test.orders, qt.Commentf(test.name))
	}
}

// Guards against wanted replicas that never come, replicas that go although a
// rule needs them, orders without end and loads above the rate of the store.
func TestPlacementConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []document.Placement
		for range rapid.IntRange(1, 3).Draw(t, "rules") {
			rules = append(rules, document.Placement{
				Services: rapid.SampledFrom([][]string{{"x"}, {"y"}, {"x", "y"}}).Draw(t, "services"),
				Networks: rapid.SampledFrom([][]string{nil, {"10.0.0.0/24"}}).Draw(t, "networks"),
				Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"), ChecksFencing: true,
			})
		}
		doc, p := documentOf(rules...), New(config)
		var backends []Backend
		for i := range rapid.IntRange(1, 6).Draw(t, "backends") {
			loaded := rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "loaded")
			backends = append(backends, backend(i, rapid.SampledFrom([]string{"north", "south"}).Draw(t, "site"), loaded...))
		}
		lease := Lease{Fence: 3, Granted: start, Longest: leaseTime, Expires: start.Add(time.Hour)}
		now, loads, last := start, 0, start
		for ; now.Sub(start) < 2*time.Minute; now = now.Add(100 * time.Millisecond) {
			for _, o := range p.Plan(now, lease, doc, backends) {
				last = now
				if o.Action == Load {
					loads++
				}
				if !rapid.Bool().Draw(t, "lost") || now.Sub(start) > time.Minute {
					carryOut(backends, o, now.Add(50*time.Millisecond))
				}
			}
			if most := float64(config.LoadBurst) + config.LoadsPerSecond*now.Sub(start).Seconds(); float64(loads) > most {
				t.Fatalf("%d loads after %s", loads, now.Sub(start))
			}
		}
		if now.Sub(last) < 30*time.Second {
			t.Fatalf("still ordering at the end")
		}
		checkGoals(t, rules, backends)
	})
}

func carryOut(backends []Backend, o Order, now time.Time) {
	i := slices.IndexFunc(backends, func(b Backend) bool { return b.ID == o.Backend })
	b := &backends[i]
	b.Seen = now
	b.Loaded = slices.DeleteFunc(slices.Clone(b.Loaded), func(s string) bool { return s == o.Target })
	if o.Action == Load {
		b.Loaded = append(b.Loaded, o.Target)
	}
}

func checkGoals(t *rapid.T, rules []document.Placement, backends []Backend) {
	for _, rule := range rules {
		for _, service := range rule.Services {
			for _, site := range []string{"north", "south"} {
				eligible, carrying := 0, 0
				for i := range backends {
					if b := &backends[i]; b.DataCentre == site && matches(rule, b) {
						eligible++
						if slices.Contains(b.Loaded, service) {
							carrying++
						}
					}
				}
				if wanted := min(rule.Replicas, eligible); carrying < wanted || len(rules) == 1 && wanted > 0 && carrying > wanted {
					t.Fatalf("%d of %d servers in %s carry %s, wanted %d", carrying, eligible, site, service, rule.Replicas)
				}
			}
		}
	}
}

// owner is one control instance with a clock that runs up to 1% wrong.
type owner struct {
	planner *Planner
	offset  time.Duration
	drift   float64
	lease   Lease
	// The request under way: sent and applied (when it reaches the log) and
	// answered are times in the simulation.
	sent, applied, answered time.Duration
	number                  uint64
	renew, granted, busy    bool
	frozen                  time.Duration
}

func (o *owner) clock(t time.Duration) time.Time {
	return start.Add(o.offset + t + time.Duration(o.drift*float64(t)))
}

// Guards against two owners that act on the same engine at once where it
// ignores fencing numbers: no order of an old owner may be under way once a new
// one has sent an order.
func TestOwnersNeverOverlap(t *testing.T) {
	acted, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// Draws of rapid prefer small numbers; the schedule needs even ones.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		quick := config
		// Deadlines end with the lease here, so the margin covers the drift only.
		quick.Margin = 250 * time.Millisecond
		quick.LoadTimeout, quick.LoadsPerSecond = 100*time.Millisecond, 1000
		doc, backends := documentOf(document.Placement{Services: []string{"x"}, Replicas: 1}), []Backend{backend(1, "north")}
		var owners []*owner
		for range 3 {
			owners = append(owners, &owner{
				planner: New(quick), drift: (random.Float64() - 0.5) / 50,
				offset: time.Duration(random.Int64N(1e12)),
			})
		}
		number, holder := uint64(0), (*owner)(nil)
		newest, oldEnd := uint64(0), time.Duration(0)
		for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
			o := owners[random.IntN(3)]
			for _, o := range owners {
				if o.busy && o.applied <= now && !o.granted && o.number == number && (!o.renew || holder == o) {
					if o.granted = true; !o.renew {
						number, holder = number+1, o
					}
				}
			}
			if now < o.frozen {
				continue
			}
			o.answer(now)
			switch action := random.IntN(1000); {
			case action < 4:
				o.frozen = now + 15*time.Second
			case action < 400 && !o.busy && (holder == o || action < 10):
				delay := time.Duration(random.IntN(2)*random.IntN(3000)) * time.Millisecond
				*o = owner{
					planner: o.planner, offset: o.offset, drift: o.drift, lease: o.lease, busy: true, renew: holder == o && o.lease.Fence == number,
					number: number, sent: now, applied: now + delay/2, answered: now + delay,
				}
			}
			for _, order := range o.planner.Plan(o.clock(now), o.lease, doc, backends) {
				acted++
				if order.Fence < newest || order.Fence > newest && now <= oldEnd {
					t.Fatalf("at %s lease %d acts, lease %d acted until %s", now, order.Fence, newest, oldEnd)
				}
				if order.Fence > newest && newest > 0 {
					changes++
				}
				newest = order.Fence
				left := float64(order.Deadline.Sub(o.clock(now))) / (1 + o.drift)
				oldEnd = max(oldEnd, now+time.Duration(left))
			}
		}
	})
	qt.Assert(t, acted > 1000 && changes > 50, qt.IsTrue, qt.Commentf("%d orders, %d changes of the acting owner", acted, changes))
}

// answer delivers the result of the request under way.
func (o *owner) answer(now time.Duration) {
	if !o.busy || now < o.answered {
		return
	}
	o.busy = false
	if !o.granted {
		return
	}
	o.granted = false
	if !o.renew {
		o.lease = Lease{Fence: o.number + 1, Granted: o.clock(now), Longest: leaseTime}
	}
	o.lease.Expires = o.clock(o.sent).Add(leaseTime)
}
