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
	// resumeTarget is the stated limit for output to go on after a loss.
	resumeTarget = 5 * time.Second
	answerTokens = 150
	answerLimit  = 60 * time.Second
)

// result is the end of one answer.
type result struct {
	answer *answer
	prompt string
	err    error
}

// generateAll starts n streamed answers in the given data centre.
func (d *deployment) generateAll(n int, organisation, rank, dataCentre string) <-chan result {
	results := make(chan result, n)
	for i := range n {
		urls := d.callerURLs(dataCentre)
		start := i % len(urls)
		urls = append(urls[start:len(urls):len(urls)], urls[:start]...)
		prompt := fmt.Sprintf("prompt %d of %s", i, organisation)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
			defer cancel()
			a, err := newCaller(organisation, urls).generate(ctx, rank, prompt, answerTokens)
			results <- result{a, prompt, err}
		}()
	}
	return results
}

// checkAnswer fails the test unless the answer is whole, with no token missing,
// repeated or from another generation.
func checkAnswer(t testing.TB, r result) {
	t.Helper()
	if r.err != nil {
		t.Errorf("answer failed after %d tokens and %d reconnects: %v", len(r.answer.tokens), r.answer.reconnects, r.err)
		return
	}
	if len(r.answer.tokens) != answerTokens {
		t.Errorf("answer has %d of %d tokens", len(r.answer.tokens), answerTokens)
	}
	if err := standin.Verify(r.prompt, generation.Seed(r.answer.stream), r.answer.tokens); err != nil {
		t.Error(err)
	}
}

// checkPrefix checks the delivered part of an answer that was lost.
func checkPrefix(t testing.TB, r result) {
	t.Helper()
	var broken *violation
	if errors.As(r.err, &broken) {
		t.Error(broken)
	}
	t.Logf("answer lost after %d tokens and %d reconnects: %v", len(r.answer.tokens), r.answer.reconnects, r.err)
	if err := standin.Verify(r.prompt, generation.Seed(r.answer.stream), r.answer.tokens); err != nil {
		t.Error(err)
	}
}

// collect checks n answers and returns the longest gap between two tokens.
func collect(t testing.TB, results <-chan result, n int) time.Duration {
	t.Helper()
	var longest time.Duration
	for range n {
		r := <-results
		checkAnswer(t, r)
		longest = max(longest, r.answer.longestGap)
	}
	t.Logf("%d answers, longest gap between tokens %s (target %s)", n, longest.Round(time.Millisecond), resumeTarget)
	return longest
}

// underFault streams 20 answers, causes a fault in the middle of them and
// checks them all.
func underFault(t *testing.T, fault func(d *deployment)) {
	t.Helper()
	d := startDeployment(t, small())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(time.Second)
	fault(d)
	collect(t, results, n)
}

// Guards against any break of the whole path without faults.
func TestWholePath(t *testing.T) { underFault(t, func(*deployment) {}) }

// Guards against tokens lost, repeated or mixed when engines die early, in the
// middle and late in an output.
func TestEngineKilled(t *testing.T) {
	underFault(t, func(d *deployment) {
		for _, victim := range []int{0, 2, 3} {
			d.engines[victim].kill()
			time.Sleep(900 * time.Millisecond)
		}
	})
}

// Guards against late tokens of an engine that was frozen while its work went
// on elsewhere.
func TestEngineFrozenAndBack(t *testing.T) {
	underFault(t, func(d *deployment) {
		d.engines[0].freeze()
		time.Sleep(2500 * time.Millisecond)
		d.engines[0].thaw()
	})
}

// Guards against lost output when the entry instance that serves callers dies.
func TestEntryKilled(t *testing.T) {
	underFault(t, func(d *deployment) { d.entries[0].kill() })
}

// Guards against output that only the two lost processes held.
func TestEntryAndEngineKilled(t *testing.T) {
	underFault(t, func(d *deployment) {
		d.entries[0].kill()
		d.engines[0].kill()
	})
}

// Guards against a frozen owner that wakes up and sends tokens beside the
// instance that took its streams over.
func TestEntryFrozenAndBack(t *testing.T) {
	underFault(t, func(d *deployment) {
		d.entries[0].freeze()
		time.Sleep(4 * time.Second)
		d.entries[0].thaw()
	})
}

// Guards against waiting for ever on connections that went silent while new
// ones work.
func TestConnectionsSilent(t *testing.T) {
	underFault(t, func(d *deployment) {
		silenced := 0
		for _, e := range d.engines {
			silenced += e.relay.silence()
		}
		for _, e := range d.entries {
			silenced += e.relay.silence()
		}
		if silenced == 0 {
			t.Fatal("no connection was silenced")
		}
	})
}

// Guards against a data centre that cannot serve while it is cut off, and
// against streams whose holder is on the other side.
func TestDataCentreCutOff(t *testing.T) {
	d := startDeployment(t, small())
	const n = 10
	before := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(time.Second)
	d.cutOff("a")
	collect(t, before, n)
	inside := d.generateAll(n, "small", document.Patient, "a")
	collect(t, inside, n)
	d.healAll()
	collect(t, d.generateAll(n, "small", document.Patient, "b"), n)
}
