package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// longSilence is a silence of coordinators after which none of their addresses was followed any more.
const longSilence = 22 * time.Second

// Guards against a gateway that never follows the coordinators again after all of them were silent for long, whether
// it had a configuration before or not, and although one of them is back at another address.
func TestFollowAfterLongSilence(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	r, c := g.followAt(g.address(1))
	g.eventually("the publication", r.satisfies(func(r *recorder) bool { return r.revision == 1 }))
	g.eventually("streams of all coordinators", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 3 })
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	started, _ := g.followAt(g.address(2))
	time.Sleep(longSilence)
	recent, expected := c.CountCoordinators(time.Now(), time.Second)
	qt.Assert(t, recent, qt.Equals, 0)
	qt.Assert(t, expected, qt.Equals, 3)

	for _, i := range []int{1, 2, 4} {
		g.start(i, false)
	}
	g.publish(2, 2, "two")
	server := directory.Server{ID: "s", Service: "p", Address: "10.0.0.1:1", DataCentre: "d", StartedMS: 1, Sequence: 1}
	qt.Assert(t, g.coordinators[4].Announce(server), qt.Equals, directory.Changed)
	for _, gateway := range []*recorder{r, started} {
		g.eventually("the next publication", gateway.satisfies(func(r *recorder) bool { return r.revision == 2 }))
		g.eventually("the server", gateway.satisfies(func(r *recorder) bool { return r.servers["s"].ID == "s" }))
	}
	g.eventually("the coordinator at the new address", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 3 })
}

// Guards against a coordinator that never follows the others again after all of them were silent for long: backend
// servers that announce themselves to these would be unknown to it.
func TestCoordinatorsFollowEachOtherAfterLongSilence(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 3)
	streams := func() int {
		recent, _ := g.coordinators[1].peerClient.CountCoordinators(time.Now(), time.Second)
		return recent
	}
	g.eventually("streams of the others", func() bool { return streams() == 2 })
	g.stop(2)
	g.stop(3)
	time.Sleep(longSilence)
	g.start(2, false)
	g.start(3, false)
	g.eventually("streams of the others", func() bool { return streams() == 2 })
}
