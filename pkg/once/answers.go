package once

import "container/list"

// answerOverheadBytes is the estimated memory of a stored answer beyond its headers and body.
const answerOverheadBytes = 256

// answerCache holds stored answers within a byte limit and evicts the oldest first.
type answerCache struct {
	maxBytes       int64
	bytes          int64
	byID           map[ID]*list.Element
	insertionOrder *list.List
}

// storedAnswer is a cached answer with the digest of the request that it belongs to.
type storedAnswer struct {
	id     ID
	digest Digest
	answer *Answer
	bytes  int64
}

func newAnswerCache(maxBytes int64) *answerCache {
	return &answerCache{maxBytes: maxBytes, byID: map[ID]*list.Element{}, insertionOrder: list.New()}
}

func (a *Answer) size() int64 {
	size := int64(len(a.Body)) + answerOverheadBytes
	for name, value := range a.Headers {
		size += int64(len(name) + len(value))
	}
	return size
}

// put stores an answer. It keeps the first answer of a key and ignores later ones.
func (c *answerCache) put(id ID, digest Digest, a *Answer) {
	if _, ok := c.byID[id]; ok || a == nil {
		return
	}
	size := a.size()
	if size > c.maxBytes {
		return
	}
	c.byID[id] = c.insertionOrder.PushBack(&storedAnswer{id: id, digest: digest, answer: a, bytes: size})
	c.bytes += size
	for c.bytes > c.maxBytes {
		c.evict(c.insertionOrder.Front())
	}
}

func (c *answerCache) evict(e *list.Element) {
	stored := c.insertionOrder.Remove(e).(*storedAnswer)
	delete(c.byID, stored.id)
	c.bytes -= stored.bytes
}

func (c *answerCache) get(id ID) (*storedAnswer, bool) {
	e, ok := c.byID[id]
	if !ok {
		return nil, false
	}
	return e.Value.(*storedAnswer), true
}
