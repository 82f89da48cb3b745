package engine

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleConnections is the number of idle connections kept to one engine.
	idleConnections = 16
)

// NewClient returns the HTTP client for all engines. Connections leave from
// source unless it is nil.
func NewClient(source net.Addr) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, LocalAddr: source}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}}
}
