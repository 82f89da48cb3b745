package placement

import "time"

const (
	// MemoryLife is how long a prompt is expected to stay in an engine's cache after its run
	// ended there.
	MemoryLife = 15 * time.Second
	// maxMemoryEntries is the maximum number of prompts that are recorded.
	maxMemoryEntries = 4096
)

// Memory records which engines have the prompt of a run cached. When a caller reconnects after
// its gateway failed or stopped, such an engine continues at once, while any other one repeats
// the prefill.
type Memory struct {
	entries map[string]memoryEntry
}

type memoryEntry struct {
	// prefillEngine did the prefill of the prompt, currentEngine executes the run.
	prefillEngine, currentEngine string
	recordedAt                   time.Time
}

// Note records the engine that a run was placed on. If that engine received the prompt as a copy,
// the engine that did the prefill stays recorded as well.
func (m *Memory) Note(subject, server string, copied bool, now time.Time) {
	if m.entries == nil {
		m.entries = map[string]memoryEntry{}
	}
	if len(m.entries) >= maxMemoryEntries {
		m.evictExpired(now)
	}
	e := memoryEntry{prefillEngine: server, currentEngine: server, recordedAt: now}
	if previous, ok := m.entries[subject]; copied && ok && now.Sub(previous.recordedAt) <= MemoryLife {
		e.prefillEngine = previous.prefillEngine
	}
	m.entries[subject] = e
}

// Current returns the engine that the run was last placed on, or an empty string if there is
// none.
func (m *Memory) Current(subject string) string { return m.entries[subject].currentEngine }

// evictExpired removes expired entries, or all entries if that frees no space.
func (m *Memory) evictExpired(now time.Time) {
	for subject, e := range m.entries {
		if now.Sub(e.recordedAt) > MemoryLife {
			delete(m.entries, subject)
		}
	}
	if len(m.entries) >= maxMemoryEntries {
		clear(m.entries)
	}
}

// Engines returns the engines that may have the prompt cached, the most likely first.
func (m *Memory) Engines(subject string, now time.Time) []string {
	e, ok := m.entries[subject]
	switch {
	case !ok || now.Sub(e.recordedAt) > MemoryLife:
		return nil
	case e.currentEngine == e.prefillEngine:
		return []string{e.currentEngine}
	}
	return []string{e.currentEngine, e.prefillEngine}
}
