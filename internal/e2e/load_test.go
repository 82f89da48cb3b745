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

// currentLoad requests the load report of the engine.
func (b *backendServer) currentLoad() (engine.LoadReport, error) {
	var load engine.LoadReport
	response, err := http.Get("http://" + b.address + "/v1/load")
	if err != nil {
		return load, err
	}
	defer response.Body.Close()
	return load, json.NewDecoder(response.Body).Decode(&load)
}

// leaveTarget is the time within which all entry instances must stop sending new
// work to a leaving backend server.
const leaveTarget = 2 * time.Second

// Guards against new work for a backend server that is leaving, while it still
// runs a long stream.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s := smallTopology()
	s.engines = []int{1, 1, 1}
	d := startDeployment(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = newCaller("large", d.callerURLs("a")).generate(ctx, "", "a long one", 4000) }()
	leavingEngine := d.engines[0]
	eventually(t, 5*time.Second, "the long stream runs", func() error {
		if load, err := leavingEngine.currentLoad(); err != nil || load.Running != 1 {
			return fmt.Errorf("load %+v, %w", load, errors.Join(err, errors.New("not one stream")))
		}
		return nil
	})
	leavingEngine.signal(syscall.SIGTERM)
	time.Sleep(leaveTarget)
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	for range 50 {
		if load, err := leavingEngine.currentLoad(); err != nil || load.Running > 1 {
			t.Fatalf("the leaving engine runs %d streams, %v", load.Running, err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	collect(t, results, n)
}

// loadStats counts the results of a group of callers in a flood.
type loadStats struct {
	mu                sync.Mutex
	answered          int
	refused           int
	timesToFirstToken []time.Duration
}

func (s *loadStats) record(output *completionOutput, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.refused++
		return
	}
	s.answered++
	s.timesToFirstToken = append(s.timesToFirstToken, output.timeToFirstToken)
}

func (s *loadStats) quantile(q float64) time.Duration {
	if len(s.timesToFirstToken) == 0 {
		return 0
	}
	slices.Sort(s.timesToFirstToken)
	return s.timesToFirstToken[int(q*float64(len(s.timesToFirstToken)-1))].Round(time.Millisecond)
}

func (s *loadStats) String() string {
	return fmt.Sprintf("%d answered, %d refused, first token p50 %s p95 %s", s.answered, s.refused, s.quantile(0.5), s.quantile(0.95))
}

// sustainLoad runs n callers of an organisation, each with one request at a time,
// until ctx ends. It checks every output, and that every refusal has the outcome
// "not_run" and a Retry-After header.
func (d *deployment) sustainLoad(ctx context.Context, wg *sync.WaitGroup, stats *loadStats, organisation, rank string, n int) {
	const tokens = 30
	urls := d.callerURLs("a")
	for i := range n {
		wg.Go(func() {
			c := newCaller(organisation, append(urls[i%len(urls):len(urls):len(urls)], urls[:i%len(urls)]...))
			for sequence := 0; ctx.Err() == nil; sequence++ {
				prompt := fmt.Sprintf("%s %s %d %d", organisation, rank, i, sequence)
				output, err := c.generate(ctx, rank, prompt, tokens)
				if ctx.Err() != nil {
					return
				}
				stats.record(output, err)
				if err != nil {
					d.checkErrorResponse(err)
					time.Sleep(200 * time.Millisecond)
				} else if err := standin.VerifyTokens(prompt, generation.Seed(output.streamID), output.tokens); err != nil || len(output.tokens) != tokens {
					d.t.Errorf("%d tokens, %v", len(output.tokens), err)
				}
			}
		})
	}
}

func (d *deployment) checkErrorResponse(err error) {
	var errResponse *errorResponse
	if !errors.As(err, &errResponse) {
		d.t.Errorf("failed without an error response: %v", err)
		return
	}
	retryAfterSeconds, parseErr := strconv.Atoi(errResponse.retryAfter)
	if errResponse.Details.Outcome != "not_run" || parseErr != nil || retryAfterSeconds < 1 {
		d.t.Errorf("error response %v with Retry-After %q", errResponse, errResponse.retryAfter)
	}
}

// runFlood runs a flood of one rank from a large organisation, at about 5 times
// the capacity of the engines, and requests of both ranks from a small one.
func runFlood(t testing.TB, policy, rank string) map[string]*loadStats {
	s := smallTopology()
	s.engines, s.services, s.slots = []int{1, 1, 1}, []int{0, 0, 0}, 4
	s.editEntry = func(e *settings.Entry) { e.Policy = policy }
	d := startDeployment(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	results := map[string]*loadStats{"flood": {}, "small urgent": {}, "small patient": {}}
	var wg sync.WaitGroup
	d.sustainLoad(ctx, &wg, results["flood"], "large", rank, 60)
	time.Sleep(time.Second)
	d.sustainLoad(ctx, &wg, results["small urgent"], "small", document.Urgent, 2)
	d.sustainLoad(ctx, &wg, results["small patient"], "small", document.Patient, 2)
	wg.Wait()
	for _, name := range []string{"flood", "small urgent", "small patient"} {
		t.Logf("%s, %s flood: %s: %s", policy, rank, name, results[name])
	}
	return results
}

// Guards against a flood that starves urgent requests or small organisations,
// and against wrong outputs or refusals during a flood. The fifo policy is the
// baseline that the fair policy is compared with.
func TestFloods(t *testing.T) {
	for _, rank := range []string{document.Patient, document.Urgent} {
		fairStats, fifoStats := runFlood(t, "fair", rank), runFlood(t, "fifo", rank)
		for name, stats := range fairStats {
			if stats.answered == 0 {
				t.Errorf("%s flood: %s got no answer", rank, name)
			}
		}
		if fairStats["small urgent"].answered < fifoStats["small urgent"].answered {
			t.Errorf("%s flood: the small organisation got fewer urgent answers (%d) than under fifo (%d)",
				rank, fairStats["small urgent"].answered, fifoStats["small urgent"].answered)
		}
	}
}
