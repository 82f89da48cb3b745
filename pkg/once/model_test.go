package once

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The model runs keepers of three instances over a network that delays, drops,
// repeats and reorders messages without bound. A frozen instance is one whose
// messages are all delayed. The oracle counts what really ran.

// message is a request on its way; run makes the receiver handle it.
type message struct {
	to  string
	run func(at *node)
}

var instances = []string{"a", "b", "c"}

// pick returns a number below n. Numbers that rapid draws itself are mostly
// small, which would make some faults far more frequent than others.
func pick(t *rapid.T, n int) int {
	index := 0
	for span := 1; span < 4*n; span *= 2 {
		index *= 2
		if rapid.Bool().Draw(t, "bit") {
			index++
		}
	}
	return index % n
}

// node is one instance.
type node struct {
	own    Origin
	keeper *Keeper
	// skewMS is the error of the clock.
	skewMS int64
	move   *move
}

// move is a hand-over in progress, with the rules of Service.send.
type move struct {
	origin Origin
	parts  []Part
	to     string
	next   int
	unsure bool
	done   bool
}

// sending is one caller's sending of a call with a key, by one executor.
type sending struct {
	key      Key
	digest   Digest
	executor uint64
	// ended tells that the caller has its outcome.
	ended bool
}

// truth is what the oracle knows about one key.
type truth struct {
	ran    int
	digest Digest
	answer string
}

type world struct {
	nodes       map[string]*node
	network     []message
	keys        []Key
	truths      map[ID]*truth
	sendings    []*sending
	clockMS     int64
	incarnation uint64
	executor    uint64
	seen        map[string]int
	// without names kinds of faults that do not occur in this run, so that the
	// others go deeper.
	without map[string]bool
}

// rare skips an action nine times out of ten, or in the whole run.
func (w *world) rare(t *rapid.T, what string) {
	if w.without[what] || pick(t, 10) != 0 {
		t.Skip(what)
	}
}

var modelLimits = Limits{Marks: 3, AnswerBytes: answerOverhead + 64}

func newWorld(t *rapid.T) *world {
	w := &world{nodes: map[string]*node{}, truths: map[ID]*truth{}, seen: map[string]int{}, without: map[string]bool{}, clockMS: 1000 * hourMS}
	for _, what := range []string{"crash", "stop", "time", "clock step", "loss"} {
		w.without[what] = rapid.Bool().Draw(t, "without "+what)
	}
	for _, id := range instances {
		w.start(id, 0)
	}
	return w
}

func (w *world) start(id string, skewMS int64) {
	w.incarnation++
	own := Origin{id, w.incarnation}
	w.nodes[id] = &node{own: own, keeper: NewKeeper(own, modelLimits), skewMS: skewMS}
}

func (w *world) now(n *node) int64 { return w.clockMS + n.skewMS }

func (w *world) post(to string, run func(at *node)) {
	w.network = append(w.network, message{to, run})
}

func (w *world) node(t *rapid.T) *node {
	return w.nodes[instances[pick(t, len(instances))]]
}

func (w *world) mint(t *rapid.T) {
	if len(w.keys) > 1 && pick(t, 8) != 0 {
		t.Skip("few keys")
	}
	w.mintAt(w.node(t))
}

func (w *world) mintAt(n *node) {
	k := Key{Home: n.own.Home, Incarnation: n.own.Incarnation, MintedMS: w.now(n)}
	k.ID[0], k.ID[1] = byte(len(w.keys)), byte(len(w.keys)>>8)
	w.keys = append(w.keys, k)
	w.truths[k.ID] = &truth{}
}

// send makes a caller send a call through any instance; the executor asks any
// instance, whether or not it is the right one.
func (w *world) send(t *rapid.T) {
	if len(w.keys) == 0 {
		t.Skip("no key")
	}
	k := w.keys[max(0, len(w.keys)-3)+pick(t, min(3, len(w.keys)))]
	w.sendKey(t, k, w.receiver(t, k))
}

func (w *world) sendKey(t *rapid.T, k Key, to string) {
	w.executor++
	s := &sending{key: k, digest: Digest{byte((pick(t, 8) + 1) / 8)}, executor: w.executor}
	w.sendings = append(w.sendings, s)
	w.ask(t, s, to)
}

// receiver returns the home, an instance that decides, or any.
func (w *world) receiver(t *rapid.T, k Key) string {
	switch pick(t, 3) {
	case 0:
		return k.Home
	case 1:
		for _, id := range instances {
			if at, ok := w.nodes[id].keeper.places[k.origin()]; ok && at.where == Here {
				return id
			}
		}
	}
	return w.node(t).own.Home
}

func (w *world) ask(t *rapid.T, s *sending, to string) {
	w.post(to, func(at *node) {
		v, where, _ := at.keeper.Claim(w.now(at), s.key, s.digest, s.executor)
		if where != Here || !w.without["loss"] && pick(t, 6) == 0 {
			return
		}
		w.answerClaim(t, s, v)
	})
}

