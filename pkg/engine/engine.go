// Package engine defines the interface to model engines. Callers do not depend on the
// protocol of an engine, which the adapters in this package implement; only simulated
// engines also use its types Completion and Chunk.
package engine

import "context"

// Request describes an attempt to start or continue a generation.
type Request struct {
	// StreamID identifies the generation at the engine; it is unique per attempt.
	StreamID string
	Model    string
	Prompt   string
	// Prefix holds the tokens that were already delivered; the engine continues
	// after them.
	Prefix []string
	// MaxTokens limits the whole output, including the prefix.
	MaxTokens int
	// Urgent is sent as a higher priority to the engine.
	Urgent bool
	// Seed makes all attempts of one generation produce the same tokens if the
	// engine supports it.
	Seed int64
}

// EventKind is the kind of an event of a running generation.
type EventKind uint8

// Kinds of events.
const (
	// Token delivers the token at Position.
	Token EventKind = iota
	// Heartbeat reports that the engine is alive but has no new token.
	Heartbeat
	// Finished is the last event; FinishReason is set.
	Finished
)

// Event is one event of a running generation.
type Event struct {
	Kind EventKind
	// Position is the index in the whole output, including the prefix.
	Position     int
	Text         string
	FinishReason string
}

// Stream is a connection to a running generation.
type Stream interface {
	// Next blocks until an event arrives. After an error the connection is no
	// longer usable; the generation may continue at the engine.
	Next(ctx context.Context) (Event, error)
	// Close closes the connection. It does not cancel the generation.
	Close()
}

// LoadReport is the load report of an engine. It lags behind the actual load.
type LoadReport struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Engine is a client of one model engine.
type Engine interface {
	// Start starts a generation that continues after Request.Prefix.
	Start(ctx context.Context, r Request) (Stream, error)
	// Resume reconnects to a running generation; events start at position.
	Resume(ctx context.Context, streamID string, position int) (Stream, error)
	// Cancel cancels a generation and releases its slot.
	Cancel(ctx context.Context, streamID string) error
	// LoadReport returns the load report.
	LoadReport(ctx context.Context) (LoadReport, error)
	// Order requests a change of state with a fencing number. The error has the
	// reason Fenced if the engine has already seen a higher number.
	Order(ctx context.Context, o Order) error
}

// Order is a command that changes the state of an engine.
type Order struct {
	Fence uint64 `json:"fence"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	// Target is the model to load or unload, or the new role.
	Target string `json:"target"`
}

// Error is a failed call to an engine with a typed reason.
type Error struct {
	Reason Reason
	Err    error
}

// Reason classifies a failure of a call to an engine.
type Reason string

// Reasons.
const (
	// NotSent means that no connection was made, so the work did not run.
	NotSent Reason = "not_sent"
	// Refused means that the engine refused the work before running it, for
	// example because it is full.
	Refused Reason = "refused"
	// MayHaveRun means that the connection failed after the request was sent, or
	// that the response was invalid or unexpected, so the work may have run.
	MayHaveRun Reason = "broken"
	// UnknownStream means that the engine has no such generation.
	UnknownStream Reason = "unknown_stream"
	// Fenced means that the engine has already seen a higher fencing number.
	Fenced Reason = "fenced"
	// BadRequest means that the engine refuses this request on every attempt.
	BadRequest Reason = "bad_request"
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
