// Package explain reconstructs the path of one request through the system from the log lines of
// several processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLineBytes bounds the length of a log line; a longer one is an error.
	maxLineBytes = 1 << 20
	// contextMargin is the time before the start and after the last line of a request within which
	// context lines are shown.
	contextMargin = 2 * time.Second
	// MaxClockSkew is the assumed maximum difference between the clocks of two instances. Lines of
	// different instances that are closer together may be shown in the wrong order.
	MaxClockSkew = 50 * time.Millisecond
)

// Line is a parsed log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields holds the other fields of the line, without its level.
	Fields map[string]any
}

// Read returns the log lines of a file. It skips text in front of a line's JSON object and lines
// without one, and counts malformed objects.
func Read(r io.Reader) (lines []Line, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line, ok := parseLine(scanner.Bytes()[start:])
		if !ok {
			malformed++
			continue
		}
		lines = append(lines, line)
	}
	return lines, malformed, eris.Wrap(scanner.Err(), "read log lines")
}

func parseLine(data []byte) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: timestamp, Instance: stringValue(fields["instance"]), Message: stringValue(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// Event is a log line in the path of a request.
type Event struct {
	Line
	// Context is set on a line that does not name the request. It shows what an instance that handled
	// the request did around that time.
	Context bool
}

// Path returns the lines that name a request and their context lines, ordered by time. It is empty
// if no line names the request.
func Path(lines []Line, request string) []Event {
	var requestLines []Line
	instances, serverIDs := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if stringValue(l.Fields["request"]) == request {
			requestLines = append(requestLines, l)
			instances[l.Instance] = true
			addServers(l, serverIDs)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortFunc(requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	contextStart, contextEnd := requestStart(requestLines).Add(-contextMargin), requestLines[len(requestLines)-1].Time.Add(contextMargin)
	var path []Event
	for _, l := range lines {
		switch {
		case stringValue(l.Fields["request"]) == request:
			path = append(path, Event{Line: l})
		case l.Fields["request"] == nil && instances[l.Instance] && !l.Time.Before(contextStart) && !l.Time.After(contextEnd) && inContext(l, serverIDs):
			path = append(path, Event{Line: l, Context: true})
		}
	}
	slices.SortStableFunc(path, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return path
}

// requestStart returns the arrival time of a request as far as its lines show it. It may be before
// the first line: a line may state the age of the request in after_ms.
func requestStart(lines []Line) time.Time {
	start := lines[0].Time
	for _, l := range lines {
		if ms, ok := l.Fields["after_ms"].(float64); ok {
			if arrival := l.Time.Add(-time.Duration(ms) * time.Millisecond); arrival.Before(start) {
				start = arrival
			}
		}
	}
	return start
}

// serverFields are the fields whose value is the identifier of a backend server in the lines of a
// gateway. In lines of coordinators, which name no request, "holder" is a member of the control group.
var serverFields = []string{"engine", "copy_at", "holder", "server"}

func addServers(l Line, serverIDs map[string]bool) {
	for _, name := range serverFields {
		if id := stringValue(l.Fields[name]); id != "" {
			serverIDs[id] = true
		}
	}
	if list, ok := l.Fields["servers"].([]any); ok {
		for _, id := range list {
			serverIDs[stringValue(id)] = true
		}
	}
}

// inContext reports whether a line that names no request may be context: it names no backend server,
// or the first one that it names is in serverIDs.
func inContext(l Line, serverIDs map[string]bool) bool {
	for _, name := range serverFields {
		if id := stringValue(l.Fields[name]); id != "" {
			return serverIDs[id]
		}
	}
	return true
}

// Write prints a path as text. Times are relative to the first line, and context lines are marked
// with "~".
func Write(w io.Writer, path []Event) error {
	if len(path) == 0 {
		return eris.New("no log line names the request")
	}
	start := path[0].Time
	instances := map[string]bool{}
	for _, e := range path {
		instances[e.Instance] = true
		marker := " "
		if e.Context {
			marker = "~"
		}
		if _, err := fmt.Fprintf(w, "%s +%8.3f s  %-18s %s%s\n", marker, e.Time.Sub(start).Seconds(), e.Instance, e.Message, formatFields(e.Line)); err != nil {
			return eris.Wrap(err, "write the path")
		}
	}
	_, err := fmt.Fprintf(w, "~ marks lines of the same instances that do not name the request; first line at %s.\n", start.Format(time.RFC3339Nano))
	if err == nil && len(instances) > 1 {
		_, err = fmt.Fprintf(w, "Clocks of instances may differ: lines of different instances within %s may be in the wrong order.\n", MaxClockSkew)
	}
	return eris.Wrap(err, "write the path")
}

func formatFields(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			value = []byte("?")
		}
		fmt.Fprintf(&out, " %s=%s", name, value)
	}
	return out.String()
}
