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

// loggedOrder is an order as the log of a process tells of it.
type loggedOrder struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	Fence   uint64    `json:"fence"`
	Action  string    `json:"action"`
	Target  string    `json:"target"`
}

// obeyed returns the orders that a stand-in engine carried out.
func (b *backend) obeyed() []loggedOrder { return logged(b.process, "order applied") }

// given returns the orders of a control instance, the refused ones included.
func given(c *node) []loggedOrder { return logged(c.process, "order sent", "order failed") }

// logged returns the log lines of a process with one of the messages.
func logged(p *process, messages ...string) []loggedOrder {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	var list []loggedOrder
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var o loggedOrder
		if json.Unmarshal(lines.Bytes(), &o) == nil && slices.Contains(messages, o.Message) {
			list = append(list, o)
		}
	}
	return list
}

// carrying returns the engines of a data centre that run and carry the model.
// Those started with it are listed first.
func (d *deployment) carrying(dataCentre string) []*backend {
	var list []*backend
	for dc, name := range dataCentres {
		n := 0
		for _, b := range d.engines {
			if b.dataCentre != name {
				continue
			}
			carries := n < d.shape.engines[dc]
			n++
			for _, o := range b.obeyed() {
				carries = o.Action == "load"
			}
			if name == dataCentre && carries && b.running() {
				list = append(list, b)
			}
		}
	}
	return list
}

func (d *deployment) wantReplicas(change string, wanted int) {
	d.t.Helper()
	d.propose(change, []document.Op{op(document.SectionPlacements, "all", document.Placement{
		Services: []string{"summary", "shop"}, Replicas: wanted, ChecksFencing: true,
	})})
}

func (d *deployment) waitForReplicas(dataCentre string, wanted int) {
	d.t.Helper()
	// After the loss of a holder: an election, the lease and the search for lost
	// servers take 10 s, and the allowance for loads starts empty.
	eventually(d.t, 30*time.Second, "the wanted number of engines carries the model", func() error {
		if got := len(d.carrying(dataCentre)); got != wanted {
			return fmt.Errorf("%d engines, wanted %d", got, wanted)
		}
		return nil
	})
}

func (d *deployment) lease() control.Lease {
	d.t.Helper()
	var status struct {
		Lease control.Lease `json:"lease"`
	}
	_, err := operatorCall(d.leader(), http.MethodGet, "/v1/status", nil, &status)
	qt.Assert(d.t, err, qt.IsNil)
	return status.Lease
}

// Guards against wanted replicas that are never loaded, idle engines that the
// control leader does not learn of, lost engines that are not replaced, and
// orders of an earlier lease that engines obey after a later one acted.
func TestPlacementIsReachedByOrders(t *testing.T) {
	s := small()
	s.engines, s.idle = []int{1, 1, 1}, []int{10, 0, 0}
	d := startDeployment(t, s)
	d.wantReplicas("replicas", 2)
	d.waitForReplicas("a", 2)

	d.carrying("a")[0].kill()
	d.waitForReplicas("a", 2)

	var old *node
	var first control.Lease
	eventually(t, startDeadline, "the leader holds the lease", func() error {
		if old, first = d.leader(), d.lease(); first.Holder != old.id {
			return fmt.Errorf("%s leads, %s holds the lease", old.id, first.Holder)
		}
		return nil
	})
	old.freeze()
	d.carrying("a")[0].kill()
	d.waitForReplicas("a", 2)
	second := d.lease()
	qt.Assert(t, second.Number > first.Number, qt.IsTrue)
	// Idle engines saw no lease yet, so only the end of the old lease keeps the
	// thawed instance from loading them. More loads than the burst are due, so
	// that they take several of its rounds.
	thawed := time.Now()
	old.thaw()
	d.wantReplicas("more replicas", 8)
	d.waitForReplicas("a", 8)

	last := uint64(0)
	for _, b := range d.carrying("a") {
		for _, o := range b.obeyed() {
			last = max(last, o.Fence)
			if o.Time.After(thawed) && o.Fence <= first.Number {
				t.Errorf("%s obeyed an order of lease %d after lease %d acted", b.id, o.Fence, second.Number)
			}
		}
		if list := b.obeyed(); len(list) > 0 && list[len(list)-1].Fence >= second.Number {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := engine.NewHTTP(b.address, http.DefaultClient).Order(ctx, engine.Order{Fence: first.Number, Action: "unload", Target: "summary"})
			cancel()
			var refused *engine.Error
			qt.Assert(t, err, qt.ErrorAs, &refused)
			qt.Check(t, refused.Reason, qt.Equals, engine.Fenced)
		}
	}
	qt.Check(t, last >= second.Number, qt.IsTrue, qt.Commentf("the newest lease that acted is %d", last))
	qt.Check(t, d.carrying("a"), qt.HasLen, 8)
	for _, o := range given(old) {
		if o.Time.After(thawed) && o.Fence <= first.Number {
			t.Errorf("%s gave an order under lease %d after lease %d acted", old.id, o.Fence, second.Number)
		}
	}
	for _, b := range d.services {
		raw, err := os.ReadFile(b.executions)
		qt.Check(t, err == nil && len(raw) > 0, qt.IsFalse, qt.Commentf("a plain service got an order: %s", raw))
	}
}
