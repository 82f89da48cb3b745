package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against bounds of rollouts that allow a bad version any number of requests, and against a
// coordinator that does not start without the object.
func TestRolloutSettings(t *testing.T) {
	const rest = `"instance": {"id": "a", "region": "r", "data_centre": "d"}, "operator_address": "127.0.0.1:1",
		"peer_address": "127.0.0.1:2", "seeds": ["127.0.0.1:1"], "data_folder": "d"`
	for _, tt := range []struct{ object, fault string }{
		{``, ""},
		{`, "rollouts": {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}`, ""},
		{`, "rollouts": {"exposure_share": 1, "exposure_slack": 0, "rollback_ms": 1}`, ""},
		{`, "rollouts": {"exposure_share": 0, "exposure_slack": 50, "rollback_ms": 5000}`, "exposure_share"},
		{`, "rollouts": {"exposure_share": 1.5, "exposure_slack": 50, "rollback_ms": 5000}`, "exposure_share"},
		{`, "rollouts": {"exposure_share": 0.1, "exposure_slack": -1, "rollback_ms": 5000}`, "exposure_slack"},
		{`, "rollouts": {"exposure_share": 0.1, "exposure_slack": 50}`, "rollback_ms"},
		{`, "rollouts": {"exposed": 1}`, "exposed"},
	} {
		file := filepath.Join(t.TempDir(), "coordinator.json")
		qt.Assert(t, os.WriteFile(file, []byte("{"+rest+tt.object+"}"), 0o600), qt.IsNil)
		s, err := LoadCoordinator(file)
		if tt.fault == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.object))
			qt.Check(t, s.Rollouts != nil, qt.Equals, tt.object != "")
			continue
		}
		qt.Check(t, err != nil && strings.Contains(err.Error(), tt.fault), qt.IsTrue, qt.Commentf("%s: %v", tt.object, err))
	}
}
