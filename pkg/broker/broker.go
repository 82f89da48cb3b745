// Package broker grants slots of backend servers. For each pool, one entry instance per
// data centre is the broker and the others are its clients.
package broker

import (
	"context"
	"time"
)

// Request is a request for a slot of a backend server.
type Request struct {
	// Pool is the name of the service.
	Pool         string
	Organisation string
	// Rank is document.Urgent or document.Patient.
	Rank string
	// EstimatedTokens is the expected cost. A plain call costs 1.
	EstimatedTokens int
	// PrefixHash is the hash of the start of the prompt, or 0 if unknown.
	PrefixHash uint64
	// Exclude lists the identifiers of backend servers that must not be selected.
	Exclude []string
	// ResumedTokens is above 0 for a generation that continues after a loss. It is served
	// before new requests of its rank.
	ResumedTokens int
}

// Outcome is the way in which a granted request ended.
type Outcome string

// Outcomes.
const (
	// OK means that the backend server answered.
	OK Outcome = "ok"
	// Failed means a fault of the backend server. It counts towards its ejection.
	Failed Outcome = "failed"
	// ServerFull means that the backend server was full.
	ServerFull Outcome = "refused"
	// Cancelled means that the caller or the system ended the request.
	Cancelled Outcome = "cancelled"
)

// Usage describes what a lease consumed until its release.
type Usage struct {
	Outcome Outcome
	// Tokens is the actual cost.
	Tokens int
	// TimeToFirstToken is the time until the first token or the answer, or 0 if none arrived.
	TimeToFirstToken time.Duration
}

// Lease is a granted slot.
type Lease interface {
	// Backend returns the identifier and the address (IP and port) of the backend server.
	Backend() (id, address string)
	// Preempted is closed when the broker asks the holder to cancel the work and acquire
	// a slot again.
	Preempted() <-chan struct{}
	// Release frees the slot. Only the first call has an effect.
	Release(u Usage)
}

// Refusal is the error returned when no slot was granted, so that nothing was executed.
type Refusal struct {
	// Reason is "queue_full", "too_late", "no_backend", "limit" or "unknown_pool".
	Reason string
	// RetryAfter is computed from the measured drain rate.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot granted: " + r.Reason }

// Acquirer grants slots. Acquire blocks until a grant, a *Refusal or the end of ctx.
type Acquirer interface {
	Acquire(ctx context.Context, r Request) (Lease, error)
}
