package follow

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// Guards against a recovered publication that is older than an accepted one: an accepted
// publication is in a majority of the logs, so any smaller number of logs may lack it.
func TestRecoveryNeedsAMajority(t *testing.T) {
	var r recovery
	old, newest := &wire.Publication{Revision: 3}, &wire.Publication{Revision: 4}
	qt.Assert(t, r.record("a", old, 5), qt.IsNil)
	qt.Assert(t, r.record("a", old, 5), qt.IsNil)
	qt.Assert(t, r.record("b", newest, 5), qt.IsNil)
	qt.Assert(t, r.record("c", old, 5), qt.Equals, newest)
	// The publication of a coordinator counts only while its stream is open.
	var closed recovery
	qt.Assert(t, closed.record("a", old, 3), qt.IsNil)
	closed.remove("a")
	qt.Assert(t, closed.record("b", old, 3), qt.IsNil)
	qt.Assert(t, closed.record("c", old, 3), qt.Equals, old)
	var single recovery
	qt.Assert(t, single.record("a", old, 1), qt.Equals, old)
	var even recovery
	qt.Assert(t, even.record("a", old, 4), qt.IsNil)
	qt.Assert(t, even.record("b", old, 4), qt.IsNil)
	qt.Assert(t, even.record("c", old, 4), qt.Equals, old)
}
