package once

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var homeRecord = RecordID{"a", 1}

func handOverParts(id uint64, receiver uint64, states ...KeyState) []Part {
	parts := []Part{{RecordID: homeRecord, HandOverID: id}}
	for _, s := range states {
		parts = append(parts, Part{RecordID: homeRecord, HandOverID: id, ReceiverIncarnation: receiver, Number: uint32(len(parts)), KeyStates: []KeyState{s}})
	}
	return append(parts, Part{RecordID: homeRecord, HandOverID: id, ReceiverIncarnation: receiver, Number: uint32(len(parts)), Last: true})
}

// TestReceiveRefuses guards against used keys that can be claimed again because
// a part of a hand-over was repeated, lost or sent to an earlier incarnation.
func TestReceiveRefuses(t *testing.T) {
	used := []KeyState{{ID: ID{1}, Executor: 7}, {ID: ID{2}, Executor: 8}}
	complete, other := handOverParts(1, 50, used...), handOverParts(2, 50)
	tests := []struct {
		name  string
		parts []Part
		owned bool
	}{
		{"whole", complete, true},
		{"each part twice", []Part{complete[0], complete[0], complete[1], complete[1], complete[2], complete[0], complete[3], complete[3]}, true},
		{"without the last part", complete[:3], false},
		{"without a part", []Part{complete[0], complete[1], complete[3]}, false},
		{"without the first part", complete[1:], false},
		{"mixed with another hand-over", []Part{complete[0], other[0], other[1], complete[1]}, true},
		{"end of another hand-over", []Part{complete[0], complete[1], {RecordID: homeRecord, HandOverID: 2, ReceiverIncarnation: 50, Number: 2, Last: true}}, false},
		{"first part is the last", []Part{{RecordID: homeRecord, HandOverID: 1, Last: true}}, false},
		{"for an earlier incarnation of the receiver", append(handOverParts(1, 49)[:1], handOverParts(1, 49)[1:]...), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := NewStore(RecordID{"b", 50}, DefaultLimits())
			for _, part := range test.parts {
				store.Receive(part)
			}
			_, ownership, _ := store.Claim(0, Key{Home: "a", Incarnation: 1, ID: ID{9}}, Digest{}, 1)
			qt.Assert(t, ownership == Owned, qt.Equals, test.owned)
			if test.name == "whole" || test.name == "each part twice" {
				v, _, _ := store.Claim(0, Key{Home: "a", Incarnation: 1, ID: ID{2}}, Digest{}, 1)
				qt.Assert(t, v.Reason, qt.Equals, ReasonStarted)
			}
		})
	}
}

// TestHandOverCarriesTheClock guards against a successor that runs an expired key
// again: its clock is behind, and the home has already removed the used key.
func TestHandOverCarriesTheClock(t *testing.T) {
	dayMS := (24 * time.Hour).Milliseconds()
	store := NewStore(RecordID{"b", 50}, DefaultLimits())
	parts := handOverParts(1, 50)
	parts[0].NowMS = 3 * dayMS
	for _, part := range parts {
		qt.Assert(t, store.Receive(part), qt.IsTrue)
	}
	v, _, _ := store.Claim(dayMS, Key{Home: "a", Incarnation: 1, MintedMS: dayMS}, Digest{}, 1)
	qt.Assert(t, v, qt.DeepEquals, Verdict{Outcome: Unknown, Reason: ReasonExpired})
}

// TestReleaseAfterAnswer guards against a late release that makes the key of a
// completed call unused again.
func TestReleaseAfterAnswer(t *testing.T) {
	r := NewRecord(DefaultLimits())
	qt.Assert(t, r.Claim(0, Key{}, Digest{}, 1).Outcome, qt.Equals, Claimed)
	qt.Assert(t, r.Complete(Key{}, 1, &Answer{Status: 200}), qt.IsTrue)
	qt.Assert(t, r.Release(Key{}, 1), qt.IsFalse)
	qt.Assert(t, r.Claim(0, Key{}, Digest{}, 2).Outcome, qt.Equals, Answered)
}

// TestExpiryFreesMemory guards against used keys that are kept after their expiry.
func TestExpiryFreesMemory(t *testing.T) {
	r := NewRecord(Limits{MaxKeys: 1, MaxAnswerBytes: 1 << 20})
	qt.Assert(t, r.Claim(0, Key{ID: ID{1}}, Digest{}, 1).Outcome, qt.Equals, Claimed)
	qt.Assert(t, r.Claim(0, Key{ID: ID{2}}, Digest{}, 2), qt.DeepEquals, Verdict{Outcome: NotRun, Reason: ReasonRecordFull})
	laterMS := 27 * hourMS
	qt.Assert(t, r.Claim(laterMS, Key{ID: ID{3}, MintedMS: laterMS}, Digest{}, 3).Outcome, qt.Equals, Claimed)
	qt.Assert(t, len(r.keysByHour), qt.Equals, 1)
}

// TestRepeatedHandOver guards against repeated parts that replace the record after
// the successor has decided about a key.
func TestRepeatedHandOver(t *testing.T) {
	store := NewStore(RecordID{"b", 50}, DefaultLimits())
	key := Key{Home: "a", Incarnation: 1, ID: ID{9}}
	for executor := range uint64(2) {
		for _, part := range handOverParts(1, 50) {
			qt.Assert(t, store.Receive(part), qt.IsTrue)
		}
		v, _, _ := store.Claim(0, key, Digest{}, executor)
		qt.Assert(t, v.Outcome == Claimed, qt.Equals, executor == 0)
	}
}

// TestUnfinishedHandOversAreBounded guards against memory that grows with each
// home that fails during its hand-over. Later hand-overs must still be accepted.
func TestUnfinishedHandOversAreBounded(t *testing.T) {
	store := NewStore(RecordID{"b", 50}, DefaultLimits())
	for id := range uint64(3 * maxIncomingHandOvers) {
		qt.Assert(t, store.Receive(Part{RecordID: RecordID{"a", id}, HandOverID: id}), qt.IsTrue)
	}
	qt.Assert(t, len(store.incoming), qt.Equals, maxIncomingHandOvers)
	qt.Assert(t, store.Receive(Part{RecordID: RecordID{"a", 0}, HandOverID: 0, ReceiverIncarnation: 50, Number: 1, Last: true}), qt.IsFalse)
	newest := uint64(3*maxIncomingHandOvers - 1)
	qt.Assert(t, store.Receive(Part{RecordID: RecordID{"a", newest}, HandOverID: newest, ReceiverIncarnation: 50, Number: 1, Last: true}), qt.IsTrue)
}