// repeat asks again for a sending without an outcome.
func (w *world) repeat(t *rapid.T) {
	s := w.open(t)
	w.ask(t, s, w.receiver(t, s.key))
}

func (w *world) open(t *rapid.T) *sending {
	for i := len(w.sendings) - 1; i >= 0 && i >= len(w.sendings)-4; i-- {
		if !w.sendings[i].ended && rapid.Bool().Draw(t, "this one") {
			return w.sendings[i]
		}
	}
	t.Skip("no open sending")
	return nil
}

// answerClaim is what an executor does with a verdict.
func (w *world) answerClaim(t *rapid.T, s *sending, v Verdict) {
	if s.ended {
		return
	}
	s.ended = true
	w.seen[string(v.Outcome)+v.Reason]++
	known := w.truths[s.key.ID]
	switch v.Outcome {
	case NotRun:
		w.tellNotRun(t, s, "refused claim")
	case Answered:
		if known.ran == 0 || v.Answer == nil || string(v.Answer.Body) != known.answer || s.digest != known.digest {
			t.Fatalf("key %v: replayed %v, ran %d times with answer %q", s.key, v.Answer, known.ran, known.answer)
		}
	case Claimed:
		w.execute(t, s)
	}
}

func (w *world) execute(t *rapid.T, s *sending) {
	known := w.truths[s.key.ID]
	switch pick(t, 5) {
	case 0:
		// The backend server refused before running.
		w.tellNotRun(t, s, "backend refusal")
		w.finish(s, true, nil, nil)
	case 1:
		// It ran and the answer was lost: the claim stays started.
		w.run(t, s)
	default:
		w.run(t, s)
		known.answer = fmt.Sprint("answer of ", s.executor)
		a := &Answer{Status: 200, Body: []byte(known.answer)}
		w.finish(s, false, a, nil)
		second := w.node(t).own.Home
		w.post(second, func(at *node) { at.keeper.Copy(s.key.ID, s.digest, a) })
	}
}

func (w *world) run(t *rapid.T, s *sending) {
	known := w.truths[s.key.ID]
	known.ran++
	known.digest = s.digest
	if known.ran > 1 {
		t.Fatalf("key %v ran %d times", s.key, known.ran)
	}
}

func (w *world) tellNotRun(t *rapid.T, s *sending, why string) {
	w.seen["told not_run: "+why]++
	if ran := w.truths[s.key.ID].ran; ran > 0 {
		t.Fatalf("key %v: told not_run (%s), ran %d times", s.key, why, ran)
	}
}

// finish sends the end of a claim to all instances; only the decider acts on it.
func (w *world) finish(s *sending, released bool, a *Answer, then func(accepted bool)) {
	for _, id := range instances {
		w.post(id, func(at *node) {
			accepted, where, _ := at.keeper.Finish(s.key, s.executor, released, a)
			if where == Here && then != nil {
				then(accepted)
			}
		})
	}
}

// giveUp is an executor that got no answer to its claim: it has sent nothing
// and may tell "not run" only when the record accepts its release.
func (w *world) giveUp(t *rapid.T) {
	s := w.open(t)
	s.ended = true
	w.finish(s, true, nil, func(accepted bool) {
		if accepted {
			w.tellNotRun(t, s, "release after a lost claim")
		}
	})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		t.Skip("empty network")
	}
	oldest := 0
	if rapid.Bool().Draw(t, "recent") {
		oldest = max(0, len(w.network)-4)
	}
	i := oldest + pick(t, len(w.network)-oldest)
	m := w.network[i]
	// One in six stays on its way, so that it arrives again.
	if pick(t, 6) != 0 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	m.run(w.nodes[m.to])
}

func (w *world) crash(t *rapid.T) {
	w.rare(t, "crash")
	w.restart(t, w.node(t))
}

func (w *world) restart(t *rapid.T, n *node) {
	w.start(n.own.Home, w.skew(t))
}

func (w *world) skew(t *rapid.T) int64 {
	if w.without["clock step"] {
		return 0
	}
	return hourMS * int64(pick(t, 41)-20)
}

// step sets the clock of one instance.
func (w *world) step(t *rapid.T) {
	w.rare(t, "clock step")
	w.node(t).skewMS = w.skew(t)
}

// drain delivers all messages in their order, once.
func (w *world) drain(t *rapid.T) {
	w.rare(t, "")
	w.deliverAll(t)
}

func (w *world) deliverAll(t *rapid.T) {
	network := w.network
	w.network = nil
	for _, m := range network {
		if pick(t, 6) == 0 {
			w.network = append(w.network, m)
		}
		m.run(w.nodes[m.to])
	}
}

func (w *world) pass(t *rapid.T) {
	w.rare(t, "time")
	w.clockMS += []int64{hourMS / 2, 12 * hourMS, 13 * hourMS, 27 * hourMS}[pick(t, 4)]
}

