package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/rotisserie/eris"
)

// Timing of announcements.
const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// Announcer describes a backend server that announces itself.
type Announcer struct {
	ID         string
	Address    string
	DataCentre string
	Pools      func() []string
	Load       func() engine.Load
	// To lists caller addresses of entry instances; the next one is tried when
	// one fails.
	To []string
}

type announcement struct {
	ID         string   `json:"id"`
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Pools      []string `json:"pools"`
	engine.Load
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

type leave struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Announce announces a backend server once a second until ctx ends, then tells
// that it is leaving. The returned channel is closed after that.
func Announce(ctx context.Context, a Announcer, log *slog.Logger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if len(a.To) > 0 {
			a.run(ctx, log)
		}
	}()
	return done
}

func (a Announcer) run(ctx context.Context, log *slog.Logger) {
	client := &http.Client{Timeout: announceTimeout}
	incarnation := uint64(time.Now().UnixNano())
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	reached, at := true, 0
	for sequence := uint64(1); ; sequence++ {
		err := a.post(client, &at, "/v1/backends/announce", announcement{
			ID: a.ID, Address: a.Address, DataCentre: a.DataCentre, Pools: a.Pools(), Load: a.Load(),
			Incarnation: incarnation, Sequence: sequence,
		})
		if (err == nil) != reached {
			reached = err == nil
			log.Info("announcements changed state", "reached", reached, "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := a.post(client, &at, "/v1/backends/leave", leave{ID: a.ID, Incarnation: incarnation}); err != nil {
				log.Warn("no entry instance took the notice of leaving", "error", err)
			}
			return
		}
	}
}

// post sends a message to the entry instance at index at, or the next that answers.
func (a Announcer) post(client *http.Client, at *int, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	for range a.To {
		var response *http.Response
		response, err = client.Post("http://"+a.To[*at]+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return nil
			}
			err = eris.Errorf("%s answered %d", a.To[*at], response.StatusCode)
		}
		*at = (*at + 1) % len(a.To)
	}
	return err
}
