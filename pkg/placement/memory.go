package placement

import "time"

const (
	// MemoryLife is how long a prompt is expected to stay in the memory of an
	// engine after its run ended there.
	MemoryLife = 15 * time.Second
	// memoryEntries bounds the prompts that are remembered.
	memoryEntries = 4096
)

// Memory remembers which engine read the prompt of a run. It answers callers that
// come back after their gateway failed or stopped: an engine that has the prompt
// in its memory goes on at once, any other one reads it again.
type Memory struct {
	entries map[string]memoryEntry
}

type memoryEntry struct {
	server string
	at     time.Time
}

// Note remembers the engine of a prompt's own part.
func (m *Memory) Note(subject, server string, now time.Time) {
	if m.entries == nil {
		m.entries = map[string]memoryEntry{}
	}
	if len(m.entries) >= memoryEntries {
		m.sweep(now)
	}
	m.entries[subject] = memoryEntry{server: server, at: now}
}

// sweep drops what has expired, and everything if that is not enough.
func (m *Memory) sweep(now time.Time) {
	for subject, e := range m.entries {
		if now.Sub(e.at) > MemoryLife {
			delete(m.entries, subject)
		}
	}
	if len(m.entries) >= memoryEntries {
		clear(m.entries)
	}
}

// Engine returns the engine that may have the prompt, empty if none is known.
func (m *Memory) Engine(subject string, now time.Time) string {
	if e, ok := m.entries[subject]; ok && now.Sub(e.at) <= MemoryLife {
		return e.server
	}
	return ""
}
