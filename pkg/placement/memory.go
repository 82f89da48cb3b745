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
	// reader read the prompt at a time, current has the run.
	reader, current string
	at              time.Time
}

// Note remembers the engine of a prompt's own part, beside the one that read it if
// this one got it as a copy.
func (m *Memory) Note(subject, server string, copied bool, now time.Time) {
	if m.entries == nil {
		m.entries = map[string]memoryEntry{}
	}
	if len(m.entries) >= memoryEntries {
		m.sweep(now)
	}
	e := memoryEntry{reader: server, current: server, at: now}
	if old, ok := m.entries[subject]; copied && ok && now.Sub(old.at) <= MemoryLife {
		e.reader = old.reader
	}
	m.entries[subject] = e
}

// Current returns the engine that got the run last, empty if none is known.
func (m *Memory) Current(subject string) string { return m.entries[subject].current }

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

// Engines returns the engines that may have the prompt, the likeliest first.
func (m *Memory) Engines(subject string, now time.Time) []string {
	e, ok := m.entries[subject]
	switch {
	case !ok || now.Sub(e.at) > MemoryLife:
		return nil
	case e.current == e.reader:
		return []string{e.current}
	}
	return []string{e.current, e.reader}
}
