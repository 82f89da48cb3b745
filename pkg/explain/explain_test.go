package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sampleLog = `
  33.50 g1 {"time":"2026-01-01T00:00:10.5Z","level":"INFO","msg":"stream attempt ended, resuming","instance":"g1","request":"r1","engine":"e1","copy_at":"e2","after_ms":100}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"backend server changed","instance":"g1","server":"e1","state":"gone"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"backend server changed","instance":"g1","server":"e9","state":"gone"}
{"time":"2026-01-01T00:00:11Z","level":"WARN","msg":"isolation changed","instance":"g1","isolated":true}
{"time":"2026-01-01T00:00:11Z","level":"WARN","msg":"isolation changed","instance":"g2","isolated":true}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"started","instance":"g1"}
{"time":"2026-01-01T00:00:10Z","level":"INFO","msg":"request not served","instance":"g1","request":"r2"}
{"time":"broken
{"time":"2026-01-01T00:00:12Z","level":"INFO","msg":"stream served","instance":"g1","request":"r1","engine":"e2"}
not a log line
`

// Guards against a path that contains lines of other requests, context about unrelated servers or
// outside the time of the request, and against one that omits context lines.
func TestPath(t *testing.T) {
	lines, malformed, err := Read(strings.NewReader(sampleLog))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, malformed, qt.Equals, 1)
	var got []string
	path := Path(lines, "r1")
	for _, e := range path {
		got = append(got, map[bool]string{true: "~", false: ""}[e.Context]+e.Message)
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		"~backend server changed", "stream attempt ended, resuming", "~isolation changed", "stream served",
	})
	var out strings.Builder
	qt.Assert(t, Write(&out, path), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, `  +   1.500 s  g1                 stream attempt ended, resuming after_ms=100 copy_at="e2" engine="e1"`)
	qt.Assert(t, Path(lines, "unknown"), qt.HasLen, 0)
	qt.Assert(t, Write(&out, nil), qt.IsNotNil)
}

func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Fuzz(func(t *testing.T, input string) {
		lines, _, err := Read(strings.NewReader(input))
		if err == nil {
			_ = Path(lines, "r1")
		}
	})
}
