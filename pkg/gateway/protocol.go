// Package gateway serves callers over HTTP/1.1: it forwards their requests to
// backend servers, continues streams whose engine failed, and answers for work
// that did not run. It decides by itself, from the configuration in force and
// what backend servers announce.
package gateway

import (
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

// Protocol translates between the wire and what the gateway decides on. It names
// headers and formats and makes no decisions.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestFields
	// Prepare removes the headers that only the system may set, and sets those
	// for one backend server.
	Prepare(h http.Header, s ServerFields)
	// ParseAnswer reads the headers of a backend server's answer.
	ParseAnswer(status int, h http.Header) AnswerFields
	// CopyOrder returns the order to an engine to copy the memory of a run to the
	// engine at an address. With stop, the engine ends the run first, and its
	// stream breaks off.
	CopyOrder(run, to string, stop bool) Order
	// ReleaseOrder returns the order to the engine that made a copy to free it.
	ReleaseOrder(handle string) Order
	// ParseCopy reads the handle of the copy from the answer to an order.
	ParseCopy(body []byte) (handle string, err error)
	// ParseConfig reads published content.
	ParseConfig(content []byte) (*routing.Config, error)
}

// Order is a request of the system's own to an engine.
type Order struct {
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// RequestFields are what a caller says about its request.
type RequestFields struct {
	// ID is the identifier of this attempt of the caller.
	ID string
	// Key is the key of an organisation.
	Key string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	// LastEvent is the identifier of the last event that the caller has.
	LastEvent string
	// Subject is the part of the prompt that belongs to this request or its
	// session alone, empty if it is unknown.
	Subject string
	// PromptTokens and OutputTokens are the size of a generation, 0 if unknown.
	PromptTokens, OutputTokens int
}

// ServerFields are what the system tells a backend server with a request.
type ServerFields struct {
	// Instance is the identifier of the backend server that is meant.
	Instance string
	// Organisation is empty on public routes.
	Organisation string
	// Patience is the time that is left.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// Rank is the urgency of a generation, nil for plain calls.
	Rank *int
	// Backup is the address of the engine that keeps a copy of the run's memory.
	Backup string
	// CopyAt and CopyRun name the copy from which a run goes on: the address of
	// the engine that made it and its handle, or the address of the engine that
	// received it as the run went on and the identifier of the run.
	CopyAt, CopyRun string
}

// AnswerFields are what a backend server says in the head of its answer.
type AnswerFields struct {
	// RequestID names the request that the answer belongs to.
	RequestID string
	// NotRun tells that the request did not run and will not.
	NotRun bool
	// Misdirected tells that another backend server has the address now.
	Misdirected bool
	// Load is nil if the server does not tell it.
	Load *placement.Load
}
