package standin

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
)

// Guards against a malformed response that passes for the acknowledgement of an announcement, so that no other entry
// instance gets it.
func TestAnnouncementGoesOnAfterAMalformedResponse(t *testing.T) {
	malformed := testnet.Serve(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Sum: 5\r\nContent-Length: 0\r\n\r\n")
		}
	})
	announced := make(chan struct{}, 10)
	entry := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { announced <- struct{}{} }))
	defer entry.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := Announce(ctx, Announcer{
		ID: "e", Address: "127.0.0.1:1", EntryAddresses: []string{malformed, entry.Listener.Addr().String()},
		Pools: func() []string { return nil }, Load: func() engine.LoadReport { return engine.LoadReport{} },
	}, slog.New(slog.DiscardHandler))
	defer func() { cancel(); <-done }()
	select {
	case <-announced:
	case <-time.After(3 * time.Second):
		t.Fatal("no entry instance got the announcement")
	}
}
