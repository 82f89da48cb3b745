package e2e

import (
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Guards against requests cut by the planned stop of an entry instance, and
// against a process that does not exit with status 0.
func TestEntryPlannedStop(t *testing.T) {
	d := startDeployment(t, small())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(500 * time.Millisecond)
	started := time.Now()
	if err := d.entries[0].terminate(answerLimit); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	t.Logf("the stop took %s", time.Since(started).Round(time.Millisecond))
	reconnects := 0
	for range n {
		r := <-results
		checkAnswer(t, r)
		reconnects += r.answer.reconnects
	}
	if reconnects != 0 {
		t.Errorf("the planned stop cut %d connections", reconnects)
	}
}

// Guards against new work for an engine that is leaving, and against streams
// cut by its planned stop.
func TestEnginePlannedStop(t *testing.T) {
	d := startDeployment(t, small())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(500 * time.Millisecond)
	if err := d.engines[0].terminate(answerLimit); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if gap := collect(t, results, n); gap > time.Second {
		t.Errorf("the planned stop of an engine paused an answer for %s", gap)
	}
}

// Guards against a control instance that does not stop, or that takes accepted
// changes with it.
func TestControlPlannedStop(t *testing.T) {
	d := startDeployment(t, fiveControl())
	done := d.changes("org", 20, 10, func() {
		if err := d.leader().terminate(10 * time.Second); err != nil {
			t.Errorf("planned stop: %v", err)
		}
	})
	d.checkAccepted(done)
}
