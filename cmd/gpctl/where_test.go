package main

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

// Guards against an answer that is shown wrongly, and against errors of a gateway that look like an answer.
func TestWhereCommand(t *testing.T) {
	var query string
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		if r.URL.Query().Get("route") != "chat" {
			http.Error(w, "no route with this name", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`{"route":"chat","service":"pool","server":"e1","reason":"lowest cost","candidates":[
			{"server":"e1","data_centre":"a","selectable":true,"place":true,"cost":-1.14,"pace":0.62,"source":"shared","age_ms":1500,"prefill_ms":640,"report_age_ms":-1},
			{"server":"e2","data_centre":"a","selectable":true,"avoided":true,"cost":2,"pace":1,"source":"none","report_age_ms":20}]}`))
	}))
	defer gateway.Close()
	run := func(args ...string) (string, subcommands.ExitStatus) {
		var out bytes.Buffer
		c := &whereCommand{output: &out}
		f := flag.NewFlagSet("where", flag.ContinueOnError)
		c.SetFlags(f)
		qt.Assert(t, f.Parse(args), qt.IsNil)
		status := c.Execute(t.Context(), f)
		return out.String(), status
	}
	text, status := run("-gateway", gateway.Listener.Addr().String(), "-route", "chat", "-prompt-tokens", "8200")
	qt.Assert(t, status, qt.Equals, subcommands.ExitSuccess)
	qt.Check(t, strings.Contains(query, "prompt_tokens=8200"), qt.IsTrue)
	lines := strings.Split(text, "\n")
	qt.Check(t, lines[0], qt.Equals, "route chat, service pool: e1 (lowest cost)")
	qt.Check(t, strings.Fields(lines[3]), qt.DeepEquals, []string{"e1", "a", "-1.14", "0", "0", "true", "0.62", "shared", "1.5s", "640ms", "-", "ok"})
	qt.Check(t, strings.Fields(lines[4]), qt.DeepEquals, []string{"e2", "a", "2.00", "0", "0", "false", "1.00", "none", "-", "-", "20ms", "avoided"})
	_, status = run("-gateway", gateway.URL, "-route", "none")
	qt.Check(t, status, qt.Equals, subcommands.ExitFailure)
	_, status = run("-gateway", startMalformedServer(t, `{"route":"chat"}`), "-route", "chat")
	qt.Check(t, status, qt.Equals, subcommands.ExitFailure)
	_, status = run("-route", "chat")
	qt.Check(t, status, qt.Equals, subcommands.ExitUsageError)
}
