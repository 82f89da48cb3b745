package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/httpstrict"
	"github.com/rotisserie/eris"
)

const (
	announceInterval = time.Second
	// announceTimeout bounds one attempt to send a message to an entry instance.
	announceTimeout = 500 * time.Millisecond
)

// Announcer holds the content and the receivers of the announcements of a backend server. Announce
// sends them.
type Announcer struct {
	ID         string
	Address    string
	DataCentre string
	// Pools returns the names of the services that the server belongs to.
	Pools func() []string
	Load  func() engine.LoadReport
	// EntryAddresses are the caller addresses of entry instances. Messages go to
	// one of them, and to the next one after a failure.
	EntryAddresses []string
}

type announcement struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Pools      []string `json:"pools"`
	engine.LoadReport
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

type leaveNotice struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Announce sends an announcement every announceInterval until ctx ends, and then
// a leave notice. It closes the returned channel when the leave notice has been
// sent or has failed, or at once if there are no entry addresses.
func Announce(ctx context.Context, a Announcer, log *slog.Logger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if len(a.EntryAddresses) > 0 {
			a.sendUntilDone(ctx, log)
		}
	}()
	return done
}

func (a Announcer) sendUntilDone(ctx context.Context, log *slog.Logger) {
	client := &http.Client{Transport: httpstrict.NewDefaultTransport(), Timeout: announceTimeout}
	incarnation := uint64(time.Now().UnixNano())
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	reachable, entryIndex := true, 0
	for sequence := uint64(1); ; sequence++ {
		err := a.post(client, &entryIndex, "/v1/backends/announce", announcement{
			ID: a.ID, Address: a.Address, DataCentre: a.DataCentre, Pools: a.Pools(), LoadReport: a.Load(),
			Incarnation: incarnation, Sequence: sequence,
		})
		if (err == nil) != reachable {
			reachable = err == nil
			log.Info("reachability of the entry instances changed", "reached", reachable, "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := a.post(client, &entryIndex, "/v1/backends/leave", leaveNotice{ID: a.ID, Incarnation: incarnation}); err != nil {
				log.Warn("no entry instance accepted the leave notice", "error", err)
			}
			return
		}
	}
}

// post sends a message to EntryAddresses[*entryIndex]. On a failure it advances
// *entryIndex and retries, at most once per address.
func (a Announcer) post(client *http.Client, entryIndex *int, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	for range a.EntryAddresses {
		var response *http.Response
		response, err = client.Post("http://"+a.EntryAddresses[*entryIndex]+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return nil
			}
			err = eris.Errorf("%s responded with status %d", a.EntryAddresses[*entryIndex], response.StatusCode)
		}
		*entryIndex = (*entryIndex + 1) % len(a.EntryAddresses)
	}
	return err
}
