// Package generation streams generated tokens from engines to callers and
// recovers from failures of engines, connections and entry instances.
package generation

import (
	"context"
	"errors"
)

// Request is a caller's request for one generation.
type Request struct {
	Organisation string `json:"organisation"`
	// Rank is document.Urgent or document.Patient.
	Rank string `json:"rank"`
	// Model is the name of a service of kind generation, and of its pool.
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens is the largest number of output tokens.
	MaxTokens int `json:"max_tokens"`
	// IdempotencyKey makes a repeated request return the same stream; it may be empty.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Chat selects the chat response format. It is stored with the request so
	// that another instance can resume the stream in the same format.
	Chat bool `json:"chat,omitempty"`
}

// Event is one token of an answer, or the end of the answer.
type Event struct {
	// Position is the index of the token, from 0. In the end event it is the
	// number of tokens of the answer.
	Position     int
	Text         string
	Finished     bool
	FinishReason string
}

// Session is one caller's connection to an answer.
type Session interface {
	// StreamID returns the stream identifier, with which the caller can resume.
	StreamID() string
	// Request returns the request that opened the stream.
	Request() Request
	// Next blocks until the next event is readable, that is, until the holder
	// has a copy of it or no other instance can be reached, and returns it.
	// After the end event it returns io.EOF. It returns ErrTakenOver if another
	// entry instance now owns the stream, and ErrUnrecoverable if the stream cannot be
	// continued.
	Next(ctx context.Context) (Event, error)
	// Close detaches the caller. The generation continues for a limited time,
	// so that the caller can resume it.
	Close()
}

// Runner opens and resumes generations.
type Runner interface {
	// Open starts a generation, or attaches to the one that has the same
	// idempotency key. After a *broker.Refusal nothing has run.
	Open(ctx context.Context, r Request) (Session, error)
	// Resume continues a stream at this instance after the given position (-1
	// for the start) and takes it over if another instance owns it. It returns
	// ErrNotFound for unknown streams and for streams of other organisations.
	Resume(ctx context.Context, organisation, stream string, after int) (Session, error)
}

// Errors of sessions and runners.
var (
	ErrNotFound      = errors.New("no such stream")
	ErrTakenOver     = errors.New("another instance took the stream over")
	ErrUnrecoverable = errors.New("the generation cannot be continued")
	// ErrTooLarge is returned for a prompt that does not fit into a stream
	// record, whose limit is streamrecord.MaxRecordBytes. Nothing has run.
	ErrTooLarge = errors.New("the prompt is too large")
	// ErrKeyReused is returned when the idempotency key belongs to a different request.
	ErrKeyReused = errors.New("the idempotency key was used for another request")
)
