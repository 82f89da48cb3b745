package membudget

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var background = context.Background()

// Guards against an ordinary caller that is refused while slow holders of much keep the budget: they are closed, the
// slowest that holds most first, and no more of them than needed.
func TestSlowestThatHoldsMostIsClosedFirst(t *testing.T) {
	b := New(8 << 20)
	evicted := make(chan string, 4)
	hold := func(name string, size int64, quiet time.Duration) *Account {
		var a *Account
		a = b.NewAccount(func() {
			evicted <- name
			go a.Close()
		})
		qt.Assert(t, a.Grow(background, size, 0), qt.IsNil)
		b.mu.Lock()
		a.progressAt = a.progressAt.Add(-quiet)
		b.mu.Unlock()
		return a
	}
	hold("large and quick", 3<<20, 0)
	hold("large and slow", 3<<20, time.Second)
	hold("small and slow", 16<<10, 10*time.Second)
	large := b.NewAccount(nil)
	qt.Assert(t, large.Grow(background, 2<<20, time.Second), qt.IsNil)
	qt.Assert(t, <-evicted, qt.Equals, "large and slow")
	qt.Assert(t, evicted, qt.HasLen, 0)
	qt.Assert(t, b.Stats().Evicted, qt.Equals, int64(1))
}

// Guards against large bodies in use, which are never closed, that leave no room for ordinary ones.
func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	b := New(8 << 20)
	large := b.NewAccount(func() { t.Error("an account in use was evicted") })
	qt.Assert(t, large.Grow(background, 7<<20, 0), qt.IsNil)
	qt.Assert(t, large.Pin(), qt.IsNil)
	qt.Assert(t, errors.Is(b.NewAccount(nil).Grow(background, 128<<10, 10*time.Millisecond), ErrShort), qt.IsTrue)
	qt.Assert(t, b.NewAccount(nil).Grow(background, 64<<10, 0), qt.IsNil)
	qt.Assert(t, b.Stats().Refused, qt.Equals, int64(1))
}

// Guards against a wait that misses returned bytes, and one that outlasts its caller.
func TestWaitEndsWhenBytesReturn(t *testing.T) {
	b := New(1 << 20)
	holder, waiter := b.NewAccount(nil), b.NewAccount(nil)
	qt.Assert(t, holder.Grow(background, 800<<10, 0), qt.IsNil)
	time.AfterFunc(20*time.Millisecond, holder.Close)
	qt.Assert(t, waiter.Grow(background, 800<<10, 10*time.Second), qt.IsNil)
	ctx, cancel := context.WithTimeout(background, 10*time.Millisecond)
	defer cancel()
	qt.Assert(t, errors.Is(b.NewAccount(nil).Grow(ctx, 800<<10, 10*time.Second), context.DeadlineExceeded), qt.IsTrue)
	qt.Assert(t, b.waiting, qt.Equals, 0)
}

// Guards against an account that is evicted while it waits for room and keeps its bytes until its wait ends.
func TestEvictedWaiterReturnsAtOnce(t *testing.T) {
	b := New(1 << 20)
	waiter, other := b.NewAccount(func() {}), b.NewAccount(nil)
	qt.Assert(t, waiter.Grow(background, 600<<10, 0), qt.IsNil)
	waited := make(chan error, 1)
	go func() {
		err := waiter.Grow(background, 600<<10, time.Minute)
		waiter.Close()
		waited <- err
	}()
	for {
		b.mu.Lock()
		waiting := b.waiting
		b.mu.Unlock()
		if waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, other.Grow(background, 400<<10, 10*time.Second), qt.IsNil)
	select {
	case err := <-waited:
		qt.Assert(t, errors.Is(err, ErrEvicted), qt.IsTrue)
	case <-time.After(10 * time.Second):
		t.Fatal("the evicted account still waits for room")
	}
}

// Guards against a holder that stops while a larger account waits for room, and is compared with it only once, when it
// had just made progress.
func TestHolderThatBecomesSlowMakesRoom(t *testing.T) {
	b := New(1 << 20)
	var holder *Account
	holder = b.NewAccount(func() { go holder.Close() })
	large := b.NewAccount(nil)
	qt.Assert(t, large.Grow(background, 100<<10, 0), qt.IsNil)
	qt.Assert(t, holder.Grow(background, 300<<10, 0), qt.IsNil)
	qt.Assert(t, large.Grow(background, 600<<10, 10*time.Second), qt.IsNil)
	qt.Assert(t, holder.Evicted(), qt.IsTrue)
}

