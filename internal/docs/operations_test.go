// Package docs holds tests that compare pages of the documentation with the code.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logCall and reportCall match the message of a call of a logger that is named log or
// report, and metricName matches the name of a metric.
var (
	logCall    = regexp.MustCompile(`[lL]og\(?\)?\.(?:Info|Warn|Error)\("([^"]+)"`)
	reportCall = regexp.MustCompile(`report\.Warn\("([^"]+)"`)
	metricName = regexp.MustCompile(`"(gp_(?:gateway|coordinator)_[a-z_]+)"`)
)

// Guards against log messages and metrics of gateways and coordinators that the
// operators' page does not explain, and against explained ones that no longer
// exist in the code.
func TestOperationsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	inCode := map[string]bool{}
	for _, folder := range []string{
		"pkg/gateway", "pkg/coordinator", "pkg/follow", "pkg/connlimit", "platform", "cmd/gp-gateway", "cmd/gp-coordinator",
	} {
		files, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.Not(qt.HasLen), 0)
		for _, file := range append(files, "../../pkg/instance/process.go", "../../pkg/telemetry/boundedlog.go", "../../pkg/control/publication.go") {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			code, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			for _, pattern := range []*regexp.Regexp{logCall, reportCall, metricName} {
				for _, match := range pattern.FindAllStringSubmatch(string(code), -1) {
					inCode[match[1]] = true
				}
			}
		}
	}
	for name := range inCode {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain %q", name)
		}
	}
	tables := string(page)[strings.Index(string(page), "## Log messages and metrics"):]
	for _, row := range strings.Split(tables, "\n") {
		if !strings.HasPrefix(row, "| `") {
			continue
		}
		firstCell, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " |")
		for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(firstCell, -1) {
			if !inCode[match[1]] {
				t.Errorf("docs/OPERATIONS.md explains %q, which is not in the code", match[1])
			}
		}
	}
}
