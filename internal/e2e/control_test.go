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

// inForceTarget is the stated limit for a change to be in force everywhere.
const inForceTarget = 5 * time.Second

// controlStatus is the part of GET /v1/status that the tests use.
type controlStatus struct {
	Role    string                                  `json:"role"`
	Leader  string                                  `json:"leader"`
	Version uint64                                  `json:"version"`
	Members map[consensus.MemberID]consensus.DiskID `json:"members"`
}

// liveControl returns the control instances that are not frozen or killed, so
// that a test does not wait for the time-outs of the others.
func (d *deployment) liveControl() []*node {
	var live []*node
	for _, c := range d.control {
		if c.running() {
			live = append(live, c)
		}
	}
	return live
}

func (d *deployment) leader() *node {
	d.t.Helper()
	var leader *node
	eventually(d.t, startDeadline, "a leader is known", func() error {
		for _, c := range d.liveControl() {
			var s controlStatus
			if _, err := operatorCall(c, http.MethodGet, "/v1/status", nil, &s); err == nil && s.Role == "leader" {
				leader = c
				return nil
			}
		}
		return errors.New("no control instance leads")
	})
	return leader
}

// document reads the configuration from any control instance, linearizable.
func (d *deployment) document() *document.Document {
	d.t.Helper()
	doc := document.Empty()
	eventually(d.t, startDeadline, "the configuration is read", func() error {
		var err error
		for _, c := range d.liveControl() {
			doc = document.Empty()
			if _, err = operatorCall(c, http.MethodGet, "/v1/config", nil, doc); err == nil {
				return nil
			}
		}
		return err
	})
	return doc
}

