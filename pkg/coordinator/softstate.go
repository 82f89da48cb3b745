package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

const (
	// softStateFile keeps announcements and placements over a restart of the
	// process. It is not synced: after a loss of power they are heard again.
	softStateFile = "soft-state.json"
	// softStateInterval is the interval at which it is written.
	softStateInterval = 300 * time.Millisecond
)

// softState is the content of the file.
type softState struct {
	Servers    []directory.Entry `json:"servers"`
	Placements []recentPlacement `json:"placements"`
}

// keepState restores what the process before knew and writes what this one knows
// until ctx ends. It answers the end of all gateways and coordinators at once:
// callers come back before backend servers announce themselves again, and would all
// be sent to the few that are known. A file that cannot be read or written only
// costs that knowledge.
func (h *hub) keepState(ctx context.Context, folder string, log *slog.Logger) {
	file := filepath.Join(folder, softStateFile)
	if err := h.restore(file, time.Now()); err != nil {
		log.Info("earlier announcements are not known", "error", err)
	}
	written, failing := 0, false
	for sleep(ctx, softStateInterval) {
		h.mu.Lock()
		noted := h.noted
		data, err := json.Marshal(softState{Servers: h.servers.Entries(), Placements: h.recent})
		h.mu.Unlock()
		if noted == written {
			continue
		}
		if err == nil {
			err = os.WriteFile(file, data, 0o600)
		}
		if err != nil && !failing {
			log.Warn("announcements cannot be kept", "error", err)
		}
		written, failing = noted, err != nil
	}
}

// restore reads what is recent by the clock.
func (h *hub) restore(file string, now time.Time) error {
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read earlier announcements")
	}
	var stored softState
	if err := json.Unmarshal(data, &stored); err != nil {
		return eris.Wrap(err, "read earlier announcements")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers.Restore(stored.Servers, now)
	for _, r := range stored.Placements {
		if age := now.Sub(r.At); r.Placement != nil && age >= 0 && age < placement.MemoryLife {
			h.recent = append(h.recent, r)
		}
	}
	return nil
}
