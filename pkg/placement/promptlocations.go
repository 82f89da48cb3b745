package placement

import "time"

const (
	// PromptLocationTTL is how long a prompt is expected to stay in an engine's cache after its run
	// ended there.
	PromptLocationTTL = 15 * time.Second
	// maxPromptLocations is the maximum number of prompts that are recorded.
	maxPromptLocations = 4096
)

// PromptLocations records which engines have the prompt of a run cached. When a caller reconnects
// after its gateway failed or stopped, such an engine continues at once, while any other one
// repeats the prefill.
type PromptLocations struct {
	entries map[string]promptLocation
}

type promptLocation struct {
	// prefillEngine did the prefill of the prompt, currentEngine executes the run.
	prefillEngine, currentEngine string
	recordedAt                   time.Time
}

// Record records the engine that a run was placed on. If that engine received the prompt as a copy,
// the engine that did the prefill stays recorded as well.
func (m *PromptLocations) Record(subject, server string, copied bool, now time.Time) {
	if m.entries == nil {
		m.entries = map[string]promptLocation{}
	}
	if len(m.entries) >= maxPromptLocations {
		m.evictExpired(now)
	}
	e := promptLocation{prefillEngine: server, currentEngine: server, recordedAt: now}
	if previous, ok := m.entries[subject]; copied && ok && now.Sub(previous.recordedAt) <= PromptLocationTTL {
		e.prefillEngine = previous.prefillEngine
	}
	m.entries[subject] = e
}

// CurrentEngine returns the engine that the run was last placed on, or an empty string if there is
// none.
func (m *PromptLocations) CurrentEngine(subject string) string {
	return m.entries[subject].currentEngine
}

// evictExpired removes expired entries, or all entries if that frees no space.
func (m *PromptLocations) evictExpired(now time.Time) {
	for subject, e := range m.entries {
		if now.Sub(e.recordedAt) > PromptLocationTTL {
			delete(m.entries, subject)
		}
	}
	if len(m.entries) >= maxPromptLocations {
		clear(m.entries)
	}
}

// CandidateEngines returns the engines that may have the prompt cached, the most likely first.
func (m *PromptLocations) CandidateEngines(subject string, now time.Time) []string {
	e, ok := m.entries[subject]
	switch {
	case !ok || now.Sub(e.recordedAt) > PromptLocationTTL:
		return nil
	case e.currentEngine == e.prefillEngine:
		return []string{e.currentEngine}
	}
	return []string{e.currentEngine, e.prefillEngine}
}
