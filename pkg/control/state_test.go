package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

var testTime = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func organisationOp(name string, weight int) document.Op {
	value, _ := json.Marshal(document.Organisation{Weight: weight, Ranks: []string{document.Urgent}, KeyHashes: []string{}})
	return document.Op{Section: document.SectionOrganisations, Name: name, Value: value}
}

func applyTo(s *State, c document.Change) Result {
	data, _ := json.Marshal(command{Time: testTime, Change: &c})
	return s.apply(data).result
}

// oracle is the specification of the state machine in its plainest form: the
// weights of the organisations, and the first result of each identifier.
type oracle struct {
	version uint64
	weights map[string]int
	first   map[string]oracleResult
}

type oracleResult struct {
	content string
	outcome Outcome
	version uint64
}

func (o *oracle) apply(c document.Change, name string, weight int) (Outcome, uint64) {
	content := fmt.Sprint(c.Operator, c.Base, name, weight)
	if first, ok := o.first[c.ID]; ok {
		if first.content == content {
			return first.outcome, first.version
		}
		return Invalid, o.version
	}
	outcome := Accepted
	_, exists := o.weights[name]
	switch {
	case c.Base != o.version:
		outcome = Conflict
	case weight < 0 && !exists, weight == 0:
		outcome = Invalid
	case weight < 0:
		o.version++
		delete(o.weights, name)
	default:
		o.version++
		o.weights[name] = weight
	}
	o.first[c.ID] = oracleResult{content, outcome, o.version}
	return outcome, o.version
}

// Guards against a change that is accepted on an old base, applied twice when
// it is resent, or that differs between instances, one of which restarted from
// a snapshot in the middle.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := NewState(), NewState()
		o := &oracle{weights: map[string]int{}, first: map[string]oracleResult{}}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			weight := rapid.IntRange(-1, 2).Draw(t, "weight")
			c := document.Change{
				ID: rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "id"), Operator: "rozenn",
				Base: uint64(max(0, int(o.version)-rapid.IntRange(-1, 1).Draw(t, "lag"))),
				Ops:  []document.Op{organisationOp(name, weight)},
			}
			if weight < 0 {
				c.Ops[0].Value = nil
			}
			outcome, version := o.apply(c, name, weight)
			got := applyTo(s, c)
			if got.Outcome != outcome || got.Version != version {
				t.Fatalf("change %+v: got %+v, want %s at version %d", c, got, outcome, version)
			}
			if outcome == Invalid && len(got.Faults) == 0 {
				t.Fatalf("change %+v is invalid without a fault", c)
			}
			applyTo(other, c)
			if rapid.Bool().Draw(t, "restart") {
				other = restored(t, other)
			}
		}
		a, _ := s.encode()
		b, _ := other.encode()
		if !bytes.Equal(a, b) {
			t.Fatalf("states differ:\n%s\n%s", a, b)
		}
		checkSteps(t, s)
	})
}

func restored(t *rapid.T, s *State) *State {
	data, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	next, err := decodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// checkSteps replays the differences that watchers get.
func checkSteps(t *rapid.T, s *State) {
	steps, ok := s.Since(0)
	if !ok {
		t.Fatal("the steps since version 0 are incomplete")
	}
	d := document.Empty()
	for _, step := range steps {
		next, err := d.Apply(step.Ops)
		if err != nil || next.Version != step.Version {
			t.Fatalf("step to version %d: %v", step.Version, err)
		}
		d = next
	}
	a, _ := json.Marshal(d)
	b, _ := json.Marshal(s.Document())
	if !bytes.Equal(a, b) {
		t.Fatalf("watchers have %s, in force is %s", a, b)
	}
}

// Guards against a race that two operators win, or nobody.
func TestRaceHasOneWinner(t *testing.T) {
	for _, operators := range []int{2, 20} {
		s := NewState()
		for round := range 5 {
			accepted := 0
			for i := range operators {
				result := applyTo(s, document.Change{
					ID: fmt.Sprintf("%d-%d", round, i), Operator: fmt.Sprint("operator", i), Base: uint64(round),
					Ops: []document.Op{organisationOp("boutique", 1+i)},
				})
				if result.Outcome == Accepted {
					accepted++
				} else {
					qt.Assert(t, result.Outcome, qt.Equals, Conflict)
					qt.Assert(t, result.Version, qt.Equals, uint64(round+1))
				}
			}
			qt.Assert(t, accepted, qt.Equals, 1)
		}
	}
}

// Guards against results and audit entries that grow without bound, and against
// an evicted entry that is lost before it reaches the audit file.
func TestAuditWindow(t *testing.T) {
	s := NewState()
	const total = auditKept + 50
	for i := range total {
		applyTo(s, document.Change{
			ID: fmt.Sprint(i), Operator: "rozenn", Base: uint64(i), Ops: []document.Op{organisationOp("boutique", 1+i%2)},
		})
	}
	qt.Assert(t, s.Document().Version, qt.Equals, uint64(total))
	qt.Assert(t, len(s.audit), qt.Equals, auditKept)
	qt.Assert(t, len(s.decided), qt.Equals, auditKept)
	evicted := s.takeEvicted()
	qt.Assert(t, evicted, qt.HasLen, 50)
	folder := t.TempDir()
	for range 2 { // The second round repeats the entries, as after a restart.
		file, err := openAuditFile(folder)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, file.append(evicted), qt.IsNil)
	}
	file, err := openAuditFile(folder)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, file.lastSeq, qt.Equals, uint64(50))
	_, complete := s.Since(total - watchWindow)
	qt.Assert(t, complete, qt.IsTrue)
	_, complete = s.Since(total - watchWindow - 1)
	qt.Assert(t, complete, qt.IsFalse)
	n := &Node{state: s, parts: loopParts{audit: file}}
	for after := range uint64(total + 1) {
		if after > 100 && after < total-10 {
			continue
		}
		got, err := n.Audit(after, 60)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.HasLen, int(min(60, total-after)), qt.Commentf("after %d", after))
		for i, e := range got {
			qt.Assert(t, e.Seq, qt.Equals, after+1+uint64(i))
		}
	}
}

