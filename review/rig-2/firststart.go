package main

import (
	"fmt"
	"time"
)

func init() { cases["firststart"] = playFirstStart }

// killDelay is the time from the start of the processes to the loss of one of them.
const killDelay = 100 * time.Millisecond

// playFirstStart checks that the first configuration is acknowledged although one machine of the core is lost for good just
// after the first start, and an empty one comes in its place at another address.
func playFirstStart(r *rig) (int, string) {
	const gateways = 2
	r.startAll(gateways)
	for i := 1; i <= 3; i++ {
		r.startReplica(i, fmt.Sprintf("i-%d", i), "desk")
	}
	if r.trouble {
		time.Sleep(killDelay)
		r.kill(coordinatorName(3))
		time.Sleep(time.Second)
		r.startCoordinator(4, false)
		time.Sleep(seedLag)
		r.listNodes(1, 2, 4)
	}
	r.note("waiting for contactMs, %s, and catchUpS, %s", contact, catchUp)
	time.Sleep(contact + catchUp)
	const limit = 40 * time.Second
	begin := time.Now()
	if _, acked := r.order(newConfig(3, []route{plainRoute("old", "safe", "desk")}, []service{plainService("desk")}), limit); !acked {
		return broken, fmt.Sprintf("the first configuration has no ack after %s, ackMs is %s", limit, ackLimit)
	}
	took := time.Since(begin)
	if took > ackLimit {
		return broken, fmt.Sprintf("the first configuration was acknowledged after %s, ackMs is %s", took, ackLimit)
	}
	r.awaitReady(gateways)
	return held, fmt.Sprintf("the first configuration was acknowledged after %s", took)
}
