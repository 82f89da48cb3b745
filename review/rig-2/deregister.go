package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["deregister"] = playDeregister }

// lingerTime is how long the leaving replica serves after its ack.
const lingerTime = 10 * time.Second

// playDeregister checks that a deregistration which was acknowledged holds although the processes of the core, and one gateway,
// are killed right after the ack.
func playDeregister(r *rig) (int, string) {
	const gateways = 3
	r.startAll(gateways)
	var replicas []*replica
	for i := 1; i <= 3; i++ {
		replicas = append(replicas, r.startReplica(i, fmt.Sprintf("i-%d", i), "desk"))
	}
	r.mustOrder(newConfig(3, []route{plainRoute("old", "safe", "desk")}, []service{plainService("desk")}))
	r.awaitReady(gateways)
	time.Sleep(6 * time.Second)
	leaving := replicas[0]
	var mu sync.Mutex
	arrivals := map[string]time.Time{}
	leaving.arrived = func(req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[req.Header.Get("Request-Id")] = time.Now()
	}
	if !leaving.deregister() {
		return couldNot, "the deregistration was not acknowledged"
	}
	ackedAt := time.Now()
	r.note("replica %s is acknowledged as gone; it serves on for %s", leaving.id, lingerTime)
	time.AfterFunc(lingerTime, leaving.stop)
	backAt := ackedAt
	if r.trouble {
		names := []string{coordinatorName(1), coordinatorName(2), coordinatorName(3), gatewayName(1)}
		for _, name := range names {
			r.signal(name, killSignal)
		}
		for _, name := range names {
			<-r.process(name).ended
		}
		time.Sleep(500 * time.Millisecond)
		for i := 1; i <= 3; i++ {
			r.startCoordinator(i, false)
		}
		r.startGateway(1)
		backAt = time.Now()
	}
	// A machine is in touch contactMs after the last start; the longer bound, for a fault that took most of the core, is kept.
	inTouchAt := backAt.Add(2*contact + 200*time.Millisecond)
	time.Sleep(time.Until(inTouchAt))
	for i := 1; i <= gateways; i++ {
		r.note("edge-%d says it is ready: %t", i, r.isReady(i))
	}
	late, served := 0, 0
	for time.Since(ackedAt) < lingerTime-500*time.Millisecond {
		for i := 1; i <= gateways; i++ {
			a := r.ask(i, "GET", "/old/x", "", 2*time.Second)
			if a.status == 200 {
				served++
			}
			mu.Lock()
			at, arrived := arrivals[a.id]
			mu.Unlock()
			if arrived && at.Sub(ackedAt) > drainTime {
				late++
				r.note("%s reached replica %s %d ms after the ack, and %d ms after all machines were back", a, leaving.id, at.Sub(ackedAt).Milliseconds(), a.sentAt.Sub(backAt).Milliseconds())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	verdict := fmt.Sprintf("%d of %d requests reached the replica later than drainMs after the ack", late, served)
	if served < 100 {
		return couldNot, "too few requests were served: " + verdict
	}
	if late > 0 {
		return broken, verdict
	}
	return held, verdict
}
