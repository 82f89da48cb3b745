package connlimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

const (
	// freeBodyBytes is the part of a body that the fixed size of a connection covers. Most requests are smaller and
	// never use the budget.
	freeBodyBytes = 4 << 10
	// maxBodyPart bounds the parts in which a body is read, each of which is as large as what arrived before it.
	maxBodyPart = 128 << 10
	// bodyWait bounds the wait of a body for room in the budget; evicted callers return theirs within milliseconds,
	// unless the process gets no processor time.
	bodyWait = 500 * time.Millisecond
)

var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("the body exceeds the limit")
	// ErrNoMemory means that the body was given up because the memory for callers is in use.
	ErrNoMemory = errors.New("the memory for callers is in use, and this body was slow or large")
	// ErrLate means that the body did not arrive before the deadline.
	ErrLate = errors.New("the body did not arrive before the deadline")
)

// Body is the body of a request in the parts in which it arrived.
type Body struct {
	First []byte
	Rest  [][]byte
	// Account holds the bytes of the body, and what else is held for the request.
	Account membudget.Account
}

// Receive reads the body of a request, up to limit bytes and until the deadline. Bytes are accounted as they arrive.
// After an error the connection carries no further request; after ErrTooLarge the body holds what was read.
func (b *Body) Receive(memory *membudget.Budget, w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) error {
	b.Account.Init(memory, nil)
	if r.ContentLength == 0 {
		return nil
	}
	conn := OfRequest(r)
	conn.BeginBody(time.Now(), deadline)
	if conn != nil && (r.ContentLength < 0 || r.ContentLength > freeBodyBytes) {
		b.Account.Init(memory, conn.InterruptBody)
	}
	err := b.read(r, limit)
	complete := conn.EndBody()
	if pinErr := b.Account.Pin(); err == nil {
		err = pinErr
	}
	if err == nil && complete {
		return nil
	}
	// What is left of the body is not read.
	w.Header().Set("Connection", "close")
	conn.Abandon()
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	evicted := b.Account.Evicted()
	b.Account.Close()
	b.First, b.Rest = nil, nil
	switch {
	case evicted || errors.Is(err, membudget.ErrShort):
		return ErrNoMemory
	case !complete:
		return ErrLate
	}
	return err
}

// read reads the body in parts. The size of a part is bounded by what arrived before it.
func (b *Body) read(r *http.Request, limit int64) error {
	remaining := r.ContentLength
	if remaining < 0 {
		remaining = limit + 1
	}
	received := int64(0)
	for size := min(int64(freeBodyBytes), remaining); size > 0; size = min(received, maxBodyPart, remaining) {
		if received > 0 {
			if err := b.Account.Grow(r.Context(), size, bodyWait); err != nil {
				return err
			}
		}
		part := make([]byte, size)
		n, err := ReadFull(r.Body, part)
		received, remaining = received+int64(n), remaining-int64(n)
		if b.First == nil {
			b.First = part[:n]
		} else if n > 0 {
			b.Rest = append(b.Rest, part[:n])
		}
		if received > limit {
			return ErrTooLarge
		}
		if errors.Is(err, io.EOF) && (r.ContentLength < 0 || remaining == 0) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Reader returns a reader of the parts.
func (b *Body) Reader() io.Reader {
	readers := []io.Reader{bytes.NewReader(b.First)}
	for _, part := range b.Rest {
		readers = append(readers, bytes.NewReader(part))
	}
	return io.MultiReader(readers...)
}

// ReadFull reads until p is full or the reader returns an error, which is io.EOF at the end.
func ReadFull(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil && n < len(p) {
			return n, err
		}
	}
	return n, nil
}

// Size returns the number of bytes that arrived.
func (b *Body) Size() int {
	size := len(b.First)
	for _, part := range b.Rest {
		size += len(part)
	}
	return size
}
