package coordinator

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxReports limits the recent prompt reports, and those that wait for one gateway.
	maxReports = 256
	// reportTTL is how long prompt reports are kept for gateways that connect later.
	reportTTL = 10 * time.Minute
)

// recentReport is a prompt report and the time of its event. It is also stored in a file.
type recentReport struct {
	Report *wire.PromptReport `json:"report"`
	At     time.Time          `json:"at"`
}

// withAge returns the report with its age at the given time.
func (r recentReport) withAge(now time.Time) *wire.PromptReport {
	return &wire.PromptReport{
		Parts: r.Report.Parts, Engine: r.Report.Engine, StartedMs: r.Report.StartedMs, AgeMs: uint32(max(0, now.Sub(r.At).Milliseconds())),
	}
}

// replaces reports whether a report makes an earlier one superfluous: it repeats the end of an
// engine, or it is a later proof that the same parts are sound.
func replaces(report, earlier *wire.PromptReport) bool {
	return report.Engine == earlier.Engine && report.StartedMs == earlier.StartedMs && slices.Equal(report.Parts, earlier.Parts)
}

// addPromptReports keeps prompt reports for gateways that connect later and forwards them to all
// connected gateways.
func (h *hub) addPromptReports(reports []*wire.PromptReport, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, report := range reports {
		at := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
		h.recentReports = slices.DeleteFunc(h.recentReports, func(r recentReport) bool {
			return now.Sub(r.At) > reportTTL || replaces(report, r.Report)
		})
		h.recentReports = append(h.recentReports, recentReport{report, at})
		h.updates++
	}
	h.recentReports = slices.Delete(h.recentReports, 0, max(0, len(h.recentReports)-maxReports))
	for sub := range h.subscribers {
		if sub.isCoordinator {
			continue
		}
		sub.promptReports = append(sub.promptReports, reports...)
		sub.promptReports = slices.Delete(sub.promptReports, 0, max(0, len(sub.promptReports)-maxReports))
		wake(sub.changed)
	}
}

// drainPromptReports returns the queued prompt reports and empties the queue.
func (sub *subscriber) drainPromptReports() []*wire.PromptReport {
	sub.hub.mu.Lock()
	defer sub.hub.mu.Unlock()
	reports := sub.promptReports
	sub.promptReports = nil
	return reports
}
