package wal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random test unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("11")
	}
	os.Exit(m.Run())
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

func hard(term, commit uint64) *consensus.HardState {
	return &consensus.HardState{Term: term, VotedFor: "a", Commit: commit}
}

// steps are saved one after the other: appends, a cut of the log, a first table.
var steps = []consensus.Ready{
	{Hard: hard(1, 0)},
	{Entries: []consensus.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}},
	{Entries: []consensus.Entry{entry(2, 2)}, Hard: hard(2, 1)},
	{Entries: []consensus.Entry{entry(3, 2)}, Hard: hard(2, 3)},
}

// saved returns a folder with the steps, the state before each step and after
// the last one, and the size of the log at these points.
func saved(t *testing.T) (folder string, states []consensus.Stored, sizes []int) {
	folder = t.TempDir()
	l, _, _, err := Open(folder)
	qt.Assert(t, err, qt.IsNil)
	note := func() {
		data, err := os.ReadFile(l.path(logName))
		qt.Assert(t, err, qt.IsNil)
		sizes = append(sizes, len(data))
		s := l.stored
		s.Entries = append([]consensus.Entry(nil), s.Entries...)
		states = append(states, s)
	}
	note()
	for _, r := range steps {
		qt.Assert(t, l.Save(r), qt.IsNil)
		note()
	}
	qt.Assert(t, l.Close(), qt.IsNil)
	return folder, states, sizes
}

func reopen(t testing.TB, folder string) (consensus.Stored, error) {
	l, stored, _, err := Open(folder)
	if err == nil {
		qt.Assert(t, l.Close(), qt.IsNil)
	}
	return stored, err
}

// Guards against a start that fails, or invents state, after a crash in the
// middle of a write: the log is cut at each byte.
func TestCutAtEachByte(t *testing.T) {
	folder, states, sizes := saved(t)
	path := filepath.Join(folder, logName)
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for size := range headerOf(data) {
		qt.Assert(t, os.WriteFile(path, data[:size], 0o600), qt.IsNil)
		_, err := reopen(t, folder)
		qt.Assert(t, err, qt.ErrorMatches, "(?s).*"+path+" at offset 0.*")
	}
	for size := headerOf(data); size <= len(data); size++ {
		for _, tail := range [][]byte{nil, make([]byte, 50)} {
			qt.Assert(t, os.WriteFile(path, append(bytes.Clone(data[:size]), tail...), 0o600), qt.IsNil)
			whole := 0
			for whole+1 < len(sizes) && sizes[whole+1] <= size {
				whole++
			}
			got, err := reopen(t, folder)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("cut at %d", size))
			qt.Assert(t, got, qt.DeepEquals, states[whole], qt.Commentf("cut at %d", size))
			// What is saved next must not land behind the torn bytes.
			l, _, _, err := Open(folder)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Save(consensus.Ready{Hard: hard(9, 0)}), qt.IsNil)
			qt.Assert(t, l.Close(), qt.IsNil)
			got.Hard = *hard(9, 0)
			again, err := reopen(t, folder)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("cut at %d", size))
			qt.Assert(t, again, qt.DeepEquals, got)
		}
	}
}

// Guards against damage that is taken for a torn end and silently drops
// acknowledged entries.
func TestDamageAtEachByte(t *testing.T) {
	folder, _, sizes := saved(t)
	path := filepath.Join(folder, logName)
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for i := range sizes[len(sizes)-2] {
		damaged := bytes.Clone(data)
		damaged[i] ^= 0x41
		qt.Assert(t, os.WriteFile(path, damaged, 0o600), qt.IsNil)
		_, err := reopen(t, folder)
		start := 0
		for _, size := range append([]int{headerOf(data)}, sizes...) {
			if size <= i {
				start = size
			}
		}
		qt.Assert(t, err, qt.ErrorMatches, fmt.Sprintf("(?s).*%s at offset %d.*", path, start), qt.Commentf("byte %d", i))
	}
}

// headerOf returns the size of the first record.
func headerOf(data []byte) int {
	payload, _ := readRecord(data)
	return headerSize + len(payload)
}

// Guards against a restart that returns other state than was saved, also when a
// crash left the snapshot without the log that follows it.
func TestReopenReturnsSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		check(t, err)
		defer func() { _ = os.RemoveAll(folder) }()
		l, want, id, err := Open(folder)
		check(t, err)
		term := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "saves") {
			r := drawReady(t, want, &term)
			crash := r.Snapshot != nil && rapid.Bool().Draw(t, "crash after the snapshot")
			before, err := os.ReadFile(l.path(logName))
			check(t, err)
			check(t, l.Save(r))
			check(t, l.Close())
			if crash {
				check(t, os.WriteFile(l.path(logName), before, 0o600))
				r.Entries, r.Hard = nil, nil
			}
			model(&want, r)
			var got consensus.Stored
			var again consensus.DiskID
			l, got, again, err = Open(folder)
			check(t, err)
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); again != id || diff != "" {
				t.Fatalf("disk %s, was %s; state differs: %s", again, id, diff)
			}
		}
		check(t, l.Close())
	})
}

