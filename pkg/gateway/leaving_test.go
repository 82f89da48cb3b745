package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Guards against new requests to a server that said in a response that it is leaving: of calls and of
// streams, also if it is the only server, has the prompt, or is announced as ready by a coordinator
// that does not know yet.
func TestServerThatSaysItIsLeavingGetsNoNewRequests(t *testing.T) {
	for _, tt := range []struct{ path, service string }{{"/safe/x", "app"}, {"/once/x", "app"}, {"/stream/x", "pool"}} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			leaving := f.addServer(tt.service, "leaving", "local", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Leaving", "1")
				streamHandler(nil)(w, r)
			})
			subject := "part"
			send := func() callerResponse {
				return f.send("POST", tt.path, map[string]string{"X-Subject": subject, "X-Prompt": "100", "X-Patience": "500"})
			}
			qt.Assert(t, send().status, qt.Equals, http.StatusOK)
			qt.Assert(t, send().status, qt.Equals, http.StatusServiceUnavailable)
			f.HandleAnnouncements([]directory.Server{leaving.announcement(tt.service, directory.Ready, 2)})
			qt.Assert(t, send().status, qt.Equals, http.StatusServiceUnavailable)
			f.addServer(tt.service, "other", "remote", streamHandler(nil))
			for range 3 {
				qt.Assert(t, send().status, qt.Equals, http.StatusOK)
			}
			qt.Assert(t, leaving.receivedRequests(), qt.HasLen, 1)
			// A new process at the same address may be used.
			started := leaving.announcement(tt.service, directory.Ready, 1)
			started.StartedMS++
			f.HandleAnnouncements([]directory.Server{started})
			subject = ""
			for deadline := time.Now().Add(time.Second); len(leaving.receivedRequests()) == 1 && time.Now().Before(deadline); {
				send()
			}
			qt.Assert(t, len(leaving.receivedRequests()) > 1, qt.IsTrue)
		})
	}
}
