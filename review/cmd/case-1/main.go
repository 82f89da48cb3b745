// Command case-1 sends streams while some answers of the engines have no length, and end with their channel.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/review/rig"
)

const config = `{"version":1,"routes":[{"name":"r-lot","host":"shop.example","pathPrefix":"/lot/","type":"stream","timeoutMs":25000,"sloMs":10000,"priority":2,"service":"pool","maxAttempts":5,"public":true,"sticky":true,"resumable":true,"itlTargetMs":700}],"services":[{"name":"pool","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":88000,"kvBytes":18432,"linkMbps":88000.0,"moves":true,"backups":true,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":4.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

const (
	engines = 6
	// affected of the engines, half of them, answer one request in unframedEvery without a length, for troubleLength
	// in each of the spells.
	affected      = 3
	unframedEvery = 20
	spells        = 6
	troubleLength = 5 * time.Second
	pause         = 3 * time.Second
	events        = 40
	eventInterval = 30 * time.Millisecond
	prefill       = 300 * time.Millisecond
	// streamInterval is the time between two streams of the clients.
	streamInterval = 80 * time.Millisecond
)

func main() {
	r := rig.New(3, 1)
	for i := 1; i <= r.Coordinators; i++ {
		r.StartCoordinator(i, true)
	}
	r.StartGateway(1)
	var inSpell atomic.Bool
	for i := range engines {
		var answers atomic.Int64
		unframed := func() bool {
			return rig.Trouble() && i < affected && inSpell.Load() && answers.Add(1)%unframedEvery == 0
		}
		r.StartEngine(fmt.Sprintf("i-e%d", i+1), "pool", "quimper", events, prefill, eventInterval, unframed)
	}
	if !r.ReplaceUntil("version 1", config, time.Second, 20*time.Second) {
		r.Abort(fmt.Errorf("version 1 was not acknowledged"))
	}
	time.Sleep(2 * rig.HeartbeatMS * time.Millisecond)

	var want strings.Builder
	for i := 1; i <= events; i++ {
		want.WriteString(rig.Event(i))
	}
	var whole, truncated, others atomic.Int64
	var clients sync.WaitGroup
	stream := func(id string) {
		a := r.Stream(1, id, "shop.example", "/lot/x", 20*time.Second)
		switch {
		case a.Err != nil || a.Status != 200:
			others.Add(1)
		case a.Body == want.String():
			whole.Add(1)
		default:
			truncated.Add(1)
			r.Logf("BROKEN: the answer to %s ends as complete with %d of %d events", id, strings.Count(a.Body, "id: "), events)
		}
	}
	next := 0
	for range spells {
		r.Logf("some answers have no length from now on")
		inSpell.Store(true)
		for end := time.Now().Add(troubleLength); time.Now().Before(end); time.Sleep(streamInterval) {
			next++
			id := fmt.Sprintf("s%d", next)
			clients.Go(func() { stream(id) })
		}
		inSpell.Store(false)
		r.Logf("all answers have a length or chunks again")
		time.Sleep(pause)
	}
	clients.Wait()
	if whole.Load() == 0 {
		r.Abort(fmt.Errorf("no stream was served"))
	}
	r.Finish(truncated.Load() > 0, fmt.Sprintf("%d streams: %d whole, %d end as complete before their last event, %d failed or broke off",
		next, whole.Load(), truncated.Load(), others.Load()))
}
