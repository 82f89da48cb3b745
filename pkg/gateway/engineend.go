package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
)

// maxRunsPerEnd bounds the runs of one ended engine that a gateway reports.
const maxRunsPerEnd = 4

// endTTL is how long after a run broke off the news that its engine had ended confirm that the run met
// this end.
const endTTL = 5 * time.Second

// endProbeDelays are the waits before further attempts to find that an engine refuses connections. Its listening
// socket may be closed some time after its connections, or a supervisor may start it again meanwhile.
var endProbeDelays = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond}

// engineEnds counts the engines that ended under the attempts of one request.
type engineEnds struct {
	// all includes those with uncertain evidence (see quarantine.Report), certain does not.
	all, certain atomic.Int32
}

// brokenRun is a run that its engine broke off before the prompt had proved sound.
type brokenRun struct {
	requestID string
	parts     []string
	uncertain bool
	at        time.Time
	ends      *engineEnds
}

// endWatch watches an engine that broke off runs. An engine that only closes connections goes on running; these runs are
// evidence only if the process has ended.
type endWatch struct {
	// since is when the first run broke off.
	since time.Time
	// confirmed means that the process has ended.
	confirmed bool
	// runs are the runs that were broken off, without uncertain ones whose parts another one has too.
	runs []brokenRun
}

// add adds a run and reports whether it adds evidence.
func (w *endWatch) add(run brokenRun) bool {
	if run.uncertain && (len(w.runs) >= maxRunsPerEnd || slices.ContainsFunc(w.runs, func(r brokenRun) bool { return slices.Equal(r.parts, run.parts) })) {
		return false
	}
	w.runs = append(w.runs, run)
	return true
}

// isBrokenOff reports whether the error of an attempt may be due to the end of the server's process.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordEngineEnd records the end of an attempt with err. If the engine has ended under the run, this is reported, at
// once or when it becomes known.
func (s *streamState) recordEngineEnd(engine *placement.Server, err error) {
	writing := s.writingTime()
	if s.ctx.Err() != nil || writing >= soundAfter {
		return
	}
	s.g.recordBrokenRun(s.ctx, engine, err, brokenRun{
		requestID: s.req.fields.ID, parts: s.req.fields.SuspectParts(), uncertain: !s.headReceived || writing >= beginWindow, at: time.Now(), ends: &s.ends,
	})
}

// recordBrokenRun records a run that ended with err, and finds out whether its engine has ended.
func (g *Gateway) recordBrokenRun(ctx context.Context, engine *placement.Server, err error, run brokenRun) {
	if !isBrokenOff(err) || run.uncertain && len(run.parts) == 0 {
		return
	}
	process := engine.Process()
	g.mu.Lock()
	// What an engine leaves unfinished that had announced its end says nothing about prompts.
	if known, ok := g.servers.Lookup(engine.ID); run.uncertain && ok && known.State != directory.Ready && known.StartedMS == engine.StartedMS {
		g.mu.Unlock()
		return
	}
	watch := g.endWatches[process]
	isNew := watch == nil || !quarantine.IsSameEnd(watch.since, run.at)
	if isNew {
		watch = &endWatch{since: run.at}
		g.endWatches[process] = watch
	}
	confirmed := watch.confirmed
	if watch.add(run) && confirmed {
		g.reportBrokenRun(process, run)
	}
	g.mu.Unlock()
	if confirmed {
		return
	}
	if g.client.Refuses(ctx, engine.Address) {
		g.mu.Lock()
		g.confirmEnd(process, watch)
		g.mu.Unlock()
	} else if isNew {
		go g.watchEnd(process, engine.Address, watch)
	}
	if isNew {
		time.AfterFunc(endTTL, func() { g.forgetEnd(process, watch) })
	}
}

// watchEnd tries to find that an engine which broke off a run refuses connections.
func (g *Gateway) watchEnd(process placement.Process, address string, watch *endWatch) {
	for _, delay := range endProbeDelays {
		if !sleepContext(g.requestsEnded, delay) {
			return
		}
		g.mu.Lock()
		confirmed := watch.confirmed
		g.mu.Unlock()
		if confirmed {
			return
		}
		if g.client.Refuses(g.requestsEnded, address) {
			g.mu.Lock()
			g.confirmEnd(process, watch)
			g.mu.Unlock()
			return
		}
	}
}

// forgetEnd ends the watch of an engine that broke off runs.
func (g *Gateway) forgetEnd(process placement.Process, watch *endWatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endWatches[process] == watch {
		delete(g.endWatches, process)
	}
}

// recordReplacedProcess confirms the end of a process in whose place another one has started; g.mu is held.
func (g *Gateway) recordReplacedProcess(server directory.Server) {
	process := placement.Process{ID: server.ID, StartedMS: server.StartedMS}
	if watch := g.endWatches[process]; watch != nil {
		g.confirmEnd(process, watch)
	}
}

// confirmEnd reports the runs that an engine broke off as it ended; g.mu is held.
func (g *Gateway) confirmEnd(process placement.Process, watch *endWatch) {
	if watch.confirmed {
		return
	}
	watch.confirmed = true
	for _, run := range watch.runs {
		g.reportBrokenRun(process, run)
	}
}

// reportBrokenRun reports an engine that ended under a run; g.mu is held.
func (g *Gateway) reportBrokenRun(process placement.Process, run brokenRun) {
	endsBefore := run.ends.all.Add(1) - 1
	if !run.uncertain {
		run.ends.certain.Add(1)
	}
	report := quarantine.Report{
		Parts: run.parts, Engine: process.ID, StartedMS: process.StartedMS, Uncertain: run.uncertain, Repeated: endsBefore > 0, Age: time.Since(run.at),
	}
	g.log.Warn("engine ended under a run", "request", run.requestID, "engine", process.ID, "started_ms", process.StartedMS,
		"shared_parts", report.Parts, "uncertain", report.Uncertain, "engines_ended", endsBefore+1, "known_after_ms", report.Age.Milliseconds())
	if len(report.Parts) == 0 {
		return
	}
	isCommon := g.quarantine.IsCommon(report.Parts, time.Now())
	g.recordPromptReport(report)
	// When many engines end at once, nearly all runs at them have common parts.
	if report.Uncertain && !report.Repeated && isCommon {
		return
	}
	g.coordinators.ReportPrompt(report)
}
