// Package broker grants slots of backend servers. The backend servers of one service in
// one data centre are a pool. For each pool, one entry instance of the data centre is the
// broker, which counts the grants, and the others are its clients. A client holds a lease
// for each of its grants and registers it with the next broker if the broker changes.
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
	// ResumedTokens is the number of tokens that were already delivered, or 0 for a new
	// request. A resumed request is served before new requests of its rank.
	ResumedTokens int
}

// Outcome is the way in which a granted request ended.
type Outcome string

// Outcomes.
const (
	// OK means that the backend server responded.
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
	// TimeToFirstToken is the time from sending the request to the backend server until
	// the first token or the response arrived, or 0 if none did.
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
	// RetryAfter is the time after which the caller may retry. It is computed from the
	// measured drain rate or, for "limit", from the limit of tokens per second; it is 1 s
	// for "no_backend" and "unknown_pool".
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot granted: " + r.Reason }

// Acquirer grants slots. Acquire blocks until a grant, a *Refusal or the end of ctx.
type Acquirer interface {
	Acquire(ctx context.Context, r Request) (Lease, error)
}
