package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
)

// inForceTarget is the time within which an accepted change must be in force at
// every entry instance.
const inForceTarget = 5 * time.Second

// controlStatus is the part of GET /v1/status that the tests use.
type controlStatus struct {
	Role    string                                  `json:"role"`
	Leader  string                                  `json:"leader"`
	Version uint64                                  `json:"version"`
	Members map[consensus.MemberID]consensus.DiskID `json:"members"`
}

// runningControl returns the control instances that are neither frozen nor
// killed, so that a test does not wait for the timeouts of the others.
func (d *deployment) runningControl() []*instanceProcess {
	var running []*instanceProcess
	for _, c := range d.control {
		if c.running() {
			running = append(running, c)
		}
	}
	return running
}

func (d *deployment) leader() *instanceProcess {
	d.t.Helper()
	var leader *instanceProcess
	eventually(d.t, startTimeout, "a control instance is the leader", func() error {
		for _, c := range d.runningControl() {
			var s controlStatus
			if _, err := callOperatorAPI(c, http.MethodGet, "/v1/status", nil, &s); err == nil && s.Role == "leader" {
				leader = c
				return nil
			}
		}
		return errors.New("no control instance reports the role leader")
	})
	return leader
}

// readDocument returns the configuration from a linearizable read at any control
// instance.
func (d *deployment) readDocument() *document.Document {
	d.t.Helper()
	doc := document.Empty()
	eventually(d.t, startTimeout, "the configuration is read", func() error {
		var err error
		for _, c := range d.runningControl() {
			doc = document.Empty()
			if _, err = callOperatorAPI(c, http.MethodGet, "/v1/config", nil, doc); err == nil {
				return nil
			}
		}
		return err
	})
	return doc
}

