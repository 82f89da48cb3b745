package placement

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// readingCost is the price of a prompt that is being read, in running
	// streams: reading holds up the events of all streams beside it.
	readingCost = 3.0
	// copyCost is the price of a copy in running streams: it takes memory but no time.
	copyCost = 0.5
	// remoteEngineCost is the price of an engine in another data centre, in running
	// streams: links between data centres lose packets and are cut, and a burst of
	// prompts in one data centre still spreads over the others.
	remoteEngineCost = 2.0
	// farBackupCost is the price, in running streams, of a backup that a cut of
	// this data centre would take along with the engine.
	farBackupCost = 4.0
	// lossyCentreCost is the price, in running streams, of a backup in a data centre
	// of which an engine was lost just now.
	lossyCentreCost = 6.0
	// refusedCopyPause is how long an engine that had no room for a copy, or could
	// not be reached by another engine, gets no copies.
	refusedCopyPause = time.Second
	// fullCost puts engines without room behind all others.
	fullCost = 100.0
	// memoryReserve is the share of an engine's memory that stays free of this
	// gateway's runs, for those of other gateways and for cached prompts.
	memoryReserve = 0.1
	// runLife is how long a run of another gateway is assumed to last, the usual
	// length of a stream, and readingLife how long its prompt is being read.
	runLife     = 7 * time.Second
	readingLife = 1200 * time.Millisecond
	// maxElsewhere bounds the runs of other gateways that are remembered.
	maxElsewhere = 64
	// reportedLife is how long the load that an engine reported is used; engines
	// tell it with the first event of a run.
	reportedLife = 2 * time.Second
)

// Run describes a generation that needs an engine.
type Run struct {
	// Tokens is the memory that the run needs at its end.
	Tokens int
	// Memory is the memory of one engine in tokens, 0 if it is unknown.
	Memory int
	// Exclude lists the engines that must not be used.
	Exclude []string
	// Prefer are the engines that may have the prompt in their memory, the likeliest first.
	Prefer []string
	// AwayFrom is the data centre of the engine, where a backup is of no use.
	AwayFrom string
}

// Engine chooses the engine for a run: the one with the fewest streams, prompts
// being read counted threefold, preferably in this data centre. It answers bursts
// of prompts, which would otherwise be read one after the other on one engine, and
// returns nil if no engine takes work.
func (p *Pool) Engine(now time.Time, r Run) *Server {
	for _, id := range r.Prefer {
		if s := p.servers[id]; s != nil && s.State == directory.Ready && !p.avoided(s, now) &&
			!slices.Contains(r.Exclude, id) && fitsOwn(s, r) {
			return s
		}
	}
	return p.cheapest(p.ready(now, r.Exclude), func(s *Server) float64 {
		cost := p.engineCost(s, now, r)
		if s.DataCentre != p.dataCentre {
			cost += remoteEngineCost
		}
		return cost
	})
}

// Backup chooses the engine that keeps a copy of a run's memory: in another data
// centre, because the engines of one die together. For an engine elsewhere it is
// preferably one of the gateway's own data centre, so that the run goes on when
// that one is cut off. It returns nil if no engine has room, as far as this
// gateway knows.
func (p *Pool) Backup(now time.Time, r Run) *Server {
	candidates := p.ready(now, r.Exclude)
	kept := candidates[:0]
	for _, s := range candidates {
		if s.DataCentre != r.AwayFrom && !p.avoided(s, now) && !now.Before(s.noCopiesUntil) && fits(s, now, r) {
			kept = append(kept, s)
		}
	}
	return p.cheapest(kept, func(s *Server) float64 {
		cost := p.engineCost(s, now, r)
		if r.AwayFrom != p.dataCentre && s.DataCentre != p.dataCentre {
			cost += farBackupCost
		}
		if p.lossyCentre(s.DataCentre, now) {
			cost += lossyCentreCost
		}
		return cost
	})
}

// Placement tells on which engine a run is. Gateways tell each other.
type Placement struct {
	// Subject is the part of the prompt that belongs to the run or its session alone.
	Subject string
	// Server is the engine, Backup the one that receives a copy, empty if none does.
	Server, Backup string
	// Copied tells that the engine got the prompt as a copy and does not read it.
	Copied bool
	// Age is the time since the run was placed.
	Age time.Duration
}

