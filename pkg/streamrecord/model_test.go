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

// model simulates instances with real stores and one stream: owners that replicate
// it to holders over connections, takeovers and frozen instances.
type model struct {
	t      *rapid.T
	now    time.Time
	stores []*Store
	// frozen is the instance that is currently frozen, or -1.
	frozen     int
	ownerships map[int]*ownership
	// readFrom is the instance that the caller reads from, answer the tokens
	// that the caller received.
	readFrom int
	answer   []string
	// delayed holds takeover messages to instances that were frozen.
	delayed []func()
	// sent holds the tokens that any owner could have sent to a caller so far.
	sent []string
}

// ownership is the state of the owner in one period of ownership. Messages between
// owner and holder keep their order.
type ownership struct {
	term        Term
	holder      int
	recordSent  bool
	sentTokens  int
	ackedTokens int
	lost        bool
	toHolder    []message
	toOwner     []message
}

type message struct {
	open       *Record
	append     Append
	tokenCount int
	reason     Reason
}

const instanceCount = 4

func instanceName(i int) string { return string(rune('a' + i)) }

// nextToken returns the token that term generates after a history. Tokens differ
// between terms, so that a mix of two terms is detected.
func nextToken(term Term, history []string) string {
	digest := xxhash.New()
	for _, token := range history {
		_, _ = digest.WriteString(token)
	}
	return fmt.Sprintf("%x.%d%s ", digest.Sum64(), term.Epoch, term.Owner)
}

func newModel(t *rapid.T) *model {
	w := &model{t: t, now: time.Unix(1000, 0), frozen: -1, ownerships: map[int]*ownership{}}
	for i := range instanceCount {
		w.stores = append(w.stores, NewStore(instanceName(i), 1<<20))
	}
	record := Record{StreamID: "s", Organisation: "o", Term: Term{Epoch: 1, Owner: instanceName(0)}}
	w.stores[0].Open(record, w.now)
	w.ownerships[0] = &ownership{term: record.Term, holder: 1}
	return w
}

// drawInstance draws a random instance that is not frozen.
func (w *model) drawInstance(label string) int {
	i := rapid.IntRange(0, instanceCount-1).Draw(w.t, label)
	if i == w.frozen {
		i = (i + 1) % instanceCount
	}
	return i
}

// drawOwner draws an instance that is not frozen; the ownership is nil if it has none.
func (w *model) drawOwner() (int, *ownership) {
	i := w.drawInstance("owner")
	return i, w.activeOwnership(i)
}

// activeOwnership returns the ownership of an instance, or nil if it has none or is frozen.
func (w *model) activeOwnership(i int) *ownership {
	o := w.ownerships[i]
	if o == nil || o.lost || i == w.frozen {
		return nil
	}
	if r, ok := w.stores[i].Get("s"); !ok || r.Term != o.term {
		o.lost = true
		return nil
	}
	return o
}

func (w *model) generate(i int) {
	o := w.activeOwnership(i)
	if o == nil {
		return
	}
	r, _ := w.stores[i].Get("s")
	token := nextToken(o.term, r.Tokens)
	a := Append{StreamID: "s", Term: o.term, Position: len(r.Tokens), Tokens: []string{token}}
	if reason := w.stores[i].Append(a, w.now); reason != Accepted {
		w.t.Fatalf("the store of the owner refused an append: %s", reason)
	}
}

func (w *model) send(i int) {
	o := w.activeOwnership(i)
	if o == nil {
		return
	}
	r, _ := w.stores[i].Get("s")
	m := message{tokenCount: len(r.Tokens)}
	if o.recordSent {
		m.append = Append{StreamID: "s", Term: o.term, Position: o.sentTokens, Tokens: slices.Clone(r.Tokens[o.sentTokens:])}
	} else {
		c := *r
		c.Tokens = slices.Clone(r.Tokens)
		m.open = &c
	}
	o.recordSent, o.sentTokens = true, len(r.Tokens)
	o.toHolder = append(o.toHolder, m)
}

