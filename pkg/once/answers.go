package once

import "container/list"

// answerOverhead is the estimated memory of a stored answer beyond its texts.
const answerOverhead = 256

// answers holds stored answers within a byte limit; the oldest are dropped first.
type answers struct {
	limit int64
	bytes int64
	byID  map[ID]*list.Element
	order *list.List
}

// storedAnswer is one answer with the digest of its request.
type storedAnswer struct {
	id     ID
	digest Digest
	answer *Answer
	bytes  int64
}

func newAnswers(limit int64) *answers {
	return &answers{limit: limit, byID: map[ID]*list.Element{}, order: list.New()}
}

func (a *Answer) bytes() int64 {
	n := int64(len(a.Body)) + answerOverhead
	for name, value := range a.Headers {
		n += int64(len(name) + len(value))
	}
	return n
}

// put stores an answer; the first answer of a key stays.
func (s *answers) put(id ID, digest Digest, a *Answer) {
	if _, ok := s.byID[id]; ok || a == nil {
		return
	}
	size := a.bytes()
	if size > s.limit {
		return
	}
	s.byID[id] = s.order.PushBack(&storedAnswer{id: id, digest: digest, answer: a, bytes: size})
	s.bytes += size
	for s.bytes > s.limit {
		s.drop(s.order.Front())
	}
}

func (s *answers) drop(e *list.Element) {
	stored := s.order.Remove(e).(*storedAnswer)
	delete(s.byID, stored.id)
	s.bytes -= stored.bytes
}

func (s *answers) get(id ID) (*storedAnswer, bool) {
	e, ok := s.byID[id]
	if !ok {
		return nil, false
	}
	return e.Value.(*storedAnswer), true
}
