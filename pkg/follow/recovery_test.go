package follow

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// Guards against a publication that is taken back: every accepted one is in the
// logs of a majority, so fewer answers than that may all lack it.
func TestRecoveryNeedsAMajority(t *testing.T) {
	var r recovery
	old, newest := &wire.Publication{Revision: 3}, &wire.Publication{Revision: 4}
	qt.Assert(t, r.note("a", old, 5), qt.IsNil)
	qt.Assert(t, r.note("a", old, 5), qt.IsNil)
	qt.Assert(t, r.note("b", newest, 5), qt.IsNil)
	qt.Assert(t, r.note("c", old, 5), qt.Equals, newest)
	// An answer counts while its stream is open.
	var ended recovery
	qt.Assert(t, ended.note("a", old, 3), qt.IsNil)
	ended.forget("a")
	qt.Assert(t, ended.note("b", old, 3), qt.IsNil)
	qt.Assert(t, ended.note("c", old, 3), qt.Equals, old)
	var one recovery
	qt.Assert(t, one.note("a", old, 1), qt.Equals, old)
	var even recovery
	qt.Assert(t, even.note("a", old, 4), qt.IsNil)
	qt.Assert(t, even.note("b", old, 4), qt.IsNil)
	qt.Assert(t, even.note("c", old, 4), qt.Equals, old)
}