// CopyRefused notes that an engine took no copy.
func (p *Pool) CopyRefused(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.noCopiesUntil = now.Add(refusedCopyPause)
	}
}

// elsewhere is a run that another gateway placed on an engine, or its copy.
type elsewhere struct {
	subject string
	at      time.Time
	// backup is the engine with the copy.
	backup       string
	copy, copied bool
}

// PlacedElsewhere notes a run that another gateway placed on an engine, and that
// it left the engine where it was before, empty if none is known. It answers
// bursts in which every gateway would choose the same engines.
func (p *Pool) PlacedElsewhere(previous string, pl Placement, now time.Time) {
	at := now.Add(-pl.Age)
	backup, found := p.forgetElsewhere(previous, pl.Subject)
	if found {
		p.forgetElsewhere(backup, pl.Subject)
	} else if previous == pl.Server {
		// A placement of this gateway comes back.
		return
	}
	p.noteElsewhere(pl.Server, elsewhere{subject: pl.Subject, at: at, backup: pl.Backup, copied: pl.Copied})
	p.noteElsewhere(pl.Backup, elsewhere{subject: pl.Subject, at: at, copy: true})
	if s := p.servers[pl.Server]; s != nil && !pl.Copied {
		s.noteReading(at)
	}
}

// forgetElsewhere removes a run from an engine and returns where its copy is.
func (p *Pool) forgetElsewhere(id, subject string) (backup string, found bool) {
	s := p.servers[id]
	if s == nil {
		return "", false
	}
	for i, e := range s.elsewhere {
		if e.subject == subject {
			s.elsewhere = slices.Delete(s.elsewhere, i, i+1)
			return e.backup, true
		}
	}
	return "", false
}

func (p *Pool) noteElsewhere(id string, e elsewhere) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.elsewhere = append(s.elsewhere, e)
	s.elsewhere = slices.Delete(s.elsewhere, 0, max(0, len(s.elsewhere)-maxElsewhere))
}

// othersUse returns the runs of other gateways on an engine, how many of them are
// reading their prompt, and the copies there, as far as is known.
func (s *Server) othersUse(now time.Time) (running, reading, copies int) {
	for _, e := range s.elsewhere {
		age := now.Sub(e.at)
		switch {
		case age >= runLife:
		case e.copy:
			copies++
		default:
			running++
			if age < readingLife && !e.copied {
				reading++
			}
		}
	}
	return running, reading, copies
}

// fitsOwn tells whether an engine that has the prompt has room beside this
// gateway's own runs. Runs of other gateways do not count: the one that comes back
// is among them.
func fitsOwn(s *Server, r Run) bool {
	free := float64(r.Memory)*(1-memoryReserve) - float64(s.Tokens+s.Copies)
	return r.Memory == 0 || free >= float64(r.Tokens)
}

func fits(s *Server, now time.Time, r Run) bool {
	running, _, copies := s.othersUse(now)
	free := float64(r.Memory)*(1-memoryReserve) - float64(s.Tokens+s.Copies+(running+copies)*r.Tokens)
	return r.Memory == 0 || free >= float64(r.Tokens)
}

func (p *Pool) engineCost(s *Server, now time.Time, r Run) float64 {
	others, reading, copies := s.othersUse(now)
	running := float64(s.Inflight + others)
	if now.Sub(s.loadAt) < reportedLife {
		running = max(running, float64(s.load.Running+s.load.Waiting))
	}
	cost := running + readingCost*float64(s.Reading+reading)
	if r.Tokens > 0 {
		cost += copyCost * (float64(s.Copies)/float64(r.Tokens) + float64(copies))
	}
	if !fits(s, now, r) {
		cost += fullCost
	}
	return cost * (1 + s.failures)
}

// Reserve notes the memory of a run and of its copy; a negative number gives it back.
func (p *Pool) Reserve(id string, tokens, copies, reading int) {
	if s := p.servers[id]; s != nil {
		s.Tokens = max(0, s.Tokens+tokens)
		s.Copies = max(0, s.Copies+copies)
		s.Reading = max(0, s.Reading+reading)
	}
}