// Guards against bytes that are counted twice, or never returned, in any order of calls: the budget counts what its
// accounts hold, and never more than its limit.
func TestBudgetCountsWhatAccountsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1 << 20)
		accounts := make([]*Account, 4)
		for i := range accounts {
			accounts[i] = b.NewAccount(func() {})
		}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			size := int64(rapid.IntRange(0, 300<<10).Draw(t, "size"))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				_ = a.Grow(background, size, 0)
			case 2:
				a.Shrink(size)
			case 3:
				a.Close()
				for i := range accounts {
					if accounts[i] == a {
						accounts[i] = b.NewAccount(func() {})
					}
				}
			}
			var held, closing int64
			for _, a := range accounts {
				held += a.held
				if a.isEvicted {
					closing += a.held
				}
			}
			if b.used != held || b.closing != closing || b.used > b.limit || len(b.accounts) > len(accounts) {
				t.Fatalf("used %d, held %d, closing %d of %d, limit %d", b.used, held, b.closing, closing, b.limit)
			}
		}
	})
}

// Guards against a deadlock or a lost wake-up among many callers that wait for each other.
func TestManyWaitersFinish(t *testing.T) {
	b := New(1 << 20)
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			for range 20 {
				a := b.NewAccount(nil)
				if err := a.Grow(background, 200<<10, time.Minute); err != nil {
					t.Error(err)
				}
				a.Close()
			}
		})
	}
	callers.Wait()
	qt.Assert(t, b.used, qt.Equals, int64(0))
	qt.Assert(t, b.waiting, qt.Equals, 0)
	qt.Assert(t, b.accounts, qt.HasLen, 0)
}

// Guards against bounds that a single request inside the configuration's limits meets, or that leave no memory for
// garbage, on the smallest and the largest machines.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, machine := range []struct {
		memoryMB    int64
		descriptors int
	}{{144, 3075}, {184, 3075}, {424, 10250}, {280, 4096}, {0, 20}} {
		l := LimitsOf(machine.memoryMB<<20, machine.descriptors)
		qt.Check(t, l.Bytes >= 5<<20, qt.IsTrue)
		qt.Check(t, l.Connections >= minConnections, qt.IsTrue)
		if machine.memoryMB > 0 {
			qt.Check(t, l.Bytes+int64(l.Connections)*connectionBytes <= machine.memoryMB<<20/2, qt.IsTrue)
			qt.Check(t, l.Connections <= machine.descriptors/2, qt.IsTrue)
		}
	}
}

// Guards against a limit of the control group that is not read, in either version of its files and in a parent group.
func TestCgroupLimit(t *testing.T) {
	root, membership := t.TempDir(), filepath.Join(t.TempDir(), "cgroup")
	write := func(content string, path ...string) {
		file := filepath.Join(path...)
		qt.Assert(t, os.MkdirAll(filepath.Dir(file), 0o700), qt.IsNil)
		qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
	}
	qt.Assert(t, cgroupLimit(root, membership), qt.Equals, int64(0))
	write("0::/a/b\n", membership)
	write("max\n", root, "a/b/memory.max")
	qt.Assert(t, cgroupLimit(root, membership), qt.Equals, int64(0))
	write("150994944\n", root, "a/memory.max")
	qt.Assert(t, cgroupLimit(root, membership), qt.Equals, int64(144<<20))
	write("3:cpu:/x\n4:memory:/x\n", membership)
	write("9223372036854771712\n", root, "memory/x/memory.limit_in_bytes")
	qt.Assert(t, cgroupLimit(root, membership), qt.Equals, int64(0))
	write("104857600\n", root, "memory/x/memory.limit_in_bytes")
	qt.Assert(t, cgroupLimit(root, membership), qt.Equals, int64(100<<20))
	qt.Assert(t, Memory(7), qt.Equals, int64(7<<20))
}
