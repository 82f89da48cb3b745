package pace

import (
	"container/list"
	"hash/maphash"
	"math"
	"time"
)

const (
	// entryPoints is the number of samples that the table keeps of a process. With a stream at an engine from
	// four gateways, they cover about 4 s.
	entryPoints = 24
	// entryTTL is the time after which a process without a sample is removed.
	entryTTL = time.Minute
	// maxEntries bounds the table, above the 11,000 servers that a deployment may have.
	maxEntries = 20_000
	// expireSteps bounds the entries that are checked with each report.
	expireSteps = 32
	// publishChange is the change of a logarithm from which an entry is sent again, and publishInterval the
	// time after which it is in any case, as its weight decays at the gateways.
	publishChange   = 0.1
	publishInterval = 3 * time.Second
	// maxSharedWeight bounds the weight of a shared estimate, so that an own sample that differs still counts.
	maxSharedWeight = 6
	// mergeWithin is the period within which pending samples of one process are merged.
	mergeWithin = bucketLength
	// maxPending bounds the samples that wait to be sent. A gateway with six streams has about 40 in 2 s.
	maxPending = 120
)

// Process identifies a process of a server.
type Process struct {
	ID string
	// StartedMS is the start time of the process in Unix milliseconds.
	StartedMS int64
}

// Sample is a sample of the pace of a process.
type Sample struct {
	Process Process
	// Log is the logarithm of the pace, and Weight at most 1.
	Log, Weight float64
	// At is when it was taken.
	At time.Time
}

// Pending holds the samples that a gateway has not sent yet.
type Pending struct{ samples []Sample }

// Add adds a sample. If there are too many, the oldest are dropped.
func (p *Pending) Add(s Sample) {
	if s.Weight <= 0 {
		return
	}
	for i := len(p.samples) - 1; i >= 0 && s.At.Sub(p.samples[i].At) < mergeWithin; i-- {
		if other := &p.samples[i]; other.Process == s.Process {
			other.Weight += s.Weight
			other.Log += (s.Log - other.Log) * s.Weight / other.Weight
			return
		}
	}
	if len(p.samples) >= maxPending {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, s)
}

// Take returns the samples and removes them.
func (p *Pending) Take() []Sample {
	taken := p.samples
	p.samples = nil
	return taken
}

// Entry is the estimate of one process from the samples of all gateways.
type Entry struct {
	Process Process
	// Log is the logarithm of the pace, and Weight that of its samples at this time.
	Log, Weight float64
	// Samples is the number of samples, and Gateways that of the gateways that took them.
	Samples, Gateways int
}

// Table merges the samples of all gateways that report to one coordinator. It is soft state: it begins empty after
// a restart and is filled by the next samples. It is not safe for concurrent use.
type Table struct {
	seed    maphash.Seed
	entries map[string]*tableEntry
	// order holds the entries by the version of their last publication, the latest last.
	order   *list.List
	version uint64
}

// tableEntry holds the latest samples of a process.
type tableEntry struct {
	process Process
	points  [entryPoints]tablePoint
	n, next int
	// published is the logarithm that was last published, in version, at publishedAt.
	published   float64
	version     uint64
	publishedAt time.Time
	sampledAt   time.Time
	element     *list.Element
}

type tablePoint struct {
	log, weight float64
	at          time.Time
	gateway     uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{seed: maphash.MakeSeed(), entries: map[string]*tableEntry{}, order: list.New()}
}

// Len returns the number of processes in the table.
func (t *Table) Len() int { return len(t.entries) }

// Record records samples of a gateway. Samples of an earlier process of a server are ignored, and those of a later
// one replace what is known.
func (t *Table) Record(gateway string, samples []Sample, now time.Time) {
	t.expire(now)
	from := maphash.String(t.seed, gateway)
	for _, s := range samples {
		if !(s.Weight > 0) || math.IsNaN(s.Log) || now.Sub(s.At) >= bucketTTL || s.Process.ID == "" {
			continue
		}
		e := t.entries[s.Process.ID]
		if e != nil && e.process.StartedMS > s.Process.StartedMS {
			continue
		}
		if e == nil || e.process.StartedMS < s.Process.StartedMS {
			if e == nil && len(t.entries) >= maxEntries {
				continue
			}
			if e != nil {
				t.order.Remove(e.element)
			}
			e = &tableEntry{process: s.Process}
			e.element = t.order.PushBack(e)
			t.entries[s.Process.ID] = e
		}
		e.points[e.next] = tablePoint{max(-maxLog, min(maxLog, s.Log)), min(1, s.Weight), s.At, from}
		e.next = (e.next + 1) % entryPoints
		e.n = min(entryPoints, e.n+1)
		e.sampledAt = now
		t.publish(e, now)
	}
}

// publish gives an entry a new version if it has changed.
func (t *Table) publish(e *tableEntry, now time.Time) {
	current := e.entry(now)
	if e.version > 0 && math.Abs(current.Log-e.published) < publishChange {
		// An engine of the usual pace counts as usual without an estimate too.
		isUsual := max(math.Abs(current.Log), math.Abs(e.published)) < evenWidth
		if isUsual || now.Sub(e.publishedAt) < publishInterval {
			return
		}
	}
	t.version++
	e.published, e.version, e.publishedAt = current.Log, t.version, now
	t.order.MoveToBack(e.element)
}

// expire removes entries without samples. It looks at those that were published first, at most expireSteps of them,
// and publishes those again that have samples.
func (t *Table) expire(now time.Time) {
	for front, steps := t.order.Front(), 0; front != nil && steps < expireSteps; steps++ {
		next := front.Next()
		if e := front.Value.(*tableEntry); now.Sub(e.sampledAt) >= entryTTL {
			t.order.Remove(front)
			delete(t.entries, e.process.ID)
		} else if now.Sub(e.publishedAt) >= entryTTL {
			t.version++
			e.version, e.publishedAt = t.version, now
			t.order.MoveToBack(front)
		} else {
			return
		}
		front = next
	}
}

// entry computes the estimate from the samples.
func (e *tableEntry) entry(now time.Time) Entry {
	var buffer [entryPoints]point
	var gateways [entryPoints]uint64
	points, total, distinct := buffer[:0], 0.0, 0
	result := Entry{Process: e.process}
	for i := range e.n {
		p := &e.points[i]
		age := now.Sub(p.at)
		if age >= bucketTTL {
			continue
		}
		w := p.weight * decay(age)
		points, total = insert(points, point{p.log, w}), total+w
		result.Samples++
		known := false
		for _, other := range gateways[:distinct] {
			known = known || other == p.gateway
		}
		if !known {
			gateways[distinct] = p.gateway
			distinct++
		}
	}
	result.Log, result.Weight, result.Gateways = quantile(points, middleQuantile, total), min(maxSharedWeight, total), distinct
	return result
}

// Changes returns at most limit entries that were published after a version, the earliest first, and the version
// that they bring a gateway to.
func (t *Table) Changes(since uint64, limit int, now time.Time) ([]Entry, uint64) {
	if since > t.version {
		since = 0
	}
	first := t.order.Back()
	for first != nil && first.Prev() != nil && first.Prev().Value.(*tableEntry).version > since {
		first = first.Prev()
	}
	var changes []Entry
	upTo := since
	for ; first != nil && len(changes) < limit; first = first.Next() {
		if e := first.Value.(*tableEntry); e.version > since {
			changes = append(changes, e.entry(now))
			upTo = e.version
		}
	}
	return changes, upTo
}
