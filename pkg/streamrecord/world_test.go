package streamrecord

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// world is a pure model of instances around their stores: one stream, owners
// that copy it to holders over connections, takeovers and frozen instances.
type world struct {
	t      *rapid.T
	now    time.Time
	stores []*Store
	// frozen is the instance that does nothing at the moment, or -1.
	frozen int
	owners map[int]*owner
	// reader is the instance that the caller reads from, and answer what it got.
	reader int
	answer []string
	// late holds the messages to instances that were frozen.
	late []func()
	// sent is what any owner could send to any caller so far.
	sent []string
}

// owner is the state of one period of ownership. The wire between owner and
// holder keeps the order of its messages.
type owner struct {
	term   Term
	holder int
	opened bool
	sent   int
	held   int
	lost   bool
	wire   []message
	acks   []message
}

type message struct {
	open   *Record
	append Append
	upTo   int
	reason Reason
}

const worldSize = 4

func name(i int) string { return string(rune('a' + i)) }

// follow returns the token that term generates after a history. It differs
// between terms, so a mix of two of them is visible.
func follow(term Term, history []string) string {
	d := xxhash.New()
	for _, token := range history {
		_, _ = d.WriteString(token)
	}
	return fmt.Sprintf("%x.%d%s ", d.Sum64(), term.Epoch, term.Owner)
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), frozen: -1, owners: map[int]*owner{}}
	for i := range worldSize {
		w.stores = append(w.stores, NewStore(name(i), 1<<20))
	}
	first := Record{Stream: "s", Organisation: "o", Term: Term{Epoch: 1, Owner: name(0)}}
	w.stores[0].Open(first, w.now)
	w.owners[0] = &owner{term: first.Term, holder: 1}
	return w
}

// pick draws an instance that is not frozen.
func (w *world) pick(label string) int {
	i := rapid.IntRange(0, worldSize-1).Draw(w.t, label)
	if i == w.frozen {
		i = (i + 1) % worldSize
	}
	return i
}

// draw draws an owner that is not frozen, or returns nil.
func (w *world) draw() (int, *owner) {
	i := w.pick("owner")
	return i, w.owner(i)
}

// owner returns an instance as an owner, or nil if it is none or frozen.
func (w *world) owner(i int) *owner {
	o := w.owners[i]
	if o == nil || o.lost || i == w.frozen {
		return nil
	}
	if r, ok := w.stores[i].Get("s"); !ok || r.Term != o.term {
		o.lost = true
		return nil
	}
	return o
}

func (w *world) generate(i int) {
	o := w.owner(i)
	if o == nil {
		return
	}
	r, _ := w.stores[i].Get("s")
	token := follow(o.term, r.Tokens)
	a := Append{Stream: "s", Term: o.term, Position: len(r.Tokens), Tokens: []string{token}}
	if reason := w.stores[i].Append(a, w.now); reason != Accepted {
		w.t.Fatalf("the owner's own store answers %s", reason)
	}
}

func (w *world) send(i int) {
	o := w.owner(i)
	if o == nil {
		return
	}
	r, _ := w.stores[i].Get("s")
	m := message{upTo: len(r.Tokens)}
	if o.opened {
		m.append = Append{Stream: "s", Term: o.term, Position: o.sent, Tokens: slices.Clone(r.Tokens[o.sent:])}
	} else {
		c := *r
		c.Tokens = slices.Clone(r.Tokens)
		m.open = &c
	}
	o.opened, o.sent = true, len(r.Tokens)
	o.wire = append(o.wire, m)
}

// deliver hands the oldest message of an owner to its holder. The owner may be
// frozen: its messages are under way.
func (w *world) deliver(i int) {
	o := w.owners[i]
	if o == nil || len(o.wire) == 0 || o.holder == w.frozen {
		return
	}
	m := o.wire[0]
	o.wire = o.wire[1:]
	if m.open != nil {
		m.reason = w.stores[o.holder].Open(*m.open, w.now)
	} else {
		m.reason = w.stores[o.holder].Append(m.append, w.now)
	}
	o.acks = append(o.acks, m)
}

func (w *world) acknowledge(i int) {
	o := w.owner(i)
	if o == nil || len(o.acks) == 0 {
		return
	}
	m := o.acks[0]
	o.acks = o.acks[1:]
	switch m.reason {
	case Accepted:
		o.held = max(o.held, m.upTo)
		r, _ := w.stores[i].Get("s")
		w.sent = append(w.sent, r.Tokens[min(len(w.sent), o.held):o.held]...)
		if !slices.Equal(w.sent[:o.held], r.Tokens[:o.held]) {
			w.t.Fatalf("%v may send %q, and %q was sent", o.term, r.Tokens[:o.held], w.sent)
		}
	case StaleEpoch:
		o.lost = true
	default:
		o.opened = false
	}
}

// move lets an owner choose another holder, or lose its connection.
func (w *world) move() {
	i, o := w.draw()
	if o == nil {
		return
	}
	o.wire, o.acks, o.opened = nil, nil, false
	o.holder = (i + rapid.IntRange(1, worldSize-1).Draw(w.t, "holder")) % worldSize
}

