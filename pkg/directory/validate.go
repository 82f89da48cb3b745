package directory

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

const (
	// maxNameBytes bounds identifiers and the names of services and data centres, which are sent to every
	// instance. Those in use have a few dozen bytes.
	maxNameBytes = 256
	// maxSlots and maxWarmUp are far above what servers announce.
	maxSlots  = 1 << 20
	maxWarmUp = 24 * time.Hour
	// maxStartAhead is how far the start of a server may lie ahead of the local clock. Clocks of instances
	// differ by seconds; a start years ahead would shut out the true server.
	maxStartAhead = 24 * time.Hour
)

// Validate returns an error that names the first field with which the announcement cannot describe a
// server, or nil. now is the local time of day. Announcements enter from the network and from files:
// an invalid one must not pass, because instances could not forward it to each other.
func (s *Server) Validate(now time.Time) error {
	for _, name := range []struct{ field, value string }{{"identifier", s.ID}, {"service", s.Service}, {"data centre", s.DataCentre}, {"version", s.Version}} {
		if !isName(name.value) {
			return eris.Errorf("the %s is not a printable text of at most %d bytes: %.40q", name.field, maxNameBytes, name.value)
		}
	}
	if s.ID == "" {
		return eris.New("the identifier is missing")
	}
	// A notice of the end needs only the identifier.
	if s.State != Gone || s.Address != "" {
		if address, err := netip.ParseAddrPort(s.Address); err != nil || address.Port() == 0 {
			return eris.Errorf("the address is not an IP address with a port: %.40q", s.Address)
		}
	}
	if s.State != Gone && s.Service == "" {
		return eris.New("the service is missing")
	}
	switch {
	case s.Slots < 0 || s.Slots > maxSlots:
		return eris.Errorf("the number of slots is not between 0 and %d: %d", maxSlots, s.Slots)
	case s.WarmingMS < 0 || s.WarmingMS > int(maxWarmUp.Milliseconds()):
		return eris.Errorf("the warm-up is not between 0 and %d ms: %d", maxWarmUp.Milliseconds(), s.WarmingMS)
	case s.StartedMS < 0 || s.StartedMS > now.Add(maxStartAhead).UnixMilli():
		return eris.Errorf("the start is not a time up to a day from now, in Unix milliseconds: %d", s.StartedMS)
	}
	return nil
}

// isName reports whether a text may be a name: protocol messages carry only valid UTF-8, and names are
// sent as header values.
func isName(text string) bool {
	if len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