// Guards against two holders of the lease under one number.
func TestLeaseNumbers(t *testing.T) {
	s := NewState()
	apply := func(r LeaseRequest) bool {
		data, _ := json.Marshal(command{Time: testTime, Lease: &r})
		return s.apply(data).granted
	}
	qt.Assert(t, apply(LeaseRequest{Holder: "c1"}), qt.IsTrue)
	qt.Assert(t, apply(LeaseRequest{Holder: "c2"}), qt.IsFalse)
	qt.Assert(t, apply(LeaseRequest{Holder: "c2", Expect: 1, Renew: true}), qt.IsFalse)
	qt.Assert(t, apply(LeaseRequest{Holder: "c1", Expect: 1, Renew: true}), qt.IsTrue)
	qt.Assert(t, s.Lease(), qt.Equals, Lease{Number: 1, Holder: "c1", Renewals: 1})
	qt.Assert(t, apply(LeaseRequest{Holder: "c2", Expect: 1}), qt.IsTrue)
	qt.Assert(t, apply(LeaseRequest{Holder: "c1", Expect: 1, Renew: true}), qt.IsFalse)
	qt.Assert(t, s.Lease().Number, qt.Equals, uint64(2))
}

// Guards against a key of two organisations, and against a key that stays
// taken after it was moved or removed.
func TestKeysOfOrganisations(t *testing.T) {
	s := NewState()
	n := 0
	apply := func(want Outcome, ops ...document.Op) {
		t.Helper()
		n++
		result := applyTo(s, document.Change{ID: fmt.Sprint(n), Operator: "rozenn", Base: s.document.Version, Ops: ops})
		qt.Assert(t, result.Outcome, qt.Equals, want, qt.Commentf("%v", result))
		data, err := s.encode()
		qt.Assert(t, err, qt.IsNil)
		restored, err := decodeState(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, restored.keyOwners, qt.DeepEquals, s.keyOwners)
	}
	with := func(name string, keys ...string) document.Op {
		value, _ := json.Marshal(document.Organisation{Weight: 1, Ranks: []string{document.Urgent}, KeyHashes: keys})
		return document.Op{Section: document.SectionOrganisations, Name: name, Value: value}
	}
	one, two := document.HashKey("1"), document.HashKey("2")
	apply(Accepted, with("a", one), with("b", two))
	apply(Invalid, with("b", one))
	apply(Accepted, with("a", two), with("b", one))
	apply(Accepted, with("a"))
	apply(Accepted, with("c", two))
}

// Guards against an audit trail of large changes that fills the memory.
func TestAuditBytes(t *testing.T) {
	s := NewState()
	large, _ := json.Marshal(document.Organisation{Weight: 1, Ranks: []string{document.Urgent}, Services: make([]string, 300_000)})
	ranks := slices.Repeat([]string{document.Urgent}, 100)
	for i := range 45 {
		value, _ := json.Marshal(document.Organisation{Weight: 1 + i%9, Ranks: ranks})
		var ops []document.Op
		for j := range 900 {
			ops = append(ops, document.Op{Section: document.SectionOrganisations, Name: fmt.Sprint("org-", j), Value: value})
		}
		result := applyTo(s, document.Change{ID: fmt.Sprint(i), Operator: "rozenn", Base: s.document.Version, Ops: ops})
		qt.Assert(t, result.Outcome, qt.Equals, Accepted)
	}
	result := applyTo(s, document.Change{ID: "large", Operator: "rozenn", Base: 45, Ops: []document.Op{
		{Section: document.SectionOrganisations, Name: "large", Value: large}}})
	qt.Assert(t, result.Outcome, qt.Equals, Invalid)
	qt.Assert(t, result.Faults, qt.HasLen, maxFaults)
	total := 0
	for _, e := range s.audit {
		total += sizeOf(e.Ops)
	}
	qt.Assert(t, total, qt.Equals, s.size)
	qt.Assert(t, total <= auditBytes, qt.IsTrue)
	qt.Assert(t, len(s.evicted) > 0, qt.IsTrue)
	qt.Assert(t, len(s.audit)+len(s.evicted), qt.Equals, 46)
	qt.Assert(t, s.decided, qt.HasLen, len(s.audit))
}
