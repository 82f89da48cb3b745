package loadmodel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Replays engines of three speeds with noise: gateways that learn their paces must serve more streams in time than
// those that take all engines for equal, and leave fewer engines as silent.
func TestLearnedPacesServeMoreStreamsInTime(t *testing.T) {
	load := readExampleLoad(t, "inyenyeri-usual")
	load.Seconds = 15
	for _, gateways := range []int{3, 16, 95} {
		changed := load.WithGateways(gateways)
		before, own, shared := simulateSeeds(changed, "silent", 2), simulateSeeds(changed, "learned", 2), simulateSeeds(changed, "shared", 2)
		t.Logf("%d gateways: in time %.3f, %.3f with own estimates, %.3f with shared ones; silent moves %.3f, %.3f, %.3f; runs %.2f, %.2f, %.2f", gateways,
			before.InTime, own.InTime, shared.InTime, before.SilentMoves, own.SilentMoves, shared.SilentMoves, before.Attempts, own.Attempts, shared.Attempts)
		// With three gateways, nearly all streams are in time in any case.
		qt.Check(t, own.InTime >= before.InTime-0.01, qt.IsTrue, qt.Commentf("%d gateways", gateways))
		qt.Check(t, shared.InTime >= before.InTime-0.01, qt.IsTrue, qt.Commentf("%d gateways", gateways))
		if gateways > 3 {
			qt.Check(t, shared.InTime > before.InTime, qt.IsTrue, qt.Commentf("%d gateways", gateways))
			qt.Check(t, shared.SilentMoves < before.SilentMoves, qt.IsTrue, qt.Commentf("%d gateways", gateways))
		}
	}
}

// Guards against estimates that make streams of equal engines late.
func TestLearnedPacesOfEqualEngines(t *testing.T) {
	load := readExampleLoad(t, "kerlavand-calm")
	before, shared := simulateSeeds(load, "silent", 3), simulateSeeds(load, "shared", 3)
	qt.Assert(t, shared.InTime >= before.InTime-0.005, qt.IsTrue, qt.Commentf("%v %v", before, shared))
}

// Guards against load files whose speeds or noise cannot be simulated.
func TestInvalidSpeedsAreRejected(t *testing.T) {
	load := testLoad(1, 1, 1)
	load.Speeds = []float64{1, 0}
	qt.Check(t, load.validate(), qt.IsNotNil)
	load.Speeds = []float64{0.6}
	qt.Check(t, load.validate(), qt.IsNil)
	load.Noise.Share = 0.1
	qt.Check(t, load.validate(), qt.IsNotNil)
	total := 0
	for _, d := range readExampleLoad(t, "kerlavand-calm").WithGateways(95).DataCentres {
		total += d.Gateways
	}
	qt.Check(t, total, qt.Equals, 95)
}
