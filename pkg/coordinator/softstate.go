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
	// written. It is below the interval between two announcements of an engine (1.2 s) and
	// the prefill time of a prompt, which is about as long.
	softStateInterval = 500 * time.Millisecond
	// minWriteInterval is the minimum interval between two writes that something waits for, as each
	// encodes and syncs the state of all servers.
	minWriteInterval = 100 * time.Millisecond
)

// softStateFiles store announcements and placements across process restarts and power
// failures. They are written alternately, so that a power failure corrupts at most one.
var softStateFiles = [2]string{"soft-state-0.json", "soft-state-1.json"}

// softState is the content of one soft-state file.
type softState struct {
	// Sequence is the number of the write; the file with the higher one is newer.
	Sequence   uint64                   `json:"written"`
	Servers    entries[directory.Entry] `json:"servers"`
	Placements entries[recentPlacement] `json:"placements"`
	Reports    entries[recentReport]    `json:"reports"`
}

// entries is a list whose entries are decoded one by one: those that cannot be decoded are left out.
type entries[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (e *entries[T]) UnmarshalJSON(data []byte) error {
	var encoded []json.RawMessage
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	*e = make(entries[T], 0, len(encoded))
	for _, item := range encoded {
		var entry T
		if json.Unmarshal(item, &entry) == nil {
			*e = append(*e, entry)
		}
	}
	return nil
}

// persistState restores the state of the previous process and then writes changes until
// ctx ends, at once if awaitStored waits for them. It matters when all gateways and coordinators fail at once: callers reconnect
// before all backend servers have announced themselves again, and would overload the few
// that have, gateways would send prompts that end engines to them again, and servers that were acknowledged as leaving would get work.
// If a file cannot be read or written, only this protection is lost.
func (h *hub) persistState(ctx context.Context, folder string, log *slog.Logger) {
	sequence, err := h.restore(folder, time.Now())
	if err != nil {
		log.Info("failed to restore earlier announcements", "error", err)
	}
	ticker := time.NewTicker(softStateInterval)
	defer ticker.Stop()
	failed := false
	for sleepContext(ctx, minWriteInterval) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.writeSoon:
		}
		h.mu.Lock()
		updates := h.updates
		if updates == h.lastWrite.stored {
			h.mu.Unlock()
			continue
		}
		data, err := json.Marshal(softState{Sequence: sequence + 1, Servers: h.servers.Entries(), Placements: h.recentPlacements, Reports: h.recentReports})
		h.mu.Unlock()
		if err == nil {
			err = h.writeFile(filepath.Join(folder, softStateFiles[(sequence+1)%2]), data)
		}
		if err != nil && !failed {
			log.Warn("failed to store announcements", "error", err)
		}
		failed = err != nil
		if !failed {
			// After a failure the same file is written again, as only the other one is intact.
			sequence++
		}
		h.finishWrite(updates, err)
	}
}

// finishWrite records the end of an attempt to write the state with a number of updates and wakes those that wait for it.
func (h *hub) finishWrite(updates int, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastWrite.attempted, h.lastWrite.err = updates, err
	if err == nil {
		h.lastWrite.stored = updates
	}
	close(h.lastWrite.next)
	h.lastWrite.next = make(chan struct{})
}

// awaitStored waits until all updates so far are on the disk. All that wait while a write is under way share the next one.
// It returns the error of a write that failed.
func (h *hub) awaitStored(ctx context.Context) error {
	h.mu.Lock()
	updates, write := h.updates, h.lastWrite
	h.mu.Unlock()
	for write.stored < updates {
		wake(h.writeSoon)
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the state to be on the disk")
		case <-write.next:
		}
		h.mu.Lock()
		write = h.lastWrite
		h.mu.Unlock()
		if write.err != nil && write.attempted >= updates {
			return eris.Wrap(write.err, "write the state to the disk")
		}
	}
	return nil
}

// writeFileSynced replaces the content of a file and syncs it to disk, and its folder if the file is new.
func writeFileSynced(file string, data []byte) error {
	if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
		return writeDurably(filepath.Dir(file), filepath.Base(file), data)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}

// restore loads the newer file and returns its sequence number. It skips entries that
// are expired or in the future according to now. Subscribers that were faster get the state too.
func (h *hub) restore(folder string, now time.Time) (uint64, error) {
	var newest softState
	var errs []error
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
			errs = append(errs, eris.Wrapf(err, "read earlier announcements from %s", name))
		} else if stored.Sequence >= newest.Sequence {
			newest = stored
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers.Restore(newest.Servers, now)
	for _, r := range newest.Placements {
		if age := now.Sub(r.ReceivedAt); r.Placement != nil && age >= 0 && age < placement.PromptLocationTTL {
			h.recentPlacements = append(h.recentPlacements, r)
		}
	}
	for _, r := range newest.Reports {
		if age := now.Sub(r.At); r.Report != nil && age >= 0 && age < reportTTL {
			h.recentReports = append(h.recentReports, r)
		}
	}
	for sub := range h.subscribers {
		h.enqueueState(sub)
		wake(sub.changed)
	}
	return newest.Sequence, errors.Join(errs...)
}
