package placement

import (
	"slices"
	"time"
)

const (
	// prefillCost is the cost of a prompt in prefill, in running streams: prefill delays the
	// events of all other streams on the engine.
	prefillCost = 3.0
	// copyCost is the cost of a copy of a run, in running streams: a copy uses memory but no computing
	// time.
	copyCost = 0.5
	// remoteEngineCost is the cost of an engine in another data centre, in running streams. Links
	// between data centres lose packets and can be cut. The cost is low enough that a burst of
	// prompts in one data centre still spreads over the others.
	remoteEngineCost = 2.0
	// remoteBackupCost is the cost, in running streams, of a backup outside the gateway's data
	// centre when the engine is outside it too: one partition of this data centre would cut off
	// both.
	remoteBackupCost = 4.0
	// recentUnreachableCost is the cost, in running streams, of a backup in a data centre in which
	// an engine has just become unreachable.
	recentUnreachableCost = 6.0
	// copyRefusalBackoff is how long an engine receives no copies after it had no room for one or
	// could not be reached by another engine.
	copyRefusalBackoff = time.Second
	// noCapacityCost is the cost, in running streams, of an engine without free memory. It puts
	// such engines behind all others.
	noCapacityCost = 100.0
	// memoryReserveShare is the share of an engine's memory that this gateway leaves free for the
	// runs of other gateways and for cached prompts.
	memoryReserveShare = 0.1
	// peerRunTTL is how long a run of another gateway is assumed to last at an engine of the usual pace,
	// which is the usual length of a stream. prefillDuration is the assumed duration of a prompt's prefill
	// there.
	peerRunTTL      = 7 * time.Second
	prefillDuration = 1200 * time.Millisecond
	// maxPeerRuns is the maximum number of runs of other gateways that are recorded per engine.
	maxPeerRuns = 64
	// engineLoadTTL is the maximum age of a load report that is used to choose an engine. Engines
	// report their load with the first event of a run.
	engineLoadTTL = 2 * time.Second
)

// Run describes a generation request for which an engine is selected.
type Run struct {
	// Tokens is the memory that the run needs when it is complete, in tokens.
	Tokens int
	// EngineMemoryTokens is the memory capacity of one engine in tokens, or 0 if unknown.
	EngineMemoryTokens int
	// Exclude lists the engines that must not be selected.
	Exclude []string
	// Prefer lists the engines that may have the prompt cached, the most likely first.
	Prefer []string
	// EngineDataCentre is the data centre of the run's engine. SelectBackup selects no engine
	// there.
	EngineDataCentre string
}

// SelectEngine selects the engine for a run: a preferred engine that has room, otherwise the one
// with the lowest cost. Streams count once, prompts in prefill prefillCost times, both by the pace of the
// engine, and engines in other data centres cost more. This spreads a burst of prompts, whose prefills would otherwise run
// one after the other on one engine. It returns nil if no engine accepts work.
func (p *Pool) SelectEngine(now time.Time, r Run) *Server {
	if s := p.SelectCachingEngine(now, r); s != nil {
		return s
	}
	return p.selectCheapest(p.candidates(now, r.Exclude), func(s *Server) float64 { return p.placementCost(s, now, r) })
}

// placementCost returns the cost of an engine for a run whose prompt it prefills.
func (p *Pool) placementCost(s *Server, now time.Time, r Run) float64 {
	cost := p.engineCost(s, now, r)
	if s.DataCentre != p.dataCentre {
		cost += remoteEngineCost
	}
	return cost
}

// SelectBackup selects the engine that stores a copy of a run's memory. It is in another data centre
// than the run's engine, because the engines of one data centre often fail together. If the run's
// engine is remote, engines in the gateway's own data centre are preferred, so that the run can
// continue when the data centre is partitioned. SelectBackup returns nil if no engine is known
// to have room.
func (p *Pool) SelectBackup(now time.Time, r Run) *Server {
	// A copy is no request: the limit of a server does not count.
	candidates := p.preferHealthy(now, func(s *Server) bool { return p.acceptsWork(s, r.Exclude) && !s.isPaused(now) })
	eligible := candidates[:0]
	for _, s := range candidates {
		if s.DataCentre != r.EngineDataCentre && !p.isAvoided(s, now) && !now.Before(s.copyBackoffUntil) && hasRoom(s, now, r) {
			eligible = append(eligible, s)
		}
	}
	return p.selectCheapest(eligible, func(s *Server) float64 {
		cost := p.engineCost(s, now, r)
		if r.EngineDataCentre != p.dataCentre && s.DataCentre != p.dataCentre {
			cost += remoteBackupCost
		}
		if p.hasRecentUnreachable(s.DataCentre, now) {
			cost += recentUnreachableCost
		}
		return cost
	})
}

// Placement describes which engine executes a run. Gateways send placements to each other.
type Placement struct {
	// Subject is the part of the prompt that only this run or its session has.
	Subject string
	// Server is the engine that executes the run. Backup is the engine that receives a copy, or
	// empty if there is none.
	Server, Backup string
	// PromptCopied is true if the engine received the prompt as a copy and skips prefill.
	PromptCopied bool
	// Age is the time since the run was placed.
	Age time.Duration
}

