package coordinator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// ackTimeout is the time within which a backend server takes a response for an acknowledgement.
const ackTimeout = time.Second

func testServer(id int, state directory.State) directory.Server {
	return directory.Server{
		ID: fmt.Sprint("s", id), Service: "p", Address: fmt.Sprintf("10.0.%d.%d:1", id/250, id%250+1), DataCentre: "d", StartedMS: 1,
		Sequence: 1 + uint64(state), State: state,
	}
}

// withdraw announces the end of a server to a coordinator and returns its result and how long it took.
func (g *testGroup) withdraw(coordinator, id int) (time.Duration, error) {
	startedAt := time.Now()
	err := g.coordinators[coordinator].Withdraw(context.Background(), testServer(id, directory.Gone))
	return time.Since(startedAt), err
}

// stateOnDisk returns the state of a server in the files of a coordinator, as a process reads them that starts now. The
// coordinator may be writing one of the two files, which is then not whole.
func (g *testGroup) stateOnDisk(coordinator int, id string) (state directory.State, ok bool) {
	h := newHub(time.Minute)
	_, _ = h.restore(g.folders[coordinator], time.Now())
	s, ok := h.lookup(id)
	return s.State, ok
}

// Guards against an acknowledgement that is not on as many disks as it takes to outlive those that may be lost, and
// against none although enough disks have it: one disk is full, one coordinator is lost, or two of either.
func TestWithdrawalIsOnEnoughDisks(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	announced := 0
	announce := func() int {
		announced++
		g.coordinators[1].Announce(testServer(announced, directory.Ready))
		return announced
	}
	copies := func(id int, coordinators ...int) (ended int) {
		for _, i := range coordinators {
			if state, ok := g.stateOnDisk(i, fmt.Sprint("s", id)); ok && state == directory.Gone {
				ended++
			}
		}
		return ended
	}
	g.eventually("a ready server on all disks", func() bool {
		id := announce()
		time.Sleep(2 * softStateInterval)
		for i := 1; i <= 3; i++ {
			if _, ok := g.stateOnDisk(i, fmt.Sprint("s", id)); !ok {
				return false
			}
		}
		return true
	})
	_, err := g.withdraw(1, announced)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, copies(announced, 1, 2, 3) >= 2, qt.IsTrue)

	g.fullDisks[1].Store(true)
	_, err = g.withdraw(1, announce())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, copies(announced, 2, 3), qt.Equals, 2)
	g.fullDisks[2].Store(true)
	refused := announce()
	elapsed, err := g.withdraw(1, refused)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, elapsed < ackTimeout, qt.IsTrue, qt.Commentf("%s", elapsed))
	// The refusal is not remembered as an acknowledgement, and the announcement is in effect.
	s, _ := g.coordinators[3].hub.lookup(fmt.Sprint("s", refused))
	qt.Assert(t, s.State, qt.Equals, directory.Gone)
	_, err = g.withdraw(3, refused)
	qt.Assert(t, err, qt.IsNotNil)
	g.fullDisks[1].Store(false)
	g.fullDisks[2].Store(false)
	_, err = g.withdraw(1, refused)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, copies(refused, 1, 2, 3) >= 2, qt.IsTrue)

	g.stop(3)
	_, err = g.withdraw(1, announce())
	qt.Assert(t, err, qt.IsNil)
	g.stop(2)
	elapsed, err = g.withdraw(1, announce())
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, elapsed < ackTimeout, qt.IsTrue, qt.Commentf("%s", elapsed))
}

// Guards against servers that get no acknowledgement in time when a whole service is replaced while the disks are slow:
// announcements that wait together share a write. A server that announces the same state again costs no write.
func TestWithdrawalsShareWrites(t *testing.T) {
	t.Parallel()
	const servers = 270
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	for id := range servers {
		g.coordinators[1+id%3].Announce(testServer(id, directory.Ready))
	}
	for _, test := range []struct {
		state     directory.State
		syncDelay time.Duration
	}{{directory.Leaving, 5 * time.Millisecond}, {directory.Gone, 125 * time.Millisecond}} {
		g.writeDelay.Store(int64(test.syncDelay))
		time.Sleep(2 * softStateInterval)
		writesBefore := g.stateWrites.Load()
		startedAt := time.Now()
		results := make(chan error, servers)
		for id := range servers {
			go func() {
				results <- g.coordinators[1+id%3].Withdraw(context.Background(), testServer(id, test.state))
			}()
		}
		for range servers {
			qt.Assert(t, <-results, qt.IsNil)
		}
		elapsed, writes := time.Since(startedAt), g.stateWrites.Load()-writesBefore
		t.Logf("%d servers, a write takes %s: all acknowledged after %s with %d writes", servers, test.syncDelay, elapsed, writes)
		qt.Assert(t, elapsed < ackTimeout, qt.IsTrue, qt.Commentf("%s", elapsed))
		qt.Assert(t, writes <= servers/3, qt.IsTrue, qt.Commentf("%d writes", writes))
	}
	for range 2 {
		time.Sleep(2 * softStateInterval)
		writesBefore := g.stateWrites.Load()
		elapsed, err := g.withdraw(1, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, elapsed < 125*time.Millisecond, qt.IsTrue, qt.Commentf("%s", elapsed))
		qt.Assert(t, g.stateWrites.Load(), qt.Equals, writesBefore)
	}
}

// Measures the time until a server is acknowledged as ended when nothing else happens.
func BenchmarkWithdrawal(b *testing.B) {
	g := newTestGroup(b, 3)
	g.publish(1, 1, "one")
	id := 0
	for b.Loop() {
		b.StopTimer()
		id++
		g.coordinators[1].Announce(testServer(id, directory.Ready))
		time.Sleep(2 * minWriteInterval)
		b.StartTimer()
		_, err := g.withdraw(1, id)
		qt.Assert(b, err, qt.IsNil)
	}
}

// Guards against a record that is lost when its coordinator asks for a slot: the data of a former slot is removed then.
func TestClearedFolderKeepsTheSoftState(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{softStateFiles[0], softStateFiles[1], assignmentFile, "log-1"} {
		qt.Assert(t, os.WriteFile(filepath.Join(folder, name), nil, 0o600), qt.IsNil)
	}
	qt.Assert(t, clearFolder(folder), qt.IsNil)
	entries, err := os.ReadDir(folder)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, entries, qt.HasLen, 2)
	qt.Assert(t, entries[0].Name(), qt.Equals, softStateFiles[0])
}
