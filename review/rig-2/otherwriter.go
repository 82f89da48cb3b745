package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["otherwriter"] = playOtherWriter }

// otherService is a service that no configuration names.
const otherService = "legacy-desk"

// heartbeatOfOther sends the heartbeat of another writer, for a service that no configuration names, to a node.
func (r *rig) heartbeatOfOther(id, address string) bool {
	body, err := json.Marshal(map[string]any{
		"service": otherService, "address": address, "zone": zones[0], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	response, err := newHTTPClient(time.Second).Post("http://"+r.control(1)+"/v1/Replicas.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	r.note("heartbeat of another writer: id %s, service %s, address %s: status %d", id, otherService, address, response.StatusCode)
	return true
}

// playOtherWriter checks that replicas hold although another writer names their addresses with a service that isn't named.
func playOtherWriter(r *rig) (int, string) {
	const gateways = 2
	r.startAll(gateways)
	var desk []*replica
	for i := 1; i <= 3; i++ {
		desk = append(desk, r.startReplica(i, fmt.Sprintf("i-%d", i), "desk"))
	}
	for i := 4; i <= 6; i++ {
		r.startReplica(i, fmt.Sprintf("i-%d", i), "stock")
	}
	r.mustOrder(newConfig(3, []route{plainRoute("desk", "safe", "desk"), plainRoute("stock", "safe", "stock")}, []service{plainService("desk"), plainService("stock")}))
	r.awaitReady(gateways)
	time.Sleep(3 * time.Second)
	if r.trouble {
		for i, b := range desk {
			if !r.heartbeatOfOther(fmt.Sprintf("w-%d", i+1), b.address) {
				return couldNot, "the heartbeat was not taken"
			}
		}
	}
	time.Sleep(contact)
	counts := map[string]int{}
	begin := time.Now()
	for time.Since(begin) < 60*time.Second {
		for i := 1; i <= gateways; i++ {
			for _, path := range []string{"/desk/x", "/stock/x"} {
				a := r.ask(i, "GET", path, "", 2*time.Second)
				counts[fmt.Sprintf("%s %d", path, a.status)]++
				r.note("%s %s", path, a)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	asked := counts["/desk/x 200"] + counts["/desk/x 503"]
	verdict := fmt.Sprint("answers by path and status: ", counts)
	all := float64(counts["/desk/x 200"]+counts["/stock/x 200"]) / float64(2*asked)
	if float64(counts["/desk/x 200"])/float64(asked) < all/4 {
		return broken, "one kind of request is served less than a quarter as often as all; " + verdict
	}
	return held, verdict
}