// check ends a random test on an error.
func check(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func drawReady(t *rapid.T, s consensus.Stored, term *uint64) (r consensus.Ready) {
	base, last := s.Snapshot.Index, s.Snapshot.Index+uint64(len(s.Entries))
	*term += rapid.Uint64Range(0, 1).Draw(t, "term")
	if rapid.Bool().Draw(t, "with snapshot") {
		index := rapid.Uint64Range(base, last+2).Draw(t, "snapshot index")
		r.Snapshot = &consensus.Snapshot{
			Index: index, Term: *term, Members: map[consensus.MemberID]consensus.DiskID{"a": "x"}, Group: 7, Data: []byte("state"),
		}
		if index > base && index <= last && rapid.Bool().Draw(t, "own state") {
			r.Snapshot.Term = s.Entries[index-base-1].Term
		}
		model(&s, consensus.Ready{Snapshot: r.Snapshot})
		base, last = s.Snapshot.Index, s.Snapshot.Index+uint64(len(s.Entries))
	}
	if count := rapid.Uint64Range(0, 3).Draw(t, "entries"); count > 0 {
		first := rapid.Uint64Range(base+1, last+1).Draw(t, "first")
		for i := range count {
			r.Entries = append(r.Entries, entry(first+i, *term))
		}
	}
	if rapid.Bool().Draw(t, "with hard state") {
		r.Hard = hard(*term, base)
	}
	return r
}

// model is what Save promises.
func model(s *consensus.Stored, r consensus.Ready) {
	if n := r.Snapshot; n != nil {
		var keep []consensus.Entry
		if i := n.Index - s.Snapshot.Index; i == 0 {
			keep = s.Entries
		} else if i <= uint64(len(s.Entries)) && s.Entries[i-1].Term == n.Term {
			keep = append(keep, s.Entries[i:]...)
		}
		s.Snapshot, s.Entries = *n, keep
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - s.Snapshot.Index - 1
		s.Entries = append(s.Entries[:keep:keep], r.Entries...)
	}
	if r.Hard != nil {
		s.Hard = *r.Hard
	}
}

// watched fails the test when written bytes are left without a sync.
type watched struct {
	file
	dirty *int
	syncs *int
}

func (w watched) Write(p []byte) (int, error) { *w.dirty++; return w.file.Write(p) }
func (w watched) Sync() error                 { *w.dirty = 0; *w.syncs++; return w.file.Sync() }

// Guards against a Save that returns before its data is durable, and against
// more than one sync for entries and hard state.
func TestSaveSyncs(t *testing.T) {
	syncs := 0
	var files []*int
	l, _, _, err := open(t.TempDir(), func(f *os.File) file {
		files = append(files, new(int))
		return watched{f, files[len(files)-1], &syncs}
	})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	snapshot := consensus.Ready{Snapshot: &consensus.Snapshot{Index: 2, Term: 2, Members: map[consensus.MemberID]consensus.DiskID{}}}
	for i, r := range append(steps, snapshot) {
		syncs = 0
		qt.Assert(t, l.Save(r), qt.IsNil)
		for _, dirty := range files {
			qt.Assert(t, *dirty, qt.Equals, 0)
		}
		qt.Assert(t, i == len(steps) || syncs == 1, qt.IsTrue)
	}
}

// Guards against a member that votes under a disk whose votes were lost, and
// against two processes that write one log.
func TestRefusals(t *testing.T) {
	folder := t.TempDir()
	l, _, _, err := Open(folder)
	qt.Assert(t, err, qt.IsNil)
	_, err = reopen(t, folder)
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*in use by another process.*")
	r := consensus.Ready{Snapshot: &consensus.Snapshot{Members: map[consensus.MemberID]consensus.DiskID{"a": "x"}}}
	qt.Assert(t, l.Save(r), qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, l.Save(r), qt.IsNotNil)
	qt.Assert(t, os.Remove(filepath.Join(folder, logName)), qt.IsNil)
	_, err = reopen(t, folder)
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*the folder was damaged.*")
}

// FuzzRecords guards against a decoder that panics or that returns records
// other than those that were written.
func FuzzRecords(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, []byte("one")), nil))
	f.Add([]byte{0, 0, 0, 0, 0x48, 0x67, 0x4b, 0xc7, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, size, _ := readRecords(data)
		var again []byte
		for _, p := range payloads {
			again = appendRecord(again, p)
		}
		qt.Assert(t, string(again), qt.Equals, string(data[:size]))
	})
}

// BenchmarkOpen reports the cost of replaying a log.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{300, 3000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			folder := b.TempDir()
			l, _, _, err := Open(folder)
			qt.Assert(b, err, qt.IsNil)
			for i := range uint64(count) {
				payload := consensus.Ready{Entries: []consensus.Entry{entry(i+1, 1)}, Hard: hard(1, i)}
				qt.Assert(b, l.Save(payload), qt.IsNil)
			}
			qt.Assert(b, l.Close(), qt.IsNil)
			for b.Loop() {
				got, err := reopen(b, folder)
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, got.Entries, qt.HasLen, count)
			}
		})
	}
}

// BenchmarkSave reports the cost of one entry made durable.
func BenchmarkSave(b *testing.B) {
	l, _, _, err := Open(b.TempDir())
	qt.Assert(b, err, qt.IsNil)
	index := uint64(0)
	for b.Loop() {
		index++
		qt.Assert(b, l.Save(consensus.Ready{Entries: []consensus.Entry{entry(index, 1)}, Hard: hard(1, index-1)}), qt.IsNil)
	}
	qt.Assert(b, l.Close(), qt.IsNil)
}
