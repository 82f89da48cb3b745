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

// referenceModel is a minimal specification of the state machine: the weights of
// the organisations and the recorded result of each change identifier.
type referenceModel struct {
	version uint64
	weights map[string]int
	results map[string]referenceResult
}

type referenceResult struct {
	content string
	outcome Outcome
	version uint64
}

func (m *referenceModel) apply(c document.Change, name string, weight int) (Outcome, uint64) {
	content := fmt.Sprint(c.Operator, c.Base, name, weight)
	if original, ok := m.results[c.ID]; ok {
		if original.content == content {
			return original.outcome, original.version
		}
		return Invalid, m.version
	}
	outcome := Accepted
	_, exists := m.weights[name]
	switch {
	case c.Base != m.version:
		outcome = Conflict
	case weight < 0 && !exists, weight == 0:
		outcome = Invalid
	case weight < 0:
		m.version++
		delete(m.weights, name)
	default:
		m.version++
		m.weights[name] = weight
	}
	m.results[c.ID] = referenceResult{content, outcome, m.version}
	return outcome, m.version
}

// Guards against a change that is accepted with an old base, that is applied twice
// when it is resent, or that has a different effect at an instance that restarted
// from a snapshot in between.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, restarted := NewState(), NewState()
		model := &referenceModel{weights: map[string]int{}, results: map[string]referenceResult{}}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			weight := rapid.IntRange(-1, 2).Draw(t, "weight")
			c := document.Change{
				ID: rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "id"), Operator: "rozenn",
				Base: uint64(max(0, int(model.version)-rapid.IntRange(-1, 1).Draw(t, "lag"))),
				Ops:  []document.Op{organisationOp(name, weight)},
			}
			if weight < 0 {
				c.Ops[0].Value = nil
			}
			outcome, version := model.apply(c, name, weight)
			got := applyTo(s, c)
			if got.Outcome != outcome || got.Version != version {
				t.Fatalf("change %+v: got %+v, want %s at version %d", c, got, outcome, version)
			}
			if outcome == Invalid && len(got.Faults) == 0 {
				t.Fatalf("change %+v is invalid without a fault", c)
			}
			applyTo(restarted, c)
			if rapid.Bool().Draw(t, "restart") {
				restarted = reloadState(t, restarted)
			}
		}
		want, _ := s.encode()
		got, _ := restarted.encode()
		if !bytes.Equal(want, got) {
			t.Fatalf("states differ:\n%s\n%s", want, got)
		}
		checkChangesSince(t, s)
	})
}

func reloadState(t *rapid.T, s *State) *State {
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

// checkChangesSince applies the changes that a watcher receives to an empty
// document and compares the result with the document in force.
func checkChangesSince(t *rapid.T, s *State) {
	changes, ok := s.ChangesSince(0)
	if !ok {
		t.Fatal("the changes since version 0 are incomplete")
	}
	d := document.Empty()
	for _, change := range changes {
		next, err := d.Apply(change.Ops)
		if err != nil || next.Version != change.Version {
			t.Fatalf("change to version %d: %v", change.Version, err)
		}
		d = next
	}
	got, _ := json.Marshal(d)
	want, _ := json.Marshal(s.Document())
	if !bytes.Equal(got, want) {
		t.Fatalf("watchers have %s, but %s is in force", got, want)
	}
}

// Guards against concurrent changes with the same base of which none or more than
// one is accepted.
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
// evicted entries that are missing from or duplicated in the audit file.
func TestAuditWindow(t *testing.T) {
	s := NewState()
	const total = maxAuditEntries + 50
	for i := range total {
		applyTo(s, document.Change{
			ID: fmt.Sprint(i), Operator: "rozenn", Base: uint64(i), Ops: []document.Op{organisationOp("boutique", 1+i%2)},
		})
	}
	qt.Assert(t, s.Document().Version, qt.Equals, uint64(total))
	qt.Assert(t, len(s.audit), qt.Equals, maxAuditEntries)
	qt.Assert(t, len(s.seqByChangeID), qt.Equals, maxAuditEntries)
	evicted := s.takeEvicted()
	qt.Assert(t, evicted, qt.HasLen, 50)
	folder := t.TempDir()
	for range 2 { // The second round appends the same entries, as after a restart.
		file, err := openAuditFile(folder)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, file.append(evicted), qt.IsNil)
	}
	file, err := openAuditFile(folder)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, file.lastSeq, qt.Equals, uint64(50))
	_, complete := s.ChangesSince(total - maxWatchLag)
	qt.Assert(t, complete, qt.IsTrue)
	_, complete = s.ChangesSince(total - maxWatchLag - 1)
	qt.Assert(t, complete, qt.IsFalse)
	n := &Node{state: s, deps: nodeDependencies{audit: file}}
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

