// Package docs checks pages against the code.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logged matches the message of a log call, and named the name of a metric.
var (
	logged = regexp.MustCompile(`[lL]og\(?\)?\.(?:Info|Warn|Error)\("([^"]+)"`)
	report = regexp.MustCompile(`report\.Warn\("([^"]+)"`)
	named  = regexp.MustCompile(`"(gp_(?:gateway|coordinator)_[a-z_]+)"`)
)

// Guards against log messages and metrics of gateways and coordinators that the
// operators' page does not explain, and against explained ones that are gone.
func TestOperationsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	known := map[string]bool{}
	for _, folder := range []string{
		"pkg/gateway", "pkg/coordinator", "pkg/follow", "platform", "cmd/gp-gateway", "cmd/gp-coordinator",
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
			for _, pattern := range []*regexp.Regexp{logged, report, named} {
				for _, match := range pattern.FindAllStringSubmatch(string(code), -1) {
					known[match[1]] = true
				}
			}
		}
	}
	for name := range known {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain %q", name)
		}
	}
	tables := string(page)[strings.Index(string(page), "## Log messages and metrics"):]
	for _, row := range strings.Split(tables, "\n") {
		if !strings.HasPrefix(row, "| `") {
			continue
		}
		first, _, _ := strings.Cut(strings.TrimPrefix(row, "| "), " |")
		for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(first, -1) {
			if !known[match[1]] {
				t.Errorf("docs/OPERATIONS.md explains %q, which is not in the code", match[1])
			}
		}
	}
}
