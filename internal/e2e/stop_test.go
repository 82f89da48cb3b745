package e2e

import (
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Guards against a planned stop of an entry instance that breaks connections of
// callers, and against a process that does not exit with status 0.
func TestEntryPlannedStop(t *testing.T) {
	d := startDeployment(t, smallTopology())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(500 * time.Millisecond)
	started := time.Now()
	if err := d.entries[0].terminate(outputTimeout); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	t.Logf("the stop took %s", time.Since(started).Round(time.Millisecond))
	reconnects := 0
	for range n {
		r := <-results
		checkOutput(t, r)
		reconnects += r.output.reconnects
	}
	if reconnects != 0 {
		t.Errorf("the planned stop broke %d connections", reconnects)
	}
}

// Guards against new work for an engine that is leaving, and against a planned
// stop of an engine that breaks or pauses its streams.
func TestEnginePlannedStop(t *testing.T) {
	d := startDeployment(t, smallTopology())
	const n = 20
	results := d.generateAll(n, "small", document.Patient, "a")
	time.Sleep(500 * time.Millisecond)
	if err := d.engines[0].terminate(outputTimeout); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if gap := collect(t, results, n); gap > time.Second {
		t.Errorf("the planned stop of an engine paused an output for %s", gap)
	}
}

// Guards against a control leader that does not exit with status 0 in a planned
// stop, and against accepted changes that are lost by it.
func TestControlPlannedStop(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	accepted := d.makeChanges("org", 20, 10, func() {
		if err := d.leader().terminate(10 * time.Second); err != nil {
			t.Errorf("planned stop: %v", err)
		}
	})
	d.checkAccepted(accepted)
}
