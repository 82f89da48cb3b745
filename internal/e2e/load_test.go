package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

func (b *backend) load() (engine.Load, error) {
	var l engine.Load
	response, err := http.Get("http://" + b.address + "/v1/load")
	if err != nil {
		return l, err
	}
	defer response.Body.Close()
	return l, json.NewDecoder(response.Body).Decode(&l)
}

// leavingTarget is the stated time after which a leaving backend server gets no
// new work at any entry instance.
const leavingTarget = 2 * time.Second

// Guards against new work for a backend server that is leaving while it still
// finishes a long stream and goes on announcing itself.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s := small()
	s.engines = []int{1, 1, 1}
	d := startDeployment(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = newCaller("large", d.callerURLs("a")).generate(ctx, "", "a long one", 4000) }()
	leaving := d.engines[0]
	eventually(t, 5*time.Second, "the long stream runs", func() error {
		if l, err := leaving.load(); err != nil || l.Running != 1 {
			return fmt.Errorf("load %+v, %w", l, errors.Join(err, errors.New("not one stream")))
		}
		return nil
	})
	leaving.signal(syscall.SIGTERM)
	time.Sleep(leavingTarget)
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	for range 50 {
		if l, err := leaving.load(); err != nil || l.Running > 1 {
			t.Fatalf("the leaving engine runs %d streams, %v", l.Running, err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	collect(t, results, n)
}

// flood is the result of one rank or organisation in a flood.
type flood struct {
	mu         sync.Mutex
	answered   int
	refused    int
	firstToken []time.Duration
}

func (f *flood) add(a *answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.refused++
		return
	}
	f.answered++
	f.firstToken = append(f.firstToken, a.firstToken)
}

func (f *flood) quantile(q float64) time.Duration {
	if len(f.firstToken) == 0 {
		return 0
	}
	slices.Sort(f.firstToken)
	return f.firstToken[int(q*float64(len(f.firstToken)-1))].Round(time.Millisecond)
}

func (f *flood) String() string {
	return fmt.Sprintf("%d answered, %d refused, first token p50 %s p95 %s", f.answered, f.refused, f.quantile(0.5), f.quantile(0.95))
}

// sustain keeps n callers of an organisation busy until ctx ends. Every answer
// is checked; every refusal must be "not run" with a Retry-After.
func (d *deployment) sustain(ctx context.Context, wait *sync.WaitGroup, f *flood, organisation, rank string, n int) {
	const tokens = 30
	urls := d.callerURLs("a")
	for i := range n {
		wait.Go(func() {
			c := newCaller(organisation, append(urls[i%len(urls):len(urls):len(urls)], urls[:i%len(urls)]...))
			for number := 0; ctx.Err() == nil; number++ {
				prompt := fmt.Sprintf("%s %s %d %d", organisation, rank, i, number)
				a, err := c.generate(ctx, rank, prompt, tokens)
				if ctx.Err() != nil {
					return
				}
				f.add(a, err)
				if err != nil {
					d.checkRefusal(err)
					time.Sleep(200 * time.Millisecond)
				} else if err := standin.Verify(prompt, generation.Seed(a.stream), a.tokens); err != nil || len(a.tokens) != tokens {
					d.t.Errorf("%d tokens, %v", len(a.tokens), err)
				}
			}
		})
	}
}

func (d *deployment) checkRefusal(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		d.t.Errorf("failed without a refusal: %v", err)
		return
	}
	after, parseErr := strconv.Atoi(r.retryAfter)
	if r.Error_.Outcome != "not_run" || parseErr != nil || after < 1 {
		d.t.Errorf("refusal %v with Retry-After %q", r, r.retryAfter)
	}
}

// runFlood runs a large organisation's flood of one rank at about 5 times what
// the engines carry, beside a small organisation's work of both ranks.
func runFlood(t testing.TB, policy, rank string) map[string]*flood {
	s := small()
	s.engines, s.services, s.slots = []int{1, 1, 1}, []int{0, 0, 0}, 4
	s.edit = func(e *settings.Entry) { e.Policy = policy }
	d := startDeployment(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	results := map[string]*flood{"flood": {}, "small urgent": {}, "small patient": {}}
	var wait sync.WaitGroup
	d.sustain(ctx, &wait, results["flood"], "large", rank, 60)
	time.Sleep(time.Second)
	d.sustain(ctx, &wait, results["small urgent"], "small", document.Urgent, 2)
	d.sustain(ctx, &wait, results["small patient"], "small", document.Patient, 2)
	wait.Wait()
	for _, name := range []string{"flood", "small urgent", "small patient"} {
		t.Logf("%s, %s flood: %s: %s", policy, rank, name, results[name])
	}
	return results
}

// Guards against urgent work and small organisations starved by a flood, and
// against wrong answers or dishonest refusals in one. The fifo policy runs in
// the same test as the baseline.
func TestFloods(t *testing.T) {
	for _, rank := range []string{document.Patient, document.Urgent} {
		fair, fifo := runFlood(t, "fair", rank), runFlood(t, "fifo", rank)
		for name, f := range fair {
			if f.answered == 0 {
				t.Errorf("%s flood: %s got no answer", rank, name)
			}
		}
		if fair["small urgent"].answered < fifo["small urgent"].answered {
			t.Errorf("%s flood: the small organisation got fewer urgent answers (%d) than under fifo (%d)",
				rank, fair["small urgent"].answered, fifo["small urgent"].answered)
		}
	}
}
