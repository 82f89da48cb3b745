package e2e

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

const (
	// resumeTarget is the longest pause in an output that a failure may cause.
	resumeTarget = 5 * time.Second
	// outputTokens is the number of tokens of an output; a caller gives up after
	// outputTimeout.
	outputTokens  = 150
	outputTimeout = 60 * time.Second
)

// generationResult is the output of one generation, or the error that ended it.
type generationResult struct {
	output *completionOutput
	prompt string
	err    error
}

// generateAll starts n generations. Each caller begins at a different entry
// instance: those of the given data centre are taken first, then the others,
// then the first ones again.
func (d *deployment) generateAll(n int, organisation, rank, dataCentre string) <-chan generationResult {
	results := make(chan generationResult, n)
	for i := range n {
		urls := d.callerURLs(dataCentre)
		offset := i % len(urls)
		urls = append(urls[offset:len(urls):len(urls)], urls[:offset]...)
		prompt := fmt.Sprintf("prompt %d of %s", i, organisation)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), outputTimeout)
			defer cancel()
			output, err := newCaller(organisation, urls).generate(ctx, rank, prompt, outputTokens)
			results <- generationResult{output, prompt, err}
		}()
	}
	return results
}

// checkOutput fails the test unless the output is complete, with no token
// missing, repeated or from another generation.
func checkOutput(t testing.TB, r generationResult) {
	t.Helper()
	if r.err != nil {
		t.Errorf("generation of %q failed after %d tokens and %d reconnects: %v", r.prompt, len(r.output.tokens), r.output.reconnects, r.err)
		return
	}
	if len(r.output.tokens) != outputTokens {
		t.Errorf("output of %q has %d of %d tokens", r.prompt, len(r.output.tokens), outputTokens)
	}
	if err := standin.VerifyTokens(r.prompt, generation.Seed(r.output.streamID), r.output.tokens); err != nil {
		t.Error(err)
	}
}

// checkPartialOutput checks the delivered part of the output of a lost generation.
func checkPartialOutput(t testing.TB, r generationResult) {
	t.Helper()
	var broken *protocolViolation
	if errors.As(r.err, &broken) {
		t.Error(broken)
	}
	t.Logf("generation lost after %d tokens and %d reconnects: %v", len(r.output.tokens), r.output.reconnects, r.err)
	if err := standin.VerifyTokens(r.prompt, generation.Seed(r.output.streamID), r.output.tokens); err != nil {
		t.Error(err)
	}
}

// collect checks n outputs and returns the longest gap between two tokens.
func collect(t testing.TB, results <-chan generationResult, n int) time.Duration {
	t.Helper()
	var longest time.Duration
	for range n {
		r := <-results
		checkOutput(t, r)
		longest = max(longest, r.output.longestGap)
	}
	t.Logf("%d outputs, longest gap between tokens %s (target %s)", n, longest.Round(time.Millisecond), resumeTarget)
	return longest
}

// testUnderFault streams 20 outputs, injects a fault in the middle of them and
// checks all of them.
func testUnderFault(t *testing.T, fault func(d *deployment)) {
	t.Helper()
	d := startDeployment(t, smallTopology())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(time.Second)
	fault(d)
	collect(t, results, n)
}

// Guards against failures of the whole path from caller to engine without any fault.
func TestWholePath(t *testing.T) { testUnderFault(t, func(*deployment) {}) }

// Guards against tokens lost, repeated or mixed when engines are killed early, in
// the middle and late in an output.
func TestEngineKilled(t *testing.T) {
	testUnderFault(t, func(d *deployment) {
		for _, engineIndex := range []int{0, 2, 3} {
			d.engines[engineIndex].kill()
			time.Sleep(900 * time.Millisecond)
		}
	})
}

// Guards against late tokens of an engine that was frozen while another engine
// continued its generations.
func TestEngineFrozenAndBack(t *testing.T) {
	testUnderFault(t, func(d *deployment) {
		d.engines[0].freeze()
		time.Sleep(2500 * time.Millisecond)
		d.engines[0].thaw()
	})
}

// Guards against lost output when the entry instance that serves callers is killed.
func TestEntryKilled(t *testing.T) {
	testUnderFault(t, func(d *deployment) { d.entries[0].kill() })
}

// Guards against the loss of output that was held only by the two killed processes.
func TestEntryAndEngineKilled(t *testing.T) {
	testUnderFault(t, func(d *deployment) {
		d.entries[0].kill()
		d.engines[0].kill()
	})
}

// Guards against an owner that is thawed and sends tokens although another
// instance has taken over its streams.
func TestEntryFrozenAndBack(t *testing.T) {
	testUnderFault(t, func(d *deployment) {
		d.entries[0].freeze()
		time.Sleep(4 * time.Second)
		d.entries[0].thaw()
	})
}

// Guards against waiting forever on established connections that deliver no more
// data, while new connections work.
func TestConnectionsSilent(t *testing.T) {
	testUnderFault(t, func(d *deployment) {
		connections := 0
		for _, e := range d.engines {
			connections += e.proxy.Blackhole()
		}
		for _, e := range d.entries {
			connections += e.proxy.Blackhole()
		}
		if connections == 0 {
			t.Fatal("no connection was open")
		}
	})
}

// Guards against a data centre that cannot serve requests while it is partitioned
// from the others, and against lost streams whose holder is on the other side.
func TestDataCentreCutOff(t *testing.T) {
	d := startDeployment(t, smallTopology())
	const n = 10
	startedBefore := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(time.Second)
	d.partition("a")
	collect(t, startedBefore, n)
	startedDuring := d.generateAll(n, "small", document.Patient, "a")
	collect(t, startedDuring, n)
	d.healPartition()
	collect(t, d.generateAll(n, "small", document.Patient, "b"), n)
}
