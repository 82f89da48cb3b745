package instance

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDescribeBuild checks that a build from modified sources is marked as such.
func TestDescribeBuild(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1", Main: debug.Module{Path: "m", Version: "v1"}}
	qt.Assert(t, describeBuild(info), qt.Equals, "m v1, revision unknown, go1")
	info.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}}
	qt.Assert(t, describeBuild(info), qt.Equals, "m v1, revision abc (modified), go1")
}