// changeOrganisation sets the weight of one organisation. It resends the change
// with the same identifier until the result is known, and rebases it after a
// version conflict.
func (d *deployment) changeOrganisation(name string, weight int) error {
	organisation := document.Organisation{Weight: weight, Ranks: []string{document.Patient}}
	base := d.readDocument().Version
	for attempt := range 400 {
		running := d.runningControl()
		c := document.Change{
			ID: fmt.Sprintf("%s-%d-on-%d", name, weight, base), Operator: "tester", Base: base,
			Ops: []document.Op{newOp(document.SectionOrganisations, name, organisation)},
		}
		status, err := callOperatorAPI(running[attempt%len(running)], http.MethodPost, "/v1/config/changes", c, nil)
		switch status {
		case http.StatusOK:
			return nil
		case http.StatusConflict:
			base = d.readDocument().Version
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return err
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
	return errors.New("no result for " + name)
}

// waitInForce waits until every given entry instance has the version in force and
// returns how long that took. It fails the test after inForceTarget.
func (d *deployment) waitInForce(version uint64, entries []*instanceProcess) time.Duration {
	d.t.Helper()
	started := time.Now()
	for _, e := range entries {
		eventually(d.t, inForceTarget, fmt.Sprintf("version %d in force at %s", version, e.id), func() error {
			s, err := d.entryStatus(e)
			if err == nil && s.ConfigVersion < version {
				err = fmt.Errorf("version %d", s.ConfigVersion)
			}
			return err
		})
	}
	return time.Since(started)
}

func (d *deployment) entryStatus(e *instanceProcess) (instance.Status, error) {
	var s instance.Status
	response, err := http.Get(d.adminURL(e) + "/v1/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// checkAccepted fails the test unless the document contains all accepted changes
// and every entry instance has it in force.
func (d *deployment) checkAccepted(weights map[string]int) {
	d.t.Helper()
	doc := d.readDocument()
	for name, weight := range weights {
		if doc.Organisations[name].Weight != weight {
			d.t.Errorf("accepted change of %s to %d is lost: version %d has %d", name, weight, doc.Version, doc.Organisations[name].Weight)
		}
	}
	d.t.Logf("%d accepted changes are in version %d", len(weights), doc.Version)
	d.waitInForce(doc.Version, d.entries)
}

// makeChanges makes n changes and calls fault before the change with index
// faultIndex, unless it is negative. It returns the accepted weights by name.
func (d *deployment) makeChanges(prefix string, n, faultIndex int, fault func()) map[string]int {
	d.t.Helper()
	accepted := map[string]int{}
	for i := range n {
		if i == faultIndex {
			fault()
		}
		name, weight := fmt.Sprintf("%s-%d", prefix, i), 1+i%900
		if err := d.changeOrganisation(name, weight); err != nil {
			d.t.Fatalf("change %s: %v", name, err)
		}
		accepted[name] = weight
	}
	return accepted
}

func fiveControlTopology() topology {
	s := smallTopology()
	s.control = []int{2, 2, 1}
	s.engines, s.services = []int{1, 0, 0}, []int{0, 0, 0}
	s.entries = []int{1, 1, 1}
	return s
}

// Guards against a change that takes too long to be in force.
func TestChangeInForceEverywhere(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	var longest time.Duration
	for i := range 20 {
		if err := d.changeOrganisation("org", 1+i); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, d.waitInForce(d.readDocument().Version, d.entries))
	}
	t.Logf("20 changes, longest time from acceptance to in force everywhere %s (target %s)", longest.Round(time.Millisecond), inForceTarget)
}

// Guards against accepted changes that are lost or undone when the leader that
// accepted them is killed.
func TestLeaderKilledDuringChanges(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	accepted := d.makeChanges("org", 40, 20, func() { d.leader().kill() })
	d.checkAccepted(accepted)
}

// Guards against a leader that is thawed after its successor was elected, and
// accepts changes or serves reads as if it still were the leader.
func TestLeaderFrozenAndBack(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	var formerLeader *instanceProcess
	accepted := d.makeChanges("org", 30, 10, func() { formerLeader = d.leader(); formerLeader.freeze() })
	formerLeader.thaw()
	doc := document.Empty()
	if _, err := callOperatorAPI(formerLeader, http.MethodGet, "/v1/config", nil, doc); err == nil && len(doc.Organisations) < len(accepted) {
		t.Errorf("the former leader served version %d as linearizable", doc.Version)
	}
	d.checkAccepted(accepted)
}

// Guards against an instance that votes with an empty disk, and against changes
// lost with a second instance right after the first one was repaired.
func TestDiskLostThenSecondLoss(t *testing.T) {
	s := fiveControlTopology()
	s.control = []int{1, 1, 1}
	d := startDeployment(t, s)
	accepted := d.makeChanges("before", 20, -1, nil)
	emptied := d.control[0]
	emptied.kill()
	if err := os.RemoveAll(emptied.dataFolder); err != nil {
		t.Fatal(err)
	}
	for name, weight := range d.makeChanges("without", 5, -1, nil) {
		accepted[name] = weight
	}
	emptied.start()
	eventually(t, 10*time.Second, "the empty instance is repaired", func() error {
		var s controlStatus
		_, err := callOperatorAPI(emptied, http.MethodGet, "/v1/status", nil, &s)
		if err == nil && s.Role != "follower" && s.Role != "leader" {
			err = errors.New("role " + s.Role)
		}
		return err
	})
	d.control[1].kill()
	for name, weight := range d.makeChanges("after", 5, -1, nil) {
		accepted[name] = weight
	}
	d.checkAccepted(accepted)
}

// Guards against state that is lost or replayed wrongly when all control
// instances restart after hundreds of changes.
func TestRestartAfter300Changes(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	accepted := d.makeChanges("org", 300, -1, nil)
	version := d.readDocument().Version
	for _, c := range d.control {
		c.kill()
	}
	for _, c := range d.control {
		c.start()
	}
	if got := d.readDocument().Version; got != version {
		t.Errorf("version %d after the restart, %d before", got, version)
	}
	d.checkAccepted(accepted)
	for _, e := range d.entries {
		e.kill()
		e.start()
	}
	d.waitInForce(version, d.entries)
}

// Guards against two accepted changes with the same base version, and against a
// resent change that gets a different result than before.
func TestOperatorsRace(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	for _, operators := range []int{2, 20} {
		base := d.readDocument().Version
		type outcome struct {
			change document.Change
			status int
		}
		outcomes := make(chan outcome, operators)
		for i := range operators {
			c := document.Change{
				ID: fmt.Sprintf("race-%d-%d", operators, i), Operator: "tester", Base: base,
				Ops: []document.Op{newOp(document.SectionOrganisations, "contended", document.Organisation{Weight: i + 1, Ranks: []string{document.Patient}})},
			}
			go func() {
				status, _ := callOperatorAPI(d.control[i%len(d.control)], http.MethodPost, "/v1/config/changes", c, nil)
				outcomes <- outcome{c, status}
			}()
		}
		winners := 0
		for range operators {
			o := <-outcomes
			resendStatus, _ := callOperatorAPI(d.control[2], http.MethodPost, "/v1/config/changes", o.change, nil)
			if resendStatus != o.status {
				t.Errorf("change %s got status %d first and %d on resend", o.change.ID, o.status, resendStatus)
			}
			if o.status == http.StatusOK {
				winners++
			}
		}
		if winners != 1 || d.readDocument().Version != base+1 {
			t.Errorf("%d of %d operators won, version went from %d to %d", winners, operators, base, d.readDocument().Version)
		}
	}
}

// Guards against a minority that accepts changes during a partition, and against a
// data centre that does not catch up after one.
func TestControlMinorityCutOff(t *testing.T) {
	d := startDeployment(t, fiveControlTopology())
	d.partition("c")
	minority := d.control[len(d.control)-1]
	change := document.Change{ID: "in the minority", Operator: "tester", Base: d.version,
		Ops: []document.Op{newOp(document.SectionOrganisations, "lost", document.Organisation{Weight: 1, Ranks: []string{document.Patient}})}}
	if status, _ := callOperatorAPI(minority, http.MethodPost, "/v1/config/changes", change, nil); status == http.StatusOK {
		t.Error("a partitioned minority accepted a change")
	}
	majority := &deployment{t: t, control: d.control[:len(d.control)-1], entries: d.entries[:2], subnet: d.subnet}
	accepted := majority.makeChanges("org", 10, -1, nil)
	majority.waitInForce(majority.readDocument().Version, majority.entries)
	d.healPartition()
	d.checkAccepted(accepted)
}