// change sets one organisation, resending under the same identifier until the
// result is known, and rebasing after a lost race.
func (d *deployment) change(name string, weight int) error {
	item := document.Organisation{Weight: weight, Ranks: []string{document.Patient}}
	base := d.document().Version
	for try := range 400 {
		live := d.liveControl()
		c := document.Change{
			ID: fmt.Sprintf("%s-%d-on-%d", name, weight, base), Operator: "tester", Base: base,
			Ops: []document.Op{op(document.SectionOrganisations, name, item)},
		}
		status, err := operatorCall(live[try%len(live)], http.MethodPost, "/v1/config/changes", c, nil)
		switch status {
		case http.StatusOK:
			return nil
		case http.StatusConflict:
			base = d.document().Version
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return err
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
	return errors.New("no result for " + name)
}

// checkInForce waits until every given entry instance has the version in force.
func (d *deployment) checkInForce(version uint64, entries []*node) time.Duration {
	d.t.Helper()
	started := time.Now()
	for _, e := range entries {
		eventually(d.t, inForceTarget, fmt.Sprintf("version %d in force at %s", version, e.id), func() error {
			s, err := d.entryStatus(e)
			if err == nil && s.Version < version {
				err = fmt.Errorf("version %d", s.Version)
			}
			return err
		})
	}
	return time.Since(started)
}

func (d *deployment) entryStatus(e *node) (instance.Status, error) {
	var s instance.Status
	response, err := http.Get(d.adminURL(e) + "/v1/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// checkAccepted fails unless the document holds all accepted changes.
func (d *deployment) checkAccepted(weights map[string]int) {
	d.t.Helper()
	doc := d.document()
	for name, weight := range weights {
		if doc.Organisations[name].Weight != weight {
			d.t.Errorf("accepted change of %s to %d is lost: version %d has %d", name, weight, doc.Version, doc.Organisations[name].Weight)
		}
	}
	d.t.Logf("%d accepted changes are in version %d", len(weights), doc.Version)
	d.checkInForce(doc.Version, d.entries)
}

// changes makes n changes and calls fault before the one of the given number.
func (d *deployment) changes(prefix string, n, at int, fault func()) map[string]int {
	d.t.Helper()
	done := map[string]int{}
	for i := range n {
		if i == at {
			fault()
		}
		name, weight := fmt.Sprintf("%s-%d", prefix, i), 1+i%900
		if err := d.change(name, weight); err != nil {
			d.t.Fatalf("change %s: %v", name, err)
		}
		done[name] = weight
	}
	return done
}

func fiveControl() shape {
	s := small()
	s.control = []int{2, 2, 1}
	s.engines, s.services = []int{1, 0, 0}, []int{0, 0, 0}
	s.entries = []int{1, 1, 1}
	return s
}

// Guards against a change that is slow to be in force.
func TestChangeInForceEverywhere(t *testing.T) {
	d := startDeployment(t, fiveControl())
	var longest time.Duration
	for i := range 20 {
		if err := d.change("org", 1+i); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, d.checkInForce(d.document().Version, d.entries))
	}
	t.Logf("20 changes, longest time from acceptance to in force everywhere %s (target %s)", longest.Round(time.Millisecond), inForceTarget)
}

// Guards against accepted changes lost, or undone, with the leader that took them.
func TestLeaderKilledDuringChanges(t *testing.T) {
	d := startDeployment(t, fiveControl())
	done := d.changes("org", 40, 20, func() { d.leader().kill() })
	d.checkAccepted(done)
}

// Guards against a frozen leader that wakes up and accepts or serves beside its
// successor.
func TestLeaderFrozenAndBack(t *testing.T) {
	d := startDeployment(t, fiveControl())
	var old *node
	done := d.changes("org", 30, 10, func() { old = d.leader(); old.freeze() })
	old.thaw()
	doc := document.Empty()
	if _, err := operatorCall(old, http.MethodGet, "/v1/config", nil, doc); err == nil && len(doc.Organisations) < len(done) {
		t.Errorf("the old leader served version %d as linearizable", doc.Version)
	}
	d.checkAccepted(done)
}

// Guards against an instance with an empty disk that votes, and against the
// loss of a second instance right after a repair.
func TestDiskLostThenSecondLoss(t *testing.T) {
	s := fiveControl()
	s.control = []int{1, 1, 1}
	d := startDeployment(t, s)
	done := d.changes("before", 20, -1, nil)
	first := d.control[0]
	first.kill()
	if err := os.RemoveAll(first.dataFolder); err != nil {
		t.Fatal(err)
	}
	for name, weight := range d.changes("without", 5, -1, nil) {
		done[name] = weight
	}
	first.start()
	eventually(t, 10*time.Second, "the empty instance is repaired", func() error {
		var s controlStatus
		_, err := operatorCall(first, http.MethodGet, "/v1/status", nil, &s)
		if err == nil && s.Role != "follower" && s.Role != "leader" {
			err = errors.New("role " + s.Role)
		}
		return err
	})
	d.control[1].kill()
	for name, weight := range d.changes("after", 5, -1, nil) {
		done[name] = weight
	}
	d.checkAccepted(done)
}

// Guards against state lost or replayed wrongly by a restart of all control
// instances after hundreds of changes.
func TestRestartAfter300Changes(t *testing.T) {
	d := startDeployment(t, fiveControl())
	done := d.changes("org", 300, -1, nil)
	version := d.document().Version
	for _, c := range d.control {
		c.kill()
	}
	for _, c := range d.control {
		c.start()
	}
	if got := d.document().Version; got != version {
		t.Errorf("version %d after the restart, %d before", got, version)
	}
	d.checkAccepted(done)
	for _, e := range d.entries {
		e.kill()
		e.start()
	}
	d.checkInForce(version, d.entries)
}

// Guards against two winners among operators who race with equal base versions,
// and against a resend that gets another result than the first.
func TestOperatorsRace(t *testing.T) {
	d := startDeployment(t, fiveControl())
	for _, operators := range []int{2, 20} {
		base := d.document().Version
		type outcome struct {
			change document.Change
			status int
		}
		outcomes := make(chan outcome, operators)
		for i := range operators {
			c := document.Change{
				ID: fmt.Sprintf("race-%d-%d", operators, i), Operator: "tester", Base: base,
				Ops: []document.Op{op(document.SectionOrganisations, "contended", document.Organisation{Weight: i + 1, Ranks: []string{document.Patient}})},
			}
			go func() {
				status, _ := operatorCall(d.control[i%len(d.control)], http.MethodPost, "/v1/config/changes", c, nil)
				outcomes <- outcome{c, status}
			}()
		}
		winners := 0
		for range operators {
			o := <-outcomes
			again, _ := operatorCall(d.control[2], http.MethodPost, "/v1/config/changes", o.change, nil)
			if again != o.status {
				t.Errorf("change %s got status %d first and %d on resend", o.change.ID, o.status, again)
			}
			if o.status == http.StatusOK {
				winners++
			}
		}
		if winners != 1 || d.document().Version != base+1 {
			t.Errorf("%d of %d operators won, version went from %d to %d", winners, operators, base, d.document().Version)
		}
	}
}

// Guards against a minority that accepts changes, and a cut-off data centre
// that does not catch up.
func TestControlMinorityCutOff(t *testing.T) {
	d := startDeployment(t, fiveControl())
	d.cutOff("c")
	minority := d.control[len(d.control)-1]
	change := document.Change{ID: "in the minority", Operator: "tester", Base: d.version,
		Ops: []document.Op{op(document.SectionOrganisations, "lost", document.Organisation{Weight: 1, Ranks: []string{document.Patient}})}}
	if status, _ := operatorCall(minority, http.MethodPost, "/v1/config/changes", change, nil); status == http.StatusOK {
		t.Error("a cut-off minority accepted a change")
	}
	majority := &deployment{t: t, control: d.control[:len(d.control)-1], entries: d.entries[:2], subnet: d.subnet}
	done := majority.changes("org", 10, -1, nil)
	majority.checkInForce(majority.document().Version, majority.entries)
	d.healAll()
	d.checkAccepted(done)
}
