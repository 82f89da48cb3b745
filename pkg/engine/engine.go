// Package engine is the narrow interface to model engines. Only an adapter of
// this package knows the protocol of an engine.
package engine

import "context"

// Request starts or continues a generation.
type Request struct {
	// Stream names the generation at the engine; unique per attempt.
	Stream string
	Model  string
	Prompt string
	// Prefix holds the tokens already delivered; the engine goes on after them.
	Prefix []string
	// MaxTokens counts the whole output, the prefix included.
	MaxTokens int
	// Urgent is passed on as the engine's priority.
	Urgent bool
	// Seed makes attempts of one generation continue alike where the engine can.
	Seed int64
}

// EventKind tells what an event of a running generation is.
type EventKind uint8

// Kinds of events.
const (
	// Token carries the token at Position.
	Token EventKind = iota
	// Heartbeat tells that the engine is alive and has no token yet.
	Heartbeat
	// Finished is the last event; FinishReason is set.
	Finished
)

// Event is one event of a running generation.
type Event struct {
	Kind EventKind
	// Position counts from the start of the whole output, the prefix included.
	Position     int
	Text         string
	FinishReason string
}

// Stream is one connection to a running generation.
type Stream interface {
	// Next blocks until an event arrives. An error ends the connection; the
	// generation may go on at the engine.
	Next(ctx context.Context) (Event, error)
	// Close ends the connection and leaves the generation alone.
	Close()
}

// Load is what an engine reports about itself; it lags behind.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Engine talks to one engine.
type Engine interface {
	// Start begins a generation, after Request.Prefix.
	Start(ctx context.Context, r Request) (Stream, error)
	// Resume connects again to a running generation; events begin at position.
	Resume(ctx context.Context, stream string, position int) (Stream, error)
	// Cancel ends a generation and frees its slot.
	Cancel(ctx context.Context, stream string) error
	// Load asks for the load report.
	Load(ctx context.Context) (Load, error)
	// Order asks for a change of state under a fencing number. ErrFenced tells
	// that the engine saw a higher one.
	Order(ctx context.Context, o Order) error
}

// Order is an order to an engine.
type Order struct {
	Fence uint64 `json:"fence"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	Target string `json:"target"`
}

// Error is a refusal or failure with a typed reason.
type Error struct {
	Reason Reason
	Err    error
}

// Reason classifies a failure of a call to an engine.
type Reason string

// Reasons.
const (
	// NotSent tells that no connection was made: the work did not run.
	NotSent Reason = "not_sent"
	// Refused tells that the engine refused before running, for example when full.
	Refused Reason = "refused"
	// Broken tells that the connection failed after the request was sent.
	Broken Reason = "broken"
	// UnknownStream tells that the engine has no such generation.
	UnknownStream Reason = "unknown_stream"
	// Fenced tells that the engine saw a higher fencing number.
	Fenced Reason = "fenced"
	// BadRequest tells that the engine will refuse this request on every try.
	BadRequest Reason = "bad_request"
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