// deliver applies the oldest message of an owner at its holder. The owner may be
// frozen, because the message was already sent.
func (w *model) deliver(i int) {
	o := w.ownerships[i]
	if o == nil || len(o.toHolder) == 0 || o.holder == w.frozen {
		return
	}
	m := o.toHolder[0]
	o.toHolder = o.toHolder[1:]
	if m.open != nil {
		m.reason = w.stores[o.holder].Open(*m.open, w.now)
	} else {
		m.reason = w.stores[o.holder].Append(m.append, w.now)
	}
	o.toOwner = append(o.toOwner, m)
}

func (w *model) acknowledge(i int) {
	o := w.activeOwnership(i)
	if o == nil || len(o.toOwner) == 0 {
		return
	}
	m := o.toOwner[0]
	o.toOwner = o.toOwner[1:]
	switch m.reason {
	case Accepted:
		o.ackedTokens = max(o.ackedTokens, m.tokenCount)
		r, _ := w.stores[i].Get("s")
		w.sent = append(w.sent, r.Tokens[min(len(w.sent), o.ackedTokens):o.ackedTokens]...)
		if !slices.Equal(w.sent[:o.ackedTokens], r.Tokens[:o.ackedTokens]) {
			w.t.Fatalf("%v may send %q, and %q was sent", o.term, r.Tokens[:o.ackedTokens], w.sent)
		}
	case StaleEpoch:
		o.lost = true
	default:
		o.recordSent = false
	}
}

// changeHolder gives an owner another holder or a new connection to the same one.
func (w *model) changeHolder() {
	i, o := w.drawOwner()
	if o == nil {
		return
	}
	o.toHolder, o.toOwner, o.recordSent = nil, nil, false
	o.holder = (i + rapid.IntRange(1, instanceCount-1).Draw(w.t, "holder")) % instanceCount
}

func (w *model) read() {
	o := w.ownerships[w.readFrom]
	if o == nil || o.lost || w.readFrom == w.frozen || o.ackedTokens <= len(w.answer) {
		return
	}
	r, ok := w.stores[w.readFrom].Get("s")
	if !ok || r.Term != o.term {
		return
	}
	w.answer = append(w.answer, r.Tokens[len(w.answer)])
}

// reconnect connects the caller to an owner after the holder has confirmed the term.
func (w *model) reconnect() {
	i, o := w.drawOwner()
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
		w.readFrom = i
	}
}

// takeOver connects the caller to an instance that takes the stream over.
func (w *model) takeOver() {
	attempt := w.surveyCopies(w.drawInstance("new owner"))
	for at := range w.stores {
		w.announceTerm(attempt, at)
	}
	if !w.becomeOwner(attempt) {
		w.t.Fatal("the takeover is refused")
	}
}

// concurrentTakeOvers lets two instances take the stream over concurrently.
func (w *model) concurrentTakeOvers() {
	i, j := w.drawInstance("new owner"), w.drawInstance("second new owner")
	if i == j {
		return
	}
	first, second := w.surveyCopies(i), w.surveyCopies(j)
	for at := range w.stores {
		if rapid.Bool().Draw(w.t, "first") {
			w.announceTerm(first, at)
			w.announceTerm(second, at)
		} else {
			w.announceTerm(second, at)
			w.announceTerm(first, at)
		}
	}
	w.becomeOwner(first)
	w.becomeOwner(second)
	if rapid.Bool().Draw(w.t, "reader") {
		w.readFrom = i
	}
}

// takeOverAttempt is a takeover of the stream by one instance.
type takeOverAttempt struct {
	instance int
	term     Term
	atLeast  int
	best     *Record
	refused  bool
}

