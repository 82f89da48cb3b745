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
	// softStateInterval is the interval at which announcements and placements are
	// written: engines announce themselves every 1.2 s, prompts take as long to read.
	softStateInterval = 500 * time.Millisecond
)

// softStateFiles keep announcements and placements over a restart of the process
// and a loss of power. They are written in turn, so that a loss of power spoils at
// most one of them.
var softStateFiles = [2]string{"soft-state-0.json", "soft-state-1.json"}

// softState is the content of the file.
type softState struct {
	// Written orders the two files.
	Written    uint64            `json:"written"`
	Servers    []directory.Entry `json:"servers"`
	Placements []recentPlacement `json:"placements"`
}

// keepState restores what the process before knew and writes what this one knows
// until ctx ends. It answers the end of all gateways and coordinators at once:
// callers come back before backend servers announce themselves again, and would all
// be sent to the few that are known. A file that cannot be read or written only
// costs that knowledge.
func (h *hub) keepState(ctx context.Context, folder string, log *slog.Logger) {
	number, err := h.restore(folder, time.Now())
	if err != nil {
		log.Info("earlier announcements are not known", "error", err)
	}
	written, failing := 0, false
	for sleep(ctx, softStateInterval) {
		number++
		h.mu.Lock()
		noted := h.noted
		data, err := json.Marshal(softState{Written: number, Servers: h.servers.Entries(), Placements: h.recent})
		h.mu.Unlock()
		if noted == written {
			continue
		}
		if err == nil {
			err = writeSynced(filepath.Join(folder, softStateFiles[number%2]), data)
		}
		if err != nil && !failing {
			log.Warn("announcements cannot be kept", "error", err)
		}
		written, failing = noted, err != nil
	}
}

// writeSynced replaces the content of a file and waits until it is durable.
func writeSynced(file string, data []byte) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}

// restore reads the newer one of the files, as far as it is recent by the clock, and
// returns its number.
func (h *hub) restore(folder string, now time.Time) (uint64, error) {
	var newest softState
	var failures []error
	for _, name := range softStateFiles {
		data, err := os.ReadFile(filepath.Join(folder, name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var stored softState
		if err == nil {
			err = json.Unmarshal(data, &stored)
		}
		if err != nil {
			failures = append(failures, eris.Wrapf(err, "read earlier announcements from %s", name))
		} else if stored.Written >= newest.Written {
			newest = stored
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers.Restore(newest.Servers, now)
	for _, r := range newest.Placements {
		if age := now.Sub(r.At); r.Placement != nil && age >= 0 && age < placement.MemoryLife {
			h.recent = append(h.recent, r)
		}
	}
	return newest.Written, errors.Join(failures...)
}
