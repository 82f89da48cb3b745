package once

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var oldHome = Origin{"a", 1}

func parts(id uint64, receiver uint64, states ...State) []Part {
	list := []Part{{Origin: oldHome, HandOver: id}}
	for _, s := range states {
		list = append(list, Part{Origin: oldHome, HandOver: id, Receiver: receiver, Number: uint32(len(list)), States: []State{s}})
	}
	return append(list, Part{Origin: oldHome, HandOver: id, Receiver: receiver, Number: uint32(len(list)), Last: true})
}

// TestReceiveRefuses guards the ways in which a repeated, lost or foreign part
// of a hand-over could bring back a key that was used.
func TestReceiveRefuses(t *testing.T) {
	used := []State{{ID: ID{1}, Executor: 7}, {ID: ID{2}, Executor: 8}}
	whole, other := parts(1, 50, used...), parts(2, 50)
	tests := []struct {
		name    string
		parts   []Part
		decides bool
	}{
		{"whole", whole, true},
		{"each part twice", []Part{whole[0], whole[0], whole[1], whole[1], whole[2], whole[0], whole[3], whole[3]}, true},
		{"without the last part", whole[:3], false},
		{"without a part", []Part{whole[0], whole[1], whole[3]}, false},
		{"without the first part", whole[1:], false},
		{"mixed with another hand-over", []Part{whole[0], other[0], other[1], whole[1]}, true},
		{"end of another hand-over", []Part{whole[0], whole[1], {Origin: oldHome, HandOver: 2, Receiver: 50, Number: 2, Last: true}}, false},
		{"first part is the last", []Part{{Origin: oldHome, HandOver: 1, Last: true}}, false},
		{"for an earlier incarnation of the receiver", append(parts(1, 49)[:1], parts(1, 49)[1:]...), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewKeeper(Origin{"b", 50}, DefaultLimits())
			for _, part := range test.parts {
				p.Receive(part)
			}
			_, where, _ := p.Claim(0, Key{Home: "a", Incarnation: 1, ID: ID{9}}, Digest{}, 1)
			qt.Assert(t, where == Here, qt.Equals, test.decides)
			if test.name == "whole" || test.name == "each part twice" {
				v, _, _ := p.Claim(0, Key{Home: "a", Incarnation: 1, ID: ID{2}}, Digest{}, 1)
				qt.Assert(t, v.Reason, qt.Equals, ReasonStarted)
			}
		})
	}
}

// TestHandOverCarriesTheClock guards against a successor with a slow clock for
// which a key is not expired whose mark the home dropped.
func TestHandOverCarriesTheClock(t *testing.T) {
	dayMS := (24 * time.Hour).Milliseconds()
	p := NewKeeper(Origin{"b", 50}, DefaultLimits())
	list := parts(1, 50)
	list[0].NowMS = 3 * dayMS
	for _, part := range list {
		qt.Assert(t, p.Receive(part), qt.IsTrue)
	}
	v, _, _ := p.Claim(dayMS, Key{Home: "a", Incarnation: 1, MintedMS: dayMS}, Digest{}, 1)
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: Unknown, Reason: ReasonExpired})
}

// TestReleaseAfterAnswer guards a completed call against a late release.
func TestReleaseAfterAnswer(t *testing.T) {
	r := NewRecord(DefaultLimits())
	qt.Assert(t, r.Claim(0, Key{}, Digest{}, 1).Outcome, qt.Equals, Claimed)
	qt.Assert(t, r.Complete(Key{}, 1, &Answer{Status: 200}), qt.IsTrue)
	qt.Assert(t, r.Release(Key{}, 1), qt.IsFalse)
	qt.Assert(t, r.Claim(0, Key{}, Digest{}, 2).Outcome, qt.Equals, Answered)
}

// TestExpiryFreesMemory guards against marks that are kept for ever.
func TestExpiryFreesMemory(t *testing.T) {
	r := NewRecord(Limits{Marks: 1, AnswerBytes: 1 << 20})
	qt.Assert(t, r.Claim(0, Key{ID: ID{1}}, Digest{}, 1).Outcome, qt.Equals, Claimed)
	qt.Assert(t, r.Claim(0, Key{ID: ID{2}}, Digest{}, 2), qt.DeepEquals, Verdict{Outcome: NotRun, Reason: ReasonRecordFull})
	later := 27 * hourMS
	qt.Assert(t, r.Claim(later, Key{ID: ID{3}, MintedMS: later}, Digest{}, 3).Outcome, qt.Equals, Claimed)
	qt.Assert(t, len(r.hours), qt.Equals, 1)
}

// TestRepeatedHandOver guards against parts that arrive again after the
// successor has decided about a key.
func TestRepeatedHandOver(t *testing.T) {
	p := NewKeeper(Origin{"b", 50}, DefaultLimits())
	key := Key{Home: "a", Incarnation: 1, ID: ID{9}}
	for executor := range uint64(2) {
		for _, part := range parts(1, 50) {
			qt.Assert(t, p.Receive(part), qt.IsTrue)
		}
		v, _, _ := p.Claim(0, key, Digest{}, executor)
		qt.Assert(t, v.Outcome == Claimed, qt.Equals, executor == 0)
	}
}

// TestUnfinishedHandOversAreBounded guards the memory against homes that die
// during their hand-over; later hand-overs must still be taken.
func TestUnfinishedHandOversAreBounded(t *testing.T) {
	p := NewKeeper(Origin{"b", 50}, DefaultLimits())
	for id := range uint64(3 * maxPending) {
		qt.Assert(t, p.Receive(Part{Origin: Origin{"a", id}, HandOver: id}), qt.IsTrue)
	}
	qt.Assert(t, len(p.pending), qt.Equals, maxPending)
	qt.Assert(t, p.Receive(Part{Origin: Origin{"a", 0}, HandOver: 0, Receiver: 50, Number: 1, Last: true}), qt.IsFalse)
	newest := uint64(3*maxPending - 1)
	qt.Assert(t, p.Receive(Part{Origin: Origin{"a", newest}, HandOver: newest, Receiver: 50, Number: 1, Last: true}), qt.IsTrue)
}
