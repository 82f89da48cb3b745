package streamrecord

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against wrong results of single appends: each row is one valid or faulty
// append that the store must recognise.
func TestAppendReasons(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	term := Term{Epoch: 2, Owner: "b"}
	for _, row := range []struct {
		name   string
		append Append
		want   Reason
	}{
		{"next token", Append{StreamID: "s", Term: term, Position: 2, Tokens: []string{"z"}}, Accepted},
		{"repeated tokens", Append{StreamID: "s", Term: term, Position: 0, Tokens: []string{"x", "y"}}, Accepted},
		{"overlap", Append{StreamID: "s", Term: term, Position: 1, Tokens: []string{"y", "z"}}, Accepted},
		{"gap", Append{StreamID: "s", Term: term, Position: 3, Tokens: []string{"z"}}, Gap},
		{"negative", Append{StreamID: "s", Term: term, Position: -1, Tokens: []string{"z"}}, Gap},
		{"different text", Append{StreamID: "s", Term: term, Position: 1, Tokens: []string{"q"}}, Conflict},
		{"unknown", Append{StreamID: "r", Term: term}, UnknownStream},
		{"old epoch", Append{StreamID: "s", Term: Term{Epoch: 1, Owner: "z"}, Position: 2}, StaleEpoch},
		{"lower owner", Append{StreamID: "s", Term: Term{Epoch: 2, Owner: "a"}, Position: 2}, StaleEpoch},
		{"newer owner", Append{StreamID: "s", Term: Term{Epoch: 2, Owner: "c"}, Position: 2}, UnknownStream},
		{"no room", Append{StreamID: "s", Term: term, Position: 2, Tokens: []string{string(make([]byte, 2000))}}, Full},
	} {
		s := NewStore("h", 1000)
		c.Assert(s.Open(Record{StreamID: "s", Term: term, Tokens: []string{"x", "y"}}, now), quicktest.Equals, Accepted)
		c.Check(s.Append(row.append, now), quicktest.Equals, row.want, quicktest.Commentf(row.name))
	}
}

// Guards against tokens after the end of a stream and against records that are kept
// beyond their retention time.
func TestFinishedAndExpiry(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	term := Term{Epoch: 1, Owner: "a"}
	s := NewStore("h", 1<<20)
	for _, stream := range []string{"finished", "idle", "running"} {
		c.Assert(s.Open(Record{StreamID: stream, Term: term}, now), quicktest.Equals, Accepted)
	}
	end := Append{StreamID: "finished", Term: term, Finished: true, FinishReason: "length"}
	c.Assert(s.Append(end, now), quicktest.Equals, Accepted)
	c.Assert(s.Append(Append{StreamID: "finished", Term: term, Tokens: []string{"x"}}, now), quicktest.Equals, Conflict)
	running := func(stream string) bool { return stream == "running" }
	s.Expire(now.Add(FinishedRetention-1), running)
	c.Assert(s.Len(), quicktest.Equals, 3)
	s.Expire(now.Add(FinishedRetention), running)
	c.Assert(s.Len(), quicktest.Equals, 2)
	s.Expire(now.Add(IdleRetention), running)
	c.Assert(s.Len(), quicktest.Equals, 1)
	s.Drop("running", term)
	c.Assert(s.Bytes(), quicktest.Equals, int64(0))
}

// Guards against lost tokens when a batch of an earlier connection arrives
// after those of the next one.
func TestCrossedOpen(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	s := NewStore("h", 1<<20)
	r := Record{StreamID: "s", Term: Term{Epoch: 1, Owner: "a"}, Tokens: []string{"x"}}
	c.Assert(s.Open(r, now), quicktest.Equals, Accepted)
	c.Assert(s.Append(Append{StreamID: "s", Term: r.Term, Position: 1, Tokens: []string{"y"}}, now), quicktest.Equals, Accepted)
	c.Assert(s.Open(r, now), quicktest.Equals, Accepted)
	got, _ := s.Get("s")
	c.Assert(got.Tokens, quicktest.DeepEquals, []string{"x", "y"})
	r.Tokens = []string{"q"}
	c.Assert(s.Open(r, now), quicktest.Equals, Accepted)
	got, _ = s.Get("s")
	c.Assert(got.Tokens, quicktest.DeepEquals, []string{"q"})
}

// expectedRecord is the record that the store must hold of one stream.
type expectedRecord struct {
	exists, finished bool
	// fence is the newest term.
	fence, contentTerm Term
	tokens             []string
	finishedAt         int
}