// RecordCopyRefusal records that an engine refused a copy. It receives no more copies for
// copyRefusalBackoff.
func (p *Pool) RecordCopyRefusal(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.copyBackoffUntil = now.Add(copyRefusalBackoff)
	}
}

// peerRun is a run, or the copy of a run, that another gateway placed on an engine.
type peerRun struct {
	subject  string
	placedAt time.Time
	// backup is the engine that stores the copy of the run.
	backup               string
	isCopy, promptCopied bool
}

// RecordPeerPlacement records a run that another gateway placed on an engine. It removes the run
// from previous, the engine that executed it before; previous is empty if that is unknown.
// Without these records, all gateways would select the same engines during a burst.
func (p *Pool) RecordPeerPlacement(previous string, placed Placement, now time.Time) {
	placedAt := now.Add(-placed.Age)
	backup, removed := p.removePeerRun(previous, placed.Subject)
	if removed {
		p.removePeerRun(backup, placed.Subject)
	} else if previous == placed.Server {
		// This gateway's own placement was sent back to it.
		return
	}
	p.addPeerRun(placed.Server, peerRun{subject: placed.Subject, placedAt: placedAt, backup: placed.Backup, promptCopied: placed.PromptCopied})
	p.addPeerRun(placed.Backup, peerRun{subject: placed.Subject, placedAt: placedAt, isCopy: true})
	if s := p.servers[placed.Server]; s != nil && !placed.PromptCopied {
		s.recordPrefill(placedAt)
	}
}

// removePeerRun removes a run from an engine and returns the engine that stores its copy.
func (p *Pool) removePeerRun(id, subject string) (backup string, removed bool) {
	s := p.servers[id]
	if s == nil {
		return "", false
	}
	for i, run := range s.peerRuns {
		if run.subject == subject {
			s.peerRuns = slices.Delete(s.peerRuns, i, i+1)
			return run.backup, true
		}
	}
	return "", false
}

func (p *Pool) addPeerRun(id string, run peerRun) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.peerRuns = append(s.peerRuns, run)
	s.peerRuns = slices.Delete(s.peerRuns, 0, max(0, len(s.peerRuns)-maxPeerRuns))
}

// peerRunCounts returns the number of unexpired runs of other gateways on an engine, how many of
// them are in prefill, and the number of copies on it.
func (s *Server) peerRunCounts(now time.Time) (running, prefilling, copies int) {
	if len(s.peerRuns) == 0 {
		return 0, 0, 0
	}
	ttl, prefill := scaled(peerRunTTL, s.relativePace(now)), s.assumedPrefill(now)
	for _, run := range s.peerRuns {
		age := now.Sub(run.placedAt)
		switch {
		case age >= ttl:
		case run.isCopy:
			copies++
		default:
			running++
			if age < prefill && !run.promptCopied {
				prefilling++
			}
		}
	}
	return running, prefilling, copies
}

// hasLocalRoom reports whether an engine that has the prompt cached has room for the run,
// counting only this gateway's runs. Runs of other gateways are ignored because the returning run
// may be recorded as one of them.
func hasLocalRoom(s *Server, r Run) bool {
	free := float64(r.EngineMemoryTokens)*(1-memoryReserveShare) - float64(s.RunTokens+s.CopyTokens)
	return r.EngineMemoryTokens == 0 || free >= float64(r.Tokens)
}

// hasRoom reports whether an engine has room for the run beside the runs and copies of all
// gateways. It assumes that each run of another gateway needs as much memory as r.
func hasRoom(s *Server, now time.Time, r Run) bool {
	running, _, peerCopies := s.peerRunCounts(now)
	free := float64(r.EngineMemoryTokens)*(1-memoryReserveShare) - float64(s.RunTokens+s.CopyTokens+(running+peerCopies)*r.Tokens)
	return r.EngineMemoryTokens == 0 || free >= float64(r.Tokens)
}

func (p *Pool) engineCost(s *Server, now time.Time, r Run) float64 {
	peerRunning, peerPrefills, peerCopies := s.peerRunCounts(now)
	running := float64(s.Inflight + peerRunning)
	if now.Sub(s.loadReportedAt) < engineLoadTTL {
		running = max(running, float64(s.lastLoad.Running+s.lastLoad.Waiting))
	}
	cost := pacedCost(running+prefillCost*float64(s.Prefilling+peerPrefills), s.relativePace(now))
	if r.Tokens > 0 {
		cost += copyCost * (float64(s.CopyTokens)/float64(r.Tokens) + float64(peerCopies))
	}
	if !hasRoom(s, now, r) {
		cost += noCapacityCost
	}
	return withFailures(cost, s.failureRate)
}

// Reserve adds the memory of runs and of copies, in tokens, and the number of runs in prefill to
// what this gateway uses on a server. Negative values release them.
func (p *Pool) Reserve(id string, tokens, copyTokens, prefills int) {
	if s := p.servers[id]; s != nil {
		s.RunTokens = max(0, s.RunTokens+tokens)
		s.CopyTokens = max(0, s.CopyTokens+copyTokens)
		s.Prefilling = max(0, s.Prefilling+prefills)
	}
}
