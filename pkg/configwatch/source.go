// Package configwatch keeps the configuration of an entry instance up to date: it watches
// one of the control instances and stores the document in force in a folder. Gateways do not
// use it; they receive publications from coordinators by pkg/follow.
package configwatch

import (
	"sync/atomic"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Source provides the configuration in force.
type Source interface {
	// Current returns the configuration in force at this instance. It is never nil
	// and never older than the result of an earlier call. The caller must not
	// modify the document.
	Current() *document.Document
}

// SettableSource is a Source whose configuration is set by Set. It is safe for concurrent
// use.
type SettableSource struct {
	current atomic.Pointer[document.Document]
}

// Current implements Source.
func (s *SettableSource) Current() *document.Document {
	if d := s.current.Load(); d != nil {
		return d
	}
	return document.Empty()
}

// Set puts a document in force if it is newer than the current one, and reports
// whether it did.
func (s *SettableSource) Set(d *document.Document) bool {
	for {
		previous := s.current.Load()
		if previous != nil && previous.Version >= d.Version {
			return false
		}
		if s.current.CompareAndSwap(previous, d) {
			return true
		}
	}
}
