package coordinator

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxReports limits the recent prompt reports, and those that wait for one gateway.
	maxReports = 256
	// reportTTL is how long prompt reports are kept for gateways that connect later.
	reportTTL = 10 * time.Minute
	// maxUncertainRate is the number of uncertain reports per second that are kept and forwarded, and
	// maxUncertainBurst that at once. When many engines end at the same moment, most runs at them are reported; they
	// count as one moment, however many there are.
	maxUncertainRate  = 20
	maxUncertainBurst = 40
	// maxUncertainReports limits the uncertain ones of the recent reports, and maxBareSoundReports the reports of sound runs
	// that add nothing to what is kept. All are sent to each gateway that connects.
	maxUncertainReports = 64
	maxBareSoundReports = 16
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
		Uncertain: r.Report.Uncertain, Repeated: r.Report.Repeated,
	}
}

// replaces reports whether a report makes an earlier one superfluous: it repeats the end of an
// engine, or it is a later proof that the same parts are sound. An engine may have ended twice before its new start is known.
func (r recentReport) replaces(earlier recentReport) bool {
	report := r.Report
	return report.Engine == earlier.Report.Engine && report.StartedMs == earlier.Report.StartedMs && slices.Equal(report.Parts, earlier.Report.Parts) &&
		(report.Engine == "" || quarantine.IsSameEnd(r.At, earlier.At) && (earlier.Report.Uncertain || !report.Uncertain))
}

// isUrgent reports whether gateways get a report at once. Uncertain evidence and sound runs, of which there are many when engines
// end at once, go with the next periodic event.
func isUrgent(report *wire.PromptReport) bool {
	return report.Engine != "" && (!report.Uncertain || report.Repeated)
}

// addPromptReports keeps prompt reports for gateways that connect later and forwards them to all
// connected gateways. It returns the number of those that it dropped.
func (h *hub) addPromptReports(received []*wire.PromptReport, now time.Time) (dropped int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reports := make([]*wire.PromptReport, 0, len(received))
	for _, report := range received {
		if report.Uncertain && !h.uncertainReports.AllowN(now, 1) {
			dropped++
			continue
		}
		reports = append(reports, report)
		added := recentReport{report, now.Add(-time.Duration(report.AgeMs) * time.Millisecond)}
		h.recentReports = slices.DeleteFunc(h.recentReports, func(r recentReport) bool {
			return now.Sub(r.At) > reportTTL || added.replaces(r)
		})
		h.recentReports = append(h.recentReports, added)
		h.updates++
	}
	h.recentReports = pruneReports(h.recentReports)
	for sub := range h.subscribers {
		if sub.isCoordinator {
			continue
		}
		sub.promptReports = append(sub.promptReports, reports...)
		sub.promptReports = slices.Delete(sub.promptReports, 0, max(0, len(sub.promptReports)-maxReports))
		if slices.ContainsFunc(reports, isUrgent) {
			wake(sub.changed)
		}
	}
	return dropped
}

// pruneReports returns the reports, in the order of their arrival, that tell something to a gateway which connects later. Uncertain
// evidence tells nothing once all its parts have proved sound.
func pruneReports(reports []recentReport) []recentReport {
	soundAt := map[string]time.Time{}
	for _, r := range reports {
		for _, part := range r.Report.Parts {
			if r.Report.Engine == "" && r.At.After(soundAt[part]) {
				soundAt[part] = r.At
			}
		}
	}
	reports = slices.DeleteFunc(reports, func(r recentReport) bool {
		return r.Report.Uncertain && !slices.ContainsFunc(r.Report.Parts, func(part string) bool { return !soundAt[part].After(r.At) })
	})
	firstEndAt, latestSound := map[string]time.Time{}, map[string]*wire.PromptReport{}
	for _, r := range reports {
		for _, part := range r.Report.Parts {
			if first, ok := firstEndAt[part]; r.Report.Engine != "" && (!ok || r.At.Before(first)) {
				firstEndAt[part] = r.At
			}
			if r.Report.Engine == "" && r.At.Equal(soundAt[part]) {
				latestSound[part] = r.Report
			}
		}
	}
	reports = dropOldest(reports, maxUncertainReports, func(r recentReport) bool { return r.Report.Uncertain })
	reports = dropOldest(reports, maxBareSoundReports, func(r recentReport) bool {
		return r.Report.Engine == "" && !slices.ContainsFunc(r.Report.Parts, func(part string) bool {
			first, ok := firstEndAt[part]
			return ok && first.Before(r.At) && latestSound[part] == r.Report
		})
	})
	return slices.Delete(reports, 0, max(0, len(reports)-maxReports))
}

// dropOldest removes the oldest of the reports that are of a kind until at most limit of them are left.
func dropOldest(reports []recentReport, limit int, isOfKind func(recentReport) bool) []recentReport {
	excess := -limit
	for _, r := range reports {
		if isOfKind(r) {
			excess++
		}
	}
	return slices.DeleteFunc(reports, func(r recentReport) bool {
		if excess <= 0 || !isOfKind(r) {
			return false
		}
		excess--
		return true
	})
}

// drainPromptReports returns the queued prompt reports and empties the queue.
func (sub *subscriber) drainPromptReports() []*wire.PromptReport {
	sub.hub.mu.Lock()
	defer sub.hub.mu.Unlock()
	reports := sub.promptReports
	sub.promptReports = nil
	return reports
}
