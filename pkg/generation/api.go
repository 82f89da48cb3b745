// Package generation carries generations from engines to callers over the
// failure of engines, connections and entry instances.
package generation

import (
	"context"
	"errors"
)

// Request is one generation asked for by a caller.
type Request struct {
	Organisation string `json:"organisation"`
	// Rank is document.Urgent or document.Patient.
	Rank   string `json:"rank"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens bounds the output.
	MaxTokens int `json:"max_tokens"`
	// IdempotencyKey makes a resend find the same stream; may be empty.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Chat tells the form of the answer; kept for a resume at another instance.
	Chat bool `json:"chat,omitempty"`
}

// Event is one token of an answer, or its end.
type Event struct {
	// Position counts tokens from 0; of the end event it is the token count.
	Position     int
	Text         string
	Finished     bool
	FinishReason string
}

// Session is one caller's connection to an answer.
type Session interface {
	// Stream returns the identifier with which the caller can resume.
	Stream() string
	// Request returns the request that opened the stream.
	Request() Request
	// Next blocks until the next event that may be sent to the caller. io.EOF
	// follows the end event. ErrTakenOver tells that another entry instance
	// owns the stream now; ErrLost that it cannot be continued.
	Next(ctx context.Context) (Event, error)
	// Close detaches the caller; the generation goes on for a while.
	Close()
}

// Runner opens and resumes generations.
type Runner interface {
	// Open starts a generation, or finds the one of the same idempotency key.
	// A *broker.Refusal tells that nothing ran.
	Open(ctx context.Context, r Request) (Session, error)
	// Resume continues after the given position (-1 for the start) at this
	// instance, whichever instance owned the stream. ErrNotFound is returned
	// for unknown streams and for streams of other organisations.
	Resume(ctx context.Context, organisation, stream string, after int) (Session, error)
}

// Errors of sessions and runners.
var (
	ErrNotFound  = errors.New("no such stream")
	ErrTakenOver = errors.New("another instance took the stream over")
	ErrLost      = errors.New("the generation cannot be continued")
	// ErrTooLarge tells that the prompt does not fit into a stream record; nothing
	// ran. The limit is replica.MaxRecordBytes.
	ErrTooLarge = errors.New("the prompt is too large")
	// ErrKeyReused tells that the idempotency key belongs to another request.
	ErrKeyReused = errors.New("the idempotency key was used for another request")
)
