// Package configwatch follows the accepted configuration at an entry instance.
package configwatch

import (
	"sync/atomic"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Source returns the configuration in force.
type Source interface {
	// Current returns the newest known version; never nil and never older than
	// what an earlier call returned. The document must not be changed.
	Current() *document.Document
}

// Holder is a Source that others set.
type Holder struct {
	current atomic.Pointer[document.Document]
}

// Current implements Source.
func (h *Holder) Current() *document.Document {
	if d := h.current.Load(); d != nil {
		return d
	}
	return document.Empty()
}

// Set puts a document in force if it is newer and reports whether it was.
func (h *Holder) Set(d *document.Document) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= d.Version {
			return false
		}
		if h.current.CompareAndSwap(old, d) {
			return true
		}
	}
}