// stop begins a planned stop of an instance, or restarts it when it has ended.
func (w *world) stop(t *rapid.T) {
	w.rare(t, "stop")
	n := w.node(t)
	if n.move != nil {
		if n.move.done {
			w.restart(t, n)
		}
		return
	}
	w.beginStop(n, w.node(t).own.Home)
}

func (w *world) beginStop(n *node, to string) {
	records := n.keeper.BeginHandOver()
	// One record at a time keeps the model small: that of another instance, if
	// there is one, because two hand-overs of one record are the harder case.
	chosen := n.own
	for origin := range records {
		if origin.Incarnation != n.own.Incarnation && (chosen == n.own || origin.Incarnation < chosen.Incarnation) {
			chosen = origin
		}
	}
	for origin := range records {
		if origin != chosen {
			n.keeper.EndHandOver(origin, "")
		}
	}
	w.incarnation++
	n.move = &move{origin: chosen, parts: modelParts(w.incarnation, chosen, records[chosen]), to: to}
	w.sendPart(n)
}

// prelude uses some keys of one instance and begins its hand-over, which random
// steps alone seldom reach.
func (w *world) prelude(t *rapid.T) {
	a := w.nodes["a"]
	for range 3 {
		w.mintAt(a)
	}
	for _, k := range w.keys {
		if rapid.Bool().Draw(t, "used") {
			w.sendKey(t, k, "a")
		}
	}
	w.deliverAll(t)
	w.beginStop(a, "b")
	// One round for each part, or some rounds less.
	for range pick(t, 8) {
		w.deliverAll(t)
	}
}

func modelParts(id uint64, origin Origin, r *Record) []Part {
	states := slices.SortedFunc(r.States, func(a, b State) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	parts := make([]Part, len(states)+2)
	for i := range parts {
		parts[i] = Part{Origin: origin, HandOver: id, NowMS: r.nowMS, Number: uint32(i)}
		if i > 0 && i <= len(states) {
			parts[i].States = states[i-1 : i]
		}
	}
	parts[len(parts)-1].Last = true
	return parts
}

func (w *world) sendPart(n *node) {
	m := n.move
	if m.to == n.own.Home {
		n.keeper.EndHandOver(m.origin, "")
		m.done = true
		return
	}
	index := m.next
	part := m.parts[index]
	w.post(m.to, func(at *node) {
		accepted, receiver := at.keeper.Receive(part), at.own.Incarnation
		if w.nodes[n.own.Home] != n || m.done || m.next != index {
			return
		}
		if !accepted || part.Last {
			n.keeper.EndHandOver(m.origin, m.to)
			m.done = true
			if accepted {
				w.seen["handed over"]++
				if index > 2 {
					w.seen["handed over in four parts"]++
				}
			}
			return
		}
		m.next++
		m.parts[m.next].Receiver = receiver
		w.sendPart(n)
	})
	m.unsure = m.unsure || part.Last
}

// retryMove repeats a part, or turns to another successor while that is safe.
func (w *world) retryMove(t *rapid.T) {
	n := w.node(t)
	if n.move == nil || n.move.done {
		t.Skip("no hand-over")
	}
	if !n.move.unsure && rapid.Bool().Draw(t, "other successor") {
		n.move.to, n.move.next = w.node(t).own.Home, 0
	}
	w.sendPart(n)
}

func setFlag(t *testing.T, name, value string) {
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// TestAtMostOnce guards G4 and G5: over lost and repeated messages, restarts,
// frozen instances, clock errors and hand-overs a key runs at most once, "not
// run" is told only when nothing ran, and a replay is the answer of the run.
func TestAtMostOnce(t *testing.T) {
	// The default of 30 steps ends before most hand-overs.
	setFlag(t, "rapid.steps", "600")
	setFlag(t, "rapid.checks", "5000")
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		if rapid.Bool().Draw(t, "hand-over") {
			w.prelude(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"mint": w.mint, "send": w.send, "send again": w.send, "repeat": w.repeat, "give up": w.giveUp,
			"deliver": w.deliver, "deliver again": w.deliver,
			"crash": w.crash, "pass": w.pass, "step": w.step, "drain": w.drain, "stop": w.stop, "retry move": w.retryMove,
		})
		for what, n := range w.seen {
			seen[what] += n
		}
	})
	for _, what := range []string{
		"claimed", "answered", "mismatch", "handed over", "handed over in four parts", "unknown" + ReasonStarted, "unknown" + ReasonExpired,
		"unknown" + ReasonAnswerGone, "not_run" + ReasonRecordFull,
		"told not_run: backend refusal", "told not_run: release after a lost claim",
	} {
		if seen[what] == 0 {
			t.Errorf("the model never reached %q: %v", what, seen)
		}
	}
	t.Log(seen)
}
