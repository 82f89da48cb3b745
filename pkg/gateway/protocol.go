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
	// PrepareHeaders removes the headers that callers may not set, and sets those that the
	// gateway sends to a backend server.
	PrepareHeaders(h http.Header, s ServerFields)
	// ParseResponse reads the status and the headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseFields
	// CopyRequest returns the request that makes an engine copy the memory of a run to
	// the engine at the address destination. With stopRun, the engine ends the run
	// first, and its stream ends early.
	CopyRequest(runID, destination string, stopRun bool) EngineRequest
	// ReleaseRequest returns the request to free a copy, for the engine that made it.
	ReleaseRequest(handle string) EngineRequest
	// IdentifyEngineRequest sets the headers with the identifier of a request of the gateway itself and with the engine
	// that it is meant for.
	IdentifyEngineRequest(h http.Header, requestID, engineID string)
	// ParseCopyResponse reads the body of the response to a copy request.
	ParseCopyResponse(body []byte) (CopyResponse, error)
	// ParseConfig parses the content of a publication.
	ParseConfig(content []byte) (*routing.Config, error)
}

// EngineRequest is a request that the gateway itself sends to an engine.
type EngineRequest struct {
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// CopyResponse is the response of an engine to a copy request.
type CopyResponse struct {
	// Handle identifies the copy; it is not empty.
	Handle string
	// Events is the number of events that the run had generated when its memory was copied, nil if it is unknown.
	Events *int
}

// RequestFields holds the fields of a caller's request that the gateway uses.
type RequestFields struct {
	// ID is the request identifier. A caller that sends a request again uses a new one.
	ID string
	// Key is the key that identifies the caller's organisation.
	Key string
	// Timeout is the timeout of the caller, 0 if it sent none.
	Timeout time.Duration
	// LastEventID is the identifier of the last event that the caller received.
	LastEventID string
	// SessionPart is the part of the prompt that is specific to this request or its
	// session, empty if it is unknown.
	SessionPart string
	// SharedParts are the other parts of the prompt in order, which other requests may have too.
	SharedParts []string
	// PromptTokens and OutputTokens are the sizes of a generation, 0 if unknown.
	PromptTokens, OutputTokens int
}

// SuspectParts returns the parts of the prompt that may be suspected of ending engines: those that other requests may have
// too, or the only part.
func (f *RequestFields) SuspectParts() []string {
	if len(f.SharedParts) == 0 && f.SessionPart != "" {
		return []string{f.SessionPart}
	}
	return f.SharedParts
}

// ServerFields holds the fields that the gateway sends to a backend server with a request.
type ServerFields struct {
	// ServerID is the identifier of the backend server that the request is meant for.
	ServerID string
	// Organisation is empty on public routes.
	Organisation string
	// TimeLeft is the time left until the deadline of the request.
	TimeLeft time.Duration
	// LastEventID is the identifier of the event after which a stream is resumed.
	LastEventID string
	// QueuePriority is the priority of a generation, lower first; nil for calls.
	QueuePriority *int
	// BackupAddress is the address of the engine that receives a copy of the run's memory.
	BackupAddress string
	// CopyAddress and CopyHandle identify the copy from which a run is resumed: the address of
	// the engine that made the copy and its handle, or the address of the engine that
	// received it during the run and the identifier of the run.
	CopyAddress, CopyHandle string
}

// ResponseFields holds the fields of a backend server's response that the gateway uses.
type ResponseFields struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// NotRun means that the request has not run and will not run.
	NotRun bool
	// Misdirected means that another backend server uses the address now.
	Misdirected bool
	// Load is nil if the server does not report it.
	Load *placement.LoadReport
	// Limit is the number of requests per second that the server takes from all gateways together, 0
	// if it names no limit.
	Limit float64
	// Pause is the time from now for which the server takes no requests from this gateway.
	Pause time.Duration
	// Leaving means that the server is about to end and takes no new requests.
	Leaving bool
}