// Guards against accepted appends of old terms, lost or changed tokens, wrong
// sizes, and the eviction of running streams or of newer finished ones.
func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 3000
		s := NewStore("a", limit)
		want := map[string]*expectedRecord{}
		for i := range 5 {
			want[fmt.Sprint("s", i)] = &expectedRecord{}
		}
		now, finished := time.Unix(1000, 0), 0
		stream := func() (string, *expectedRecord) {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "stream"))
			return name, want[name]
		}
		term := func() Term {
			return Term{
				Epoch: uint64(rapid.IntRange(1, 4).Draw(t, "epoch")),
				Owner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"),
			}
		}
		tokens := func() []string {
			return rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", strings.Repeat("z", 300)}), 0, 6).Draw(t, "tokens")
		}
		checkLimit := func(before int64, owner string) {
			if s.Bytes() > max(before, limit) && owner != "a" {
				t.Fatalf("a copy made %d bytes of %d, the limit is %d", s.Bytes(), before, limit)
			}
		}
		markFinished := func(o *expectedRecord) { finished++; o.finished, o.finishedAt = true, finished }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				name, o := stream()
				before, _ := s.Get(name)
				r := Record{StreamID: name, Organisation: "o", Term: term(), Tokens: tokens(), Finished: rapid.Bool().Draw(t, "finished")}
				defer checkLimit(s.Bytes(), r.Term.Owner)
				switch s.Open(r, now) {
				case Accepted:
					if r.Term.Before(o.fence) {
						t.Fatalf("opened under %v after %v", r.Term, o.fence)
					}
					got, _ := s.Get(name)
					if !slices.Equal(got.Tokens[:len(r.Tokens)], r.Tokens) {
						t.Fatalf("opened %q and kept %q", r.Tokens, got.Tokens)
					}
					if got.Finished && got != before {
						markFinished(o)
					}
					o.contentTerm = r.Term
					o.exists, o.finished, o.fence, o.tokens = true, got.Finished, got.Term, slices.Clone(got.Tokens)
				case StaleEpoch:
					if !r.Term.Before(o.fence) {
						t.Fatalf("refused %v as older than %v", r.Term, o.fence)
					}
				}
			},
			"append": func(t *rapid.T) {
				name, o := stream()
				a := Append{
					StreamID: name, Term: term(), Position: rapid.IntRange(0, 8).Draw(t, "position"),
					Tokens: tokens(), Finished: rapid.Bool().Draw(t, "finished"),
				}
				defer checkLimit(s.Bytes(), a.Term.Owner)
				if s.Append(a, now) != Accepted {
					return
				}
				if !o.exists || a.Term.Before(o.fence) || a.Term != o.contentTerm || a.Position > len(o.tokens) {
					t.Fatalf("accepted %+v with %+v", a, o)
				}
				if last := a.Position + len(a.Tokens); last > len(o.tokens) {
					if o.finished {
						t.Fatal("accepted tokens after the end")
					}
					o.tokens = append(o.tokens, a.Tokens[len(o.tokens)-a.Position:]...)
				}
				if a.Finished && !o.finished {
					markFinished(o)
				}
			},
			"take over": func(t *rapid.T) {
				name, o := stream()
				atLeast, newTerm := rapid.IntRange(0, 8).Draw(t, "at least"), term()
				epoch, wantStatus := s.Find(name, "o", atLeast)
				if epoch != o.fence.Epoch || (wantStatus == Usable) != (o.exists && len(o.tokens) >= atLeast) {
					t.Fatalf("found %s in epoch %d, and the record is %+v", wantStatus, epoch, o)
				}
				r, status := s.TakeOver(name, "o", newTerm, atLeast, now)
				if newTerm.Before(o.fence) {
					wantStatus = Newer
				} else {
					o.fence = newTerm
				}
				if status != wantStatus || status == Usable && !slices.Equal(r.Tokens, o.tokens) {
					t.Fatalf("copy is %s, %+v, want %s, %+v", status, r, wantStatus, o)
				}
			},
			"": func(t *rapid.T) { checkStore(t, s, want) },
		})
	})
}

func checkStore(t *rapid.T, s *Store, want map[string]*expectedRecord) {
	var size int64
	evicted, oldestKept := 0, 1<<30
	for name, o := range want {
		r, ok := s.Get(name)
		switch {
		case ok:
			size += r.bytes()
			if !slices.Equal(r.Tokens, o.tokens) || r.Finished != o.finished || r.Term != o.fence {
				t.Fatalf("%s is %+v, want %+v", name, r, o)
			}
			if o.finished {
				oldestKept = min(oldestKept, o.finishedAt)
			}
		case o.exists && !o.finished:
			t.Fatalf("running stream %s was evicted", name)
		case o.exists:
			evicted = max(evicted, o.finishedAt)
			*o = expectedRecord{}
		}
	}
	if evicted > oldestKept {
		t.Fatal("a finished stream was evicted before an older one")
	}
	if size != s.Bytes() {
		t.Fatalf("%d bytes counted, %d kept", s.Bytes(), size)
	}
}

// BenchmarkStoreAppend measures one append of one token.
func BenchmarkStoreAppend(b *testing.B) {
	now := time.Unix(1000, 0)
	s := NewStore("h", 1<<40)
	term := Term{Epoch: 1, Owner: "a"}
	tokens := []string{" token"}
	name := ""
	b.ReportAllocs()
	for i := range b.N {
		if i%4000 == 0 {
			s.Drop(name, term)
			name = fmt.Sprint("s", i)
			s.Open(Record{StreamID: name, Term: term}, now)
		}
		if s.Append(Append{StreamID: name, Term: term, Position: i % 4000, Tokens: tokens}, now) != Accepted {
			b.Fatal("not accepted")
		}
	}
}