func (w *world) read() {
	o := w.owners[w.reader]
	if o == nil || o.lost || w.reader == w.frozen || o.held <= len(w.answer) {
		return
	}
	r, ok := w.stores[w.reader].Get("s")
	if !ok || r.Term != o.term {
		return
	}
	w.answer = append(w.answer, r.Tokens[len(w.answer)])
}

// reattach lets the caller come back to an owner, which first asks its holder.
func (w *world) reattach() {
	i, o := w.draw()
	if o == nil || o.holder == w.frozen {
		return
	}
	r, _ := w.stores[i].Get("s")
	if len(r.Tokens) < len(w.answer) {
		return
	}
	c := *r
	c.Tokens = slices.Clone(r.Tokens)
	if w.stores[o.holder].Open(c, w.now) == Accepted {
		w.reader = i
	}
}

// takeOver lets the caller come to another instance.
func (w *world) takeOver() {
	k := w.begin(w.pick("taker"))
	for at := range w.stores {
		w.seize(k, at)
	}
	if !w.adopt(k) {
		w.t.Fatal("the takeover is refused")
	}
}

// cross lets two instances take over at the same time.
func (w *world) cross() {
	i, j := w.pick("taker"), w.pick("other taker")
	if i == j {
		return
	}
	first, second := w.begin(i), w.begin(j)
	for at := range w.stores {
		if rapid.Bool().Draw(w.t, "first") {
			w.seize(first, at)
			w.seize(second, at)
		} else {
			w.seize(second, at)
			w.seize(first, at)
		}
	}
	w.adopt(first)
	w.adopt(second)
	if rapid.Bool().Draw(w.t, "reader") {
		w.reader = i
	}
}

// taker is an instance that takes the stream over.
type taker struct {
	at      int
	term    Term
	atLeast int
	best    *Record
	refused bool
}

// begin asks all instances for their copies.
func (w *world) begin(i int) *taker {
	f := found{answered: map[string]bool{}}
	for at, s := range w.stores {
		if at != w.frozen {
			epoch, kind := s.Find("s", "o", len(w.answer))
			f.add(name(at), epoch, kind)
		}
	}
	return &taker{at: i, term: Term{Epoch: f.epoch + 1, Owner: name(i)}, atLeast: len(w.answer)}
}

// seize announces the new term to an instance. A frozen one gets the message
// at any later time.
func (w *world) seize(k *taker, at int) {
	if at == w.frozen {
		w.late = append(w.late, func() { w.stores[at].TakeOver("s", "o", k.term, k.atLeast, w.now) })
		return
	}
	switch r, kind := w.stores[at].TakeOver("s", "o", k.term, k.atLeast, w.now); kind {
	case Newer:
		k.refused = true
	case Usable:
		k.best = better(k.best, &r)
	}
}

func (w *world) deliverLate() {
	if len(w.late) > 0 {
		w.late[0]()
		w.late = w.late[1:]
	}
}

// adopt makes an instance the owner from the best copy that it found.
func (w *world) adopt(k *taker) bool {
	if k.refused {
		return false
	}
	if k.best == nil {
		if k.atLeast > 0 {
			w.t.Fatalf("no copy has the %d tokens of the caller", k.atLeast)
		}
		// Nothing was sent, so nothing had to be copied yet.
		return true
	}
	if w.stores[k.at].Open(*k.best, w.now) != Accepted {
		return false
	}
	holder := (k.at + rapid.IntRange(1, worldSize-1).Draw(w.t, "holder")) % worldSize
	w.owners[k.at] = &owner{term: k.term, holder: holder}
	w.reader = k.at
	return true
}

func (w *world) freeze() {
	w.frozen = -1
	if rapid.Bool().Draw(w.t, "freeze") {
		w.frozen = rapid.IntRange(0, worldSize-1).Draw(w.t, "frozen")
	}
}

// check verifies that each token follows from the ones before it.
func (w *world) check() {
	for p, token := range w.answer {
		want := follow(Term{}, w.answer[:p])
		if hash, _, _ := strings.Cut(token, "."); !strings.HasPrefix(want, hash+".") {
			w.t.Fatalf("token %d of %q does not follow from those before it", p, w.answer)
		}
	}
}

// Guards against missing, repeated and mixed tokens over takeovers, owners
// that wake up, and changes of the holder, while at most one instance at a
// time does not answer.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		action := func(f func(*world)) func(*rapid.T) { return func(t *rapid.T) { w.t = t; f(w) } }
		anyOf := func(f func(*world, int)) func(*rapid.T) {
			return action(func(w *world) { f(w, rapid.IntRange(0, worldSize-1).Draw(w.t, "at")) })
		}
		round := action(func(w *world) {
			for i := range worldSize {
				w.generate(i)
				w.send(i)
				w.deliver(i)
				w.acknowledge(i)
			}
			w.read()
		})
		t.Repeat(map[string]func(*rapid.T){
			"generate": anyOf((*world).generate), "send": anyOf((*world).send),
			"deliver": anyOf((*world).deliver), "acknowledge": anyOf((*world).acknowledge),
			"read": action((*world).read), "round": round, "next round": round,
			"move": action((*world).move), "reattach": action((*world).reattach),
			"freeze": action((*world).freeze), "take over": action((*world).takeOver),
			"crossed takeovers": action((*world).cross), "late message": action((*world).deliverLate),
			"": action((*world).check),
		})
	})
}
