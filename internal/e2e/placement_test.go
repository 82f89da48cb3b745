package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
)

// loggedOrder is an order to an engine, read from a line in the log of a process.
type loggedOrder struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	Fence   uint64    `json:"fence"`
	Action  string    `json:"action"`
	Target  string    `json:"target"`
}

// appliedOrders returns the orders that a stand-in engine has applied.
func (b *backendServer) appliedOrders() []loggedOrder {
	return readLoggedOrders(b.process, "order obeyed")
}

// sentOrders returns the orders that a control instance has sent, including
// those that failed.
func sentOrders(c *instanceProcess) []loggedOrder {
	return readLoggedOrders(c.process, "order sent", "order failed")
}

// readLoggedOrders returns the log lines of a process with one of the messages.
func readLoggedOrders(p *process, messages ...string) []loggedOrder {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		p.t.Fatal(err)
	}
	var orders []loggedOrder
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var o loggedOrder
		if json.Unmarshal(lines.Bytes(), &o) == nil && slices.Contains(messages, o.Message) {
			orders = append(orders, o)
		}
	}
	return orders
}

// enginesWithModel returns the running engines of a data centre that have the
// model loaded, in the order of d.engines: first those that started with it.
func (d *deployment) enginesWithModel(dataCentre string) []*backendServer {
	var engines []*backendServer
	for dc, name := range dataCentres {
		index := 0
		for _, b := range d.engines {
			if b.dataCentre != name {
				continue
			}
			loaded := index < d.topology.engines[dc]
			index++
			for _, o := range b.appliedOrders() {
				loaded = o.Action == "load"
			}
			if name == dataCentre && loaded && b.running() {
				engines = append(engines, b)
			}
		}
	}
	return engines
}

// setReplicas proposes a change that sets the wanted number of replicas in each
// data centre.
func (d *deployment) setReplicas(changeID string, replicas int) {
	d.t.Helper()
	d.propose(changeID, []document.Op{newOp(document.SectionPlacements, "all", document.PlacementRule{
		Services: []string{"summary", "shop"}, Replicas: replicas, ChecksFencing: true,
	})})
}

func (d *deployment) waitForReplicas(dataCentre string, replicas int) {
	d.t.Helper()
	// After the loss of the lease holder, the election, the expiry of the lease
	// and the detection of lost servers take 10 s, and the token bucket for load
	// orders starts empty.
	eventually(d.t, 30*time.Second, "the wanted number of engines has the model loaded", func() error {
		if got := len(d.enginesWithModel(dataCentre)); got != replicas {
			return fmt.Errorf("%d engines, wanted %d", got, replicas)
		}
		return nil
	})
}

func (d *deployment) currentLease() control.Lease {
	d.t.Helper()
	var status struct {
		Lease control.Lease `json:"lease"`
	}
	_, err := callOperatorAPI(d.leader(), http.MethodGet, "/v1/status", nil, &status)
	qt.Assert(d.t, err, qt.IsNil)
	return status.Lease
}

// Guards against wanted replicas that are never loaded, idle engines that are
// not reported to the control leader, lost engines that are not replaced, and
// orders under an earlier lease that engines apply after orders under a later one.
func TestPlacementIsReachedByOrders(t *testing.T) {
	s := smallTopology()
	s.engines, s.idleEngines = []int{1, 1, 1}, []int{10, 0, 0}
	d := startDeployment(t, s)
	d.setReplicas("replicas", 2)
	d.waitForReplicas("a", 2)

	d.enginesWithModel("a")[0].kill()
	d.waitForReplicas("a", 2)

	var formerLeader *instanceProcess
	var firstLease control.Lease
	eventually(t, startTimeout, "the leader holds the lease", func() error {
		if formerLeader, firstLease = d.leader(), d.currentLease(); firstLease.Holder != formerLeader.id {
			return fmt.Errorf("%s leads, %s holds the lease", formerLeader.id, firstLease.Holder)
		}
		return nil
	})
	formerLeader.freeze()
	d.enginesWithModel("a")[0].kill()
	d.waitForReplicas("a", 2)
	secondLease := d.currentLease()
	qt.Assert(t, secondLease.Number > firstLease.Number, qt.IsTrue)
	// Idle engines have received no fencing number yet, so only the expiry of its
	// lease keeps the thawed instance from sending them load orders. More loads
	// are due than the burst allows, so that they take several placement rounds.
	thawedAt := time.Now()
	formerLeader.thaw()
	d.setReplicas("more replicas", 8)
	d.waitForReplicas("a", 8)

	highestFence := uint64(0)
	for _, b := range d.enginesWithModel("a") {
		for _, o := range b.appliedOrders() {
			highestFence = max(highestFence, o.Fence)
			if o.Time.After(thawedAt) && o.Fence <= firstLease.Number {
				t.Errorf("%s applied an order of lease %d after orders under lease %d", b.id, o.Fence, secondLease.Number)
			}
		}
		if applied := b.appliedOrders(); len(applied) > 0 && applied[len(applied)-1].Fence >= secondLease.Number {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := engine.NewHTTP(b.address, http.DefaultClient).Order(ctx, engine.Order{Fence: firstLease.Number, Action: "unload", Target: "summary"})
			cancel()
			var orderErr *engine.Error
			qt.Assert(t, err, qt.ErrorAs, &orderErr)
			qt.Check(t, orderErr.Reason, qt.Equals, engine.Fenced)
		}
	}
	qt.Check(t, highestFence >= secondLease.Number, qt.IsTrue, qt.Commentf("the highest fencing number of an applied order is %d", highestFence))
	qt.Check(t, d.enginesWithModel("a"), qt.HasLen, 8)
	for _, o := range sentOrders(formerLeader) {
		if o.Time.After(thawedAt) && o.Fence <= firstLease.Number {
			t.Errorf("%s sent an order under lease %d after orders under lease %d", formerLeader.id, o.Fence, secondLease.Number)
		}
	}
	for _, b := range d.services {
		raw, err := os.ReadFile(b.executionsFile)
		qt.Check(t, err == nil && len(raw) > 0, qt.IsFalse, qt.Commentf("a plain service received an order: %s", raw))
	}
}
