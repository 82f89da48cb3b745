// Package broker grants slots of backend servers. Per pool and data centre one
// entry instance is the broker; the others are its clients.
package broker

import (
	"context"
	"time"
)

// Request asks for a slot of a backend server.
type Request struct {
	// Pool is the name of the service.
	Pool         string
	Organisation string
	// Rank is document.Urgent or document.Patient.
	Rank string
	// EstimatedTokens is the expected cost; plain calls cost 1.
	EstimatedTokens int
	// PrefixHash is the hash of the start of the prompt, 0 if unknown.
	PrefixHash uint64
	// Exclude names backend servers not to be chosen.
	Exclude []string
	// ResumedTokens is above 0 for a generation that continues after a loss; it
	// goes ahead of new work of its rank.
	ResumedTokens int
}

// Result tells how a granted request ended.
type Result string

// Results.
const (
	// OK tells that the backend server answered.
	OK Result = "ok"
	// Failed tells of a fault of the backend server; it counts for ejection.
	Failed Result = "failed"
	// Refused tells that the backend server had no room.
	Refused Result = "refused"
	// Cancelled tells that the caller or the system ended the request.
	Cancelled Result = "cancelled"
)

// Usage is what a lease reports at its end.
type Usage struct {
	Result Result
	// Tokens is the real cost.
	Tokens int
	// FirstToken is the time to the first token or answer, 0 if none came.
	FirstToken time.Duration
}

// Lease is a granted slot.
type Lease interface {
	// Backend returns the identifier and the address (IP and port) of the backend server.
	Backend() (id, address string)
	// Preempted is closed when the broker asks to cancel and queue again.
	Preempted() <-chan struct{}
	// Release gives the slot back; only the first call counts.
	Release(u Usage)
}

// Refusal tells that no slot was granted, so nothing ran.
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
