package follow

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// logAt returns the log of a disk with a publication at its last entry.
func logAt(disk string, revision, term, index uint64, disks ...string) *wire.StoredLog {
	return &wire.StoredLog{
		Publication: &wire.Publication{Revision: revision}, Disk: disk, LastTerm: term, LastIndex: index, Disks: disks,
	}
}

// Guards against a recovered publication that is older than an accepted one: an accepted
// publication is in a majority of the logs, so any smaller number of logs may lack it.
func TestRecoveryNeedsAMajority(t *testing.T) {
	var r recovery
	five := []string{"a", "b", "c", "d", "e"}
	newest := logAt("b", 4, 1, 9, five...)
	qt.Assert(t, r.record("1", logAt("a", 3, 1, 8, five...)), qt.IsNil)
	qt.Assert(t, r.record("1", logAt("a", 3, 1, 8, five...)), qt.IsNil)
	qt.Assert(t, r.record("2", newest), qt.IsNil)
	qt.Assert(t, r.record("3", logAt("c", 3, 1, 8, five...)), qt.Equals, newest.Publication)
	// The log of a coordinator counts only while its stream is open.
	var closed recovery
	three := []string{"a", "b", "c"}
	last := logAt("c", 3, 1, 1, three...)
	qt.Assert(t, closed.record("1", logAt("a", 3, 1, 1, three...)), qt.IsNil)
	closed.remove("1")
	qt.Assert(t, closed.record("2", logAt("b", 3, 1, 1, three...)), qt.IsNil)
	qt.Assert(t, closed.record("3", last), qt.Equals, last.Publication)
	var single recovery
	qt.Assert(t, single.record("3", logAt("c", 3, 1, 1, "c")).Revision, qt.Equals, uint64(3))
	var even recovery
	four := []string{"a", "b", "c", "d"}
	qt.Assert(t, even.record("1", logAt("a", 3, 1, 1, four...)), qt.IsNil)
	qt.Assert(t, even.record("2", logAt("b", 3, 1, 1, four...)), qt.IsNil)
	qt.Assert(t, even.record("3", logAt("c", 3, 1, 1, four...)).Revision, qt.Equals, uint64(3))
}

// Guards against a disk that lost its slot and still counts towards a majority of the logs: it
// and a member that lacks the accepted publication are no majority.
func TestReplacedDiskDoesNotCount(t *testing.T) {
	var r recovery
	qt.Assert(t, r.record("1", logAt("former", 3, 1, 7, "a", "b", "former")), qt.IsNil)
	qt.Assert(t, r.record("2", logAt("b", 3, 1, 8, "a", "b", "successor")), qt.IsNil)
	qt.Assert(t, r.record("3", logAt("successor", 4, 1, 9, "a", "b", "successor")).Revision, qt.Equals, uint64(4))
}

// Guards against the publication of an abandoned entry: an older term's log may be longer and
// name a higher revision that was never accepted. A member whose table is uncertain decides
// nothing.
func TestRecoveryFollowsTheMostRecentLog(t *testing.T) {
	var r recovery
	three := []string{"a", "b", "c"}
	qt.Assert(t, r.record("1", logAt("a", 9, 1, 12, three...)), qt.IsNil)
	qt.Assert(t, r.record("2", logAt("b", 4, 2, 8, three...)).Revision, qt.Equals, uint64(4))
	qt.Assert(t, r.record("3", logAt("c", 5, 3, 9)), qt.IsNil)
}
