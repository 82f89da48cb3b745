package main

import (
	"fmt"
	"time"
)

func init() { cases["outage"] = playOutage }

const (
	// lossGap is the time between the losses of two machines of the core, and outageTime that for which all are lost.
	lossGap    = 2 * time.Second
	outageTime = 24 * time.Second
)

// playOutage checks that gateways follow the configuration, and serve, after an outage of the whole core.
func playOutage(r *rig) (int, string) {
	const gateways = 3
	r.startAll(gateways)
	for i := 1; i <= 3; i++ {
		r.startReplica(i, fmt.Sprintf("i-%d", i), "desk")
	}
	services := []service{plainService("desk")}
	r.mustOrder(newConfig(3, []route{plainRoute("old", "safe", "desk")}, services))
	r.awaitReady(gateways)
	time.Sleep(2 * time.Second)
	for i := 1; i <= gateways; i++ {
		if a := r.ask(i, "GET", "/old/x", "", 2*time.Second); a.status != 200 {
			return couldNot, "not served before the disruption: " + a.String()
		}
	}
	if r.trouble {
		for i := 1; i <= 3; i++ {
			r.kill(coordinatorName(i))
			if i < 3 {
				time.Sleep(lossGap)
			}
		}
	}
	time.Sleep(outageTime)
	if r.trouble {
		for i := 1; i <= 3; i++ {
			r.startCoordinator(i, false)
		}
	}
	r.note("all machines are back; waiting for recoverS, %s", recovery)
	time.Sleep(recovery)
	ackedAt := r.mustOrder(newConfig(7, []route{plainRoute("old", "safe", "desk"), plainRoute("new", "safe", "desk")}, services))
	time.Sleep(time.Until(ackedAt.Add(configApply + time.Second)))
	for i := 1; i <= gateways; i++ {
		r.note("edge-%d says it is ready: %t", i, r.isReady(i))
	}
	counts := map[string]int{}
	for range 15 {
		for i := 1; i <= gateways; i++ {
			for _, path := range []string{"/old/x", "/new/x"} {
				a := r.ask(i, "GET", path, "", 2*time.Second)
				counts[fmt.Sprintf("%s %d", path, a.status)]++
				r.note("%s %s, sent %d ms after the ack of version 7", path, a, a.sentAt.Sub(ackedAt).Milliseconds())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for i := 1; i <= 3; i++ {
		version, status := r.readBack(i)
		r.note("core-%d reads back version %d, status %d", i, version, status)
	}
	verdict := fmt.Sprint("answers by path and status: ", counts)
	if counts["/new/x 404"] > 0 {
		return broken, "a route that an acknowledged version added gets 404 later than configApplyMs after the ack; " + verdict
	}
	return held, verdict
}