// surveyCopies queries the copies of all instances that are not frozen.
func (w *model) surveyCopies(i int) *takeOverAttempt {
	survey := copySurvey{responded: map[string]bool{}}
	for at, s := range w.stores {
		if at != w.frozen {
			epoch, status := s.Find("s", "o", len(w.answer))
			survey.add(instanceName(at), epoch, status)
		}
	}
	return &takeOverAttempt{instance: i, term: Term{Epoch: survey.epoch + 1, Owner: instanceName(i)}, atLeast: len(w.answer)}
}

// announceTerm announces the new term to an instance. A frozen instance receives
// the message later.
func (w *model) announceTerm(attempt *takeOverAttempt, target int) {
	if target == w.frozen {
		w.delayed = append(w.delayed, func() { w.stores[target].TakeOver("s", "o", attempt.term, attempt.atLeast, w.now) })
		return
	}
	switch r, status := w.stores[target].TakeOver("s", "o", attempt.term, attempt.atLeast, w.now); status {
	case Newer:
		attempt.refused = true
	case Usable:
		attempt.best = newerCopy(attempt.best, &r)
	}
}

func (w *model) deliverDelayed() {
	if len(w.delayed) > 0 {
		w.delayed[0]()
		w.delayed = w.delayed[1:]
	}
}

// becomeOwner makes the instance the owner from the newest copy that it received.
func (w *model) becomeOwner(attempt *takeOverAttempt) bool {
	if attempt.refused {
		return false
	}
	if attempt.best == nil {
		if attempt.atLeast > 0 {
			w.t.Fatalf("no copy has the %d tokens of the caller", attempt.atLeast)
		}
		// The caller has no tokens yet, so that no copy has to exist.
		return true
	}
	if w.stores[attempt.instance].Open(*attempt.best, w.now) != Accepted {
		return false
	}
	holder := (attempt.instance + rapid.IntRange(1, instanceCount-1).Draw(w.t, "holder")) % instanceCount
	w.ownerships[attempt.instance] = &ownership{term: attempt.term, holder: holder}
	w.readFrom = attempt.instance
	return true
}

func (w *model) changeFrozen() {
	w.frozen = -1
	if rapid.Bool().Draw(w.t, "freeze") {
		w.frozen = rapid.IntRange(0, instanceCount-1).Draw(w.t, "frozen")
	}
}

// checkAnswer verifies that each token follows from the tokens before it.
func (w *model) checkAnswer() {
	for p, token := range w.answer {
		want := nextToken(Term{}, w.answer[:p])
		if hash, _, _ := strings.Cut(token, "."); !strings.HasPrefix(want, hash+".") {
			w.t.Fatalf("token %d of %q does not follow from those before it", p, w.answer)
		}
	}
}

// Guards against missing, repeated and mixed tokens across takeovers, changes of
// the holder, and owners that continue after being frozen, while at most one
// instance at a time is frozen.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		action := func(f func(*model)) func(*rapid.T) { return func(t *rapid.T) { w.t = t; f(w) } }
		anyOf := func(f func(*model, int)) func(*rapid.T) {
			return action(func(w *model) { f(w, rapid.IntRange(0, instanceCount-1).Draw(w.t, "at")) })
		}
		round := action(func(w *model) {
			for i := range instanceCount {
				w.generate(i)
				w.send(i)
				w.deliver(i)
				w.acknowledge(i)
			}
			w.read()
		})
		t.Repeat(map[string]func(*rapid.T){
			"generate": anyOf((*model).generate), "send": anyOf((*model).send),
			"deliver": anyOf((*model).deliver), "acknowledge": anyOf((*model).acknowledge),
			"read": action((*model).read), "round": round, "next round": round,
			"move": action((*model).changeHolder), "reattach": action((*model).reconnect),
			"freeze": action((*model).changeFrozen), "take over": action((*model).takeOver),
			"crossed takeovers": action((*model).concurrentTakeOvers), "late message": action((*model).deliverDelayed),
			"": action((*model).checkAnswer),
		})
	})
}
