package directory

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against announcements that instances could not pass on to each other, or that would shut out a
// true server.
func TestValidate(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	sound := Server{ID: "s", Service: "pool", Address: "10.0.0.1:80", DataCentre: "d", StartedMS: now.UnixMilli(), Slots: 6, WarmingMS: 900}
	qt.Assert(t, sound.Validate(now), qt.IsNil)
	for want, change := range map[string]func(*Server){
		"identifier is missing":  func(s *Server) { s.ID = "" },
		"identifier is not":      func(s *Server) { s.ID = "\xff" },
		"identifier is not.*256": func(s *Server) { s.ID = strings.Repeat("a", 257) },
		"service is missing":     func(s *Server) { s.Service = "" },
		"service is not":         func(s *Server) { s.Service = "a\r\nb" },
		"data centre is not":     func(s *Server) { s.DataCentre = "a\x00" },
		"version is not":         func(s *Server) { s.Version = "v2\n" },
		"address.*99999":         func(s *Server) { s.Address = "10.0.0.1:99999" },
		"address.*:0":            func(s *Server) { s.Address = "10.0.0.1:0" },
		"address.*name":          func(s *Server) { s.Address = "name:80" },
		"address.*\":\"":         func(s *Server) { s.Address = ":" },
		"slots.*-1":              func(s *Server) { s.Slots = -1 },
		"slots.*: [0-9]{10,}":    func(s *Server) { s.Slots = math.MaxInt32 },
		"version is not.*256":    func(s *Server) { s.Version = strings.Repeat("v", 257) },
		"warm-up.*-1":            func(s *Server) { s.WarmingMS = -1 },
		"warm-up.*: [0-9]{10,}":  func(s *Server) { s.WarmingMS = math.MaxInt32 },
		"start.*-1":              func(s *Server) { s.StartedMS = -1 },
		"start.*: 9223":          func(s *Server) { s.StartedMS = math.MaxInt64 },
		"start.*: 18000900":      func(s *Server) { s.StartedMS = now.Add(25 * time.Hour).UnixMilli() },
	} {
		s := sound
		change(&s)
		err := s.Validate(now)
		qt.Check(t, err, qt.ErrorMatches, "(?s)the .*"+want+".*", qt.Commentf("%+v", s))
	}
	versioned := sound
	versioned.Version = "v1"
	qt.Assert(t, versioned.Validate(now), qt.IsNil)
	clockBehind := sound
	qt.Assert(t, clockBehind.Validate(now.Add(-12*time.Hour)), qt.IsNil)
	ended := Server{ID: "s", State: Gone}
	qt.Assert(t, ended.Validate(now), qt.IsNil)
}
