// Command case-5 sends streams of which some are preempted at an engine that goes on when a channel closes.
package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/review/rig"
)

const config = `{"version":1,"routes":[{"name":"r-lot","host":"shop.example","pathPrefix":"/lot/","type":"stream","timeoutMs":25000,"sloMs":10000,"priority":2,"service":"pool","maxAttempts":5,"public":true,"sticky":true,"resumable":true,"itlTargetMs":700}],"services":[{"name":"pool","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":88000,"kvBytes":18432,"linkMbps":88000.0,"moves":true,"backups":true,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":4.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

const (
	engines = 6
	// staying is the number of engines that go on with a run whose channel was closed; most drop it.
	staying       = 1
	events        = 100
	eventInterval = 30 * time.Millisecond
	prefill       = 300 * time.Millisecond
	// preemptedFor is the time in which a prompt of 8,000 tokens is read in again, at 8 tokens a millisecond.
	preemptedFor = time.Second
	// One stream in preemptEvery is preempted, after its event preemptAfter.
	preemptEvery, preemptAfter = 10, 20
	streams                    = 200
	streamInterval             = 150 * time.Millisecond
	// allowedOverlap is the time that the rule leaves the replica before.
	allowedOverlap = 400 * time.Millisecond
)

func main() {
	r := rig.New(3, 1)
	for i := 1; i <= r.Coordinators; i++ {
		r.StartCoordinator(i, true)
	}
	r.StartGateway(1)
	var pool []*rig.Engine
	var preempted sync.Map
	for i := range engines {
		zone := []string{"quimper", "vannes", "lorient"}[i%3]
		e := r.StartEngine(fmt.Sprintf("i-e%d", i+1), "pool", zone, events, prefill, eventInterval, func() bool { return false })
		e.Stays = i < staying
		e.PreemptedFor = preemptedFor
		e.Preempts = func(id string, event int) bool {
			if !rig.Trouble() || event != preemptAfter || !isChosen(id) {
				return false
			}
			_, again := preempted.LoadOrStore(id, true)
			return !again
		}
		pool = append(pool, e)
	}
	if !r.ReplaceUntil("version 1", config, time.Second, 20*time.Second) {
		r.Abort(fmt.Errorf("version 1 was not acknowledged"))
	}
	time.Sleep(2 * rig.HeartbeatMS * time.Millisecond)

	var want strings.Builder
	for i := 1; i <= events; i++ {
		want.WriteString(rig.Event(i))
	}
	var whole atomic.Int64
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			if a := r.Stream(1, fmt.Sprintf("s%d", i), "shop.example", "/lot/x", 20*time.Second); a.Err == nil && a.Body == want.String() {
				whole.Add(1)
			}
		})
		time.Sleep(streamInterval)
	}
	clients.Wait()
	time.Sleep(2*preemptedFor + events*eventInterval) // All runs end.
	if whole.Load() == 0 {
		r.Abort(fmt.Errorf("no stream was served"))
	}
	twice := 0
	runs := map[string][]rig.Work{}
	for _, e := range pool {
		for _, w := range e.WorkDone() {
			runs[w.Request] = append(runs[w.Request], w)
		}
	}
	for id, list := range runs {
		for _, before := range list {
			for _, after := range list {
				if overlap := before.To.Sub(after.From); before.Engine != after.Engine && before.From.Before(after.From) && overlap > allowedOverlap {
					twice++
					r.Logf("BROKEN: %s goes on at %s, and %s works on it %.2f s longer", id, after.Engine, before.Engine, overlap.Seconds())
				}
			}
		}
	}
	count := 0
	preempted.Range(func(_, _ any) bool { count++; return true })
	r.Finish(twice > 0, fmt.Sprintf("%d streams, %d whole, %d preempted once; %d went on at another engine while the one before still worked on them over %s later",
		streams, whole.Load(), count, twice, allowedOverlap))
}

// isChosen reports whether a stream is preempted.
func isChosen(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%preemptEvery == 0
}