// Guards against two holders of the lease under the same number.
func TestLeaseNumbers(t *testing.T) {
	s := NewState()
	apply := func(r LeaseRequest) bool {
		data, _ := json.Marshal(command{Time: testTime, Lease: &r})
		return s.apply(data).granted
	}
	qt.Assert(t, apply(LeaseRequest{Holder: "c1"}), qt.IsTrue)
	qt.Assert(t, apply(LeaseRequest{Holder: "c2"}), qt.IsFalse)
	qt.Assert(t, apply(LeaseRequest{Holder: "c2", ExpectedNumber: 1, Renew: true}), qt.IsFalse)
	qt.Assert(t, apply(LeaseRequest{Holder: "c1", ExpectedNumber: 1, Renew: true}), qt.IsTrue)
	qt.Assert(t, s.Lease(), qt.Equals, Lease{Number: 1, Holder: "c1", Renewals: 1})
	qt.Assert(t, apply(LeaseRequest{Holder: "c2", ExpectedNumber: 1}), qt.IsTrue)
	qt.Assert(t, apply(LeaseRequest{Holder: "c1", ExpectedNumber: 1, Renew: true}), qt.IsFalse)
	qt.Assert(t, s.Lease().Number, qt.Equals, uint64(2))
}

// Guards against a key that belongs to two organisations, and against a key that
// cannot be assigned again after it was moved or removed.
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
	organisationWithKeys := func(name string, keys ...string) document.Op {
		value, _ := json.Marshal(document.Organisation{Weight: 1, Ranks: []string{document.Urgent}, KeyHashes: keys})
		return document.Op{Section: document.SectionOrganisations, Name: name, Value: value}
	}
	hash1, hash2 := document.HashKey("1"), document.HashKey("2")
	apply(Accepted, organisationWithKeys("a", hash1), organisationWithKeys("b", hash2))
	apply(Invalid, organisationWithKeys("b", hash1))
	apply(Accepted, organisationWithKeys("a", hash2), organisationWithKeys("b", hash1))
	apply(Accepted, organisationWithKeys("a"))
	apply(Accepted, organisationWithKeys("c", hash2))
}

// Guards against memory use without bound by the audit entries of large changes.
func TestAuditBytes(t *testing.T) {
	s := NewState()
	oversized, _ := json.Marshal(document.Organisation{Weight: 1, Ranks: []string{document.Urgent}, Services: make([]string, 300_000)})
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
		{Section: document.SectionOrganisations, Name: "large", Value: oversized}}})
	qt.Assert(t, result.Outcome, qt.Equals, Invalid)
	qt.Assert(t, result.Faults, qt.HasLen, maxFaults)
	total := 0
	for _, e := range s.audit {
		total += opBytes(e.Ops)
	}
	qt.Assert(t, total, qt.Equals, s.auditOpBytes)
	qt.Assert(t, total <= maxAuditOpBytes, qt.IsTrue)
	qt.Assert(t, len(s.evicted) > 0, qt.IsTrue)
	qt.Assert(t, len(s.audit)+len(s.evicted), qt.Equals, 46)
	qt.Assert(t, s.seqByChangeID, qt.HasLen, len(s.audit))
}
