// Package gateway serves callers over HTTP/1.1: it forwards their requests to
// backend servers, resumes streams whose engine failed, and refuses requests that
// it cannot run. It makes these decisions locally, from the configuration in force
// and the announcements of backend servers.
package gateway

import (
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

// Protocol translates between the wire format and the types of the gateway. It defines
// the names of headers and the formats, and makes no decisions.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestFields
	// Prepare removes the headers that callers may not set, and sets those that the
	// gateway sends to a backend server.
	Prepare(h http.Header, s ServerFields)
	// ParseAnswer reads the status and the headers of a backend server's response.
	ParseAnswer(status int, h http.Header) AnswerFields
	// CopyOrder returns the request that makes an engine copy the memory of a run to
	// the engine at address to. With stop, the engine ends the run first, and its
	// stream ends early.
	CopyOrder(run, to string, stop bool) Order
	// ReleaseOrder returns the request to free a copy, for the engine that made it.
	ReleaseOrder(handle string) Order
	// ParseCopy reads the handle of the copy from the response to a copy request.
	ParseCopy(body []byte) (handle string, err error)
	// ParseConfig parses the content of a publication.
	ParseConfig(content []byte) (*routing.Config, error)
}

// Order is a request that the gateway itself sends to an engine.
type Order struct {
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// RequestFields holds the fields of a caller's request that the gateway uses.
type RequestFields struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the key that identifies the caller's organisation.
	Key string
	// Patience is the timeout of the caller, 0 if it sent none.
	Patience time.Duration
	// LastEvent is the identifier of the last event that the caller received.
	LastEvent string
	// Subject is the part of the prompt that is specific to this request or its
	// session, empty if it is unknown.
	Subject string
	// PromptTokens and OutputTokens are the sizes of a generation, 0 if unknown.
	PromptTokens, OutputTokens int
}

// ServerFields holds the fields that the gateway sends to a backend server with a request.
type ServerFields struct {
	// Instance is the identifier of the backend server that the request is meant for.
	Instance string
	// Organisation is empty on public routes.
	Organisation string
	// Patience is the time left until the deadline of the request.
	Patience time.Duration
	// LastEvent is the identifier of the event after which a stream is resumed.
	LastEvent string
	// Rank is the priority of a generation, lower first; nil for calls.
	Rank *int
	// Backup is the address of the engine that receives a copy of the run's memory.
	Backup string
	// CopyAt and CopyRun identify the copy from which a run is resumed: the address of
	// the engine that made the copy and its handle, or the address of the engine that
	// received it during the run and the identifier of the run.
	CopyAt, CopyRun string
}

// AnswerFields holds the fields of a backend server's response that the gateway uses.
type AnswerFields struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// NotRun means that the request has not run and will not run.
	NotRun bool
	// Misdirected means that another backend server uses the address now.
	Misdirected bool
	// Load is nil if the server does not report it.
	Load *placement.Load
}
