// Package explain reconstructs the path of one request from the log lines of
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
	// maxLineBytes bounds a log line; longer ones are an error.
	maxLineBytes = 1 << 20
	// margin is how long before and after the request's own lines the context is shown.
	margin = 2 * time.Second
	// ClockUncertainty is how far the clocks of two instances are assumed to
	// differ; lines of different instances within it may be in the other order.
	ClockUncertainty = 50 * time.Millisecond
)

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the other fields of the line.
	Fields map[string]any
}

// Read returns the log lines of one file. Text in front of a line's JSON object
// and lines without one are skipped; faulty objects are counted.
func Read(r io.Reader) (lines []Line, faulty int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line, ok := parse(scanner.Bytes()[start:])
		if !ok {
			faulty++
			continue
		}
		lines = append(lines, line)
	}
	return lines, faulty, eris.Wrap(scanner.Err(), "read log lines")
}

func parse(data []byte) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Instance: text(fields["instance"]), Message: text(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

// Event is a line of the path of a request.
type Event struct {
	Line
	// Context lines do not name the request: they tell what an instance that
	// handled it knew or did at that time.
	Context bool
}

// Path returns the lines about a request and their context, in order of time. It
// is empty if no line names the request.
func Path(lines []Line, request string) []Event {
	var own []Line
	instances, servers := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if text(l.Fields["request"]) == request {
			own = append(own, l)
			instances[l.Instance] = true
			noteServers(l, servers)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	from, to := began(own).Add(-margin), own[len(own)-1].Time.Add(margin)
	var path []Event
	for _, l := range lines {
		switch {
		case text(l.Fields["request"]) == request:
			path = append(path, Event{Line: l})
		case l.Fields["request"] == nil && instances[l.Instance] && !l.Time.Before(from) && !l.Time.After(to) && concerns(l, servers):
			path = append(path, Event{Line: l, Context: true})
		}
	}
	slices.SortStableFunc(path, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return path
}

// began returns when the request came: its first line tells how long it was
// under way by then.
func began(own []Line) time.Time {
	first := own[0].Time
	for _, l := range own {
		if ms, ok := l.Fields["after_ms"].(float64); ok {
			if at := l.Time.Add(-time.Duration(ms) * time.Millisecond); at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// serverFields are the fields that name backend servers.
var serverFields = []string{"engine", "copy_at", "holder", "server"}

func noteServers(l Line, servers map[string]bool) {
	for _, name := range serverFields {
		if id := text(l.Fields[name]); id != "" {
			servers[id] = true
		}
	}
	if list, ok := l.Fields["servers"].([]any); ok {
		for _, id := range list {
			servers[text(id)] = true
		}
	}
}

// concerns tells whether a line without a request belongs to the context: it
// names one of the servers, or no server at all.
func concerns(l Line, servers map[string]bool) bool {
	for _, name := range serverFields {
		if id := text(l.Fields[name]); id != "" {
			return servers[id]
		}
	}
	return true
}

// Write prints a path for people: times relative to the first line, context
// lines in brackets.
func Write(w io.Writer, path []Event) error {
	if len(path) == 0 {
		return eris.New("no log line names the request")
	}
	start := path[0].Time
	instances := map[string]bool{}
	for _, e := range path {
		instances[e.Instance] = true
		mark := " "
		if e.Context {
			mark = "~"
		}
		if _, err := fmt.Fprintf(w, "%s +%8.3f s  %-18s %s%s\n", mark, e.Time.Sub(start).Seconds(), e.Instance, e.Message, fieldsOf(e.Line)); err != nil {
			return eris.Wrap(err, "write the path")
		}
	}
	_, err := fmt.Fprintf(w, "~ marks what the instance knew or did beside the request; first line at %s.\n", start.Format(time.RFC3339Nano))
	if err == nil && len(instances) > 1 {
		_, err = fmt.Fprintf(w, "Clocks of instances may differ: the order of lines of different instances is uncertain within %s.\n", ClockUncertainty)
	}
	return eris.Wrap(err, "write the path")
}

func fieldsOf(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			value = []byte("?")
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}
