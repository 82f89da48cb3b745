package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request at a server of a version that no order allows, and against requests that are
// refused although an allowed version has servers.
func TestChoose(t *testing.T) {
	inProgress := func(share float64) *Record {
		return &Record{Number: 7, Version: "v2", Established: "v1", State: InProgress, Step: 1, Share: share}
	}
	ended := func(state State) *Record {
		r := inProgress(0.3)
		r.State = state
		return r
	}
	// v2 was started before v1 was restarted everywhere.
	both := []ReadyVersion{{"v2", 50}, {"v1", 90}}
	const recent, lapsed = LapseTime, LapseTime + time.Millisecond
	drawnNew := Draw{Number: 7, New: true}
	newOrOld := Choice{Version: "v2", Fallback: "v1", HasFallback: true}
	old, onlyNew := Choice{Version: "v1"}, Choice{Version: "v2"}
	unknownEstablished := inProgress(0.1)
	unknownEstablished.Established = ""
	repeated := ended(RolledBack)
	repeated.Established = "v2"
	for _, tt := range []struct {
		name   string
		record *Record
		age    time.Duration
		draw   Draw
		ready  []ReadyVersion
		want   Choice
	}{
		{"no order: the oldest server", nil, lapsed, Draw{}, both, onlyNew},
		{"no order: other versions", nil, 0, Draw{}, []ReadyVersion{{"v3", 60}, {"v1", 20}, {"v2", 50}}, old},
		{"no order: same start", nil, 0, Draw{}, []ReadyVersion{{"v2", 20}, {"v1", 20}}, old},
		{"no order: established version has no ready server", nil, 0, Draw{}, []ReadyVersion{{"v2", 50}}, onlyNew},
		{"no order: servers without a version", nil, 0, Draw{}, []ReadyVersion{{"", 10}, {"v2", 50}}, Choice{}},
		{"no order, no server", nil, 0, Draw{}, nil, Choice{Any: true}},
		{"in progress, drawn for the new version", inProgress(0.1), recent, drawnNew, both, newOrOld},
		{"in progress, drawn for the old version", inProgress(0.1), recent, Draw{Number: 7}, both, old},
		{"in progress, sent first before the order", inProgress(0.1), recent, Draw{}, both, old},
		{"in progress, drawn in another rollout", inProgress(0.1), recent, Draw{Number: 6, New: true}, both, old},
		{"in progress, share 0", inProgress(0), recent, drawnNew, both, old},
		{"in progress, established version unknown", unknownEstablished, recent, Draw{Number: 7}, both, old},
		{"in progress, no old server left", inProgress(0.9), recent, Draw{Number: 7}, []ReadyVersion{{"v2", 50}}, old},
		{"in progress, no new server", inProgress(0.9), recent, drawnNew, []ReadyVersion{{"v1", 90}}, newOrOld},
		{"lapsed share", inProgress(0.9), lapsed, drawnNew, both, old},
		{"lapsed share, no old server left", inProgress(0.9), lapsed, drawnNew, []ReadyVersion{{"v2", 50}}, old},
		{"last step", inProgress(1), recent, Draw{Number: 7}, both, onlyNew},
		{"last step does not lapse", inProgress(1), time.Hour, Draw{Number: 7}, both, onlyNew},
		{"last step, no new server", inProgress(1), recent, drawnNew, []ReadyVersion{{"v1", 90}}, onlyNew},
		{"complete", ended(Complete), time.Hour, Draw{Number: 7}, both, onlyNew},
		{"complete, no new server", ended(Complete), 0, Draw{}, []ReadyVersion{{"v1", 90}}, onlyNew},
		{"rolled back", ended(RolledBack), 0, drawnNew, both, old},
		{"rolled back, no old server", ended(RolledBack), 0, drawnNew, []ReadyVersion{{"v2", 50}}, old},
		{"rolled back, the version had the traffic already", repeated, 0, Draw{}, both, onlyNew},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, Choose(tt.record, tt.age, tt.draw, tt.ready), qt.Equals, tt.want)
		})
	}
}

// Guards against a draw that does not follow the share, and against draws of the new version without a
// share in force.
func TestDrawVersion(t *testing.T) {
	record := &Record{Number: 7, Version: "v2", State: InProgress, Share: 0.25}
	count := 0
	for i := range 1000 {
		draw := DrawVersion(record, 0, float64(i)/1000)
		qt.Assert(t, draw.Number, qt.Equals, uint64(7))
		if draw.New {
			count++
		}
	}
	qt.Assert(t, count, qt.Equals, 250)
	qt.Assert(t, DrawVersion(record, LapseTime+1, 0).New, qt.IsFalse)
	qt.Assert(t, DrawVersion(nil, 0, 0), qt.Equals, Draw{})
	for _, state := range []State{Complete, RolledBack} {
		qt.Assert(t, DrawVersion(&Record{Number: 7, State: state, Share: 1}, 0, 0), qt.Equals, Draw{})
	}
	record.Share = 0
	qt.Assert(t, DrawVersion(record, 0, 0).New, qt.IsFalse)
}

// Guards against a record that is replaced by an older one from a coordinator that lags behind.
func TestReplaces(t *testing.T) {
	at := func(number uint64, state State, step int) *Record {
		return &Record{Number: number, State: state, Step: step}
	}
	for _, tt := range []struct {
		name             string
		received, stored *Record
		want             bool
	}{
		{"first", at(1, InProgress, 0), nil, true},
		{"next step", at(1, InProgress, 3), at(1, InProgress, 2), true},
		{"same step", at(1, InProgress, 2), at(1, InProgress, 2), false},
		{"earlier step", at(1, InProgress, 1), at(1, InProgress, 2), false},
		{"end", at(1, RolledBack, 2), at(1, InProgress, 2), true},
		{"step after the end", at(1, InProgress, 9), at(1, RolledBack, 2), false},
		{"another end", at(1, Complete, 9), at(1, RolledBack, 2), false},
		{"next order", at(2, InProgress, 0), at(1, Complete, 9), true},
		{"earlier order", at(1, Complete, 9), at(2, InProgress, 0), false},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.Assert(t, tt.received.Replaces(tt.stored), qt.Equals, tt.want) })
	}
}

// Guards against requests of the gateway itself, such as orders for copies, to servers that must get none.
func TestIsClosed(t *testing.T) {
	var none *Record
	qt.Assert(t, none.IsClosed("v1"), qt.IsFalse)
	record := Record{Version: "v2", Established: "v1", Share: 1}
	for state, closed := range map[State]string{InProgress: "", Complete: "v1 v3", RolledBack: "v2"} {
		record.State = state
		got := ""
		for _, version := range []string{"v1", "v2", "v3"} {
			if record.IsClosed(version) {
				if got != "" {
					got += " "
				}
				got += version
			}
		}
		qt.Assert(t, got, qt.Equals, closed, qt.Commentf("%s", state))
	}
}
