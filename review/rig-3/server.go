package rig3

import (
	"encoding/json"
	"net/http"
	"time"
)

// Announce sends heartbeats of a replica of a plain service until the program ends.
func (r *Rig) Announce(id, service, address, zone string) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		r.beat(id, map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": born,
		})
		time.Sleep(beatEvery)
	}
}

// beat sends a heartbeat to one coordinator after the other until one acknowledges it.
func (r *Rig) beat(id string, message map[string]any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	for i := 1; i <= 3; i++ {
		if status, _ := r.Call(http.MethodPost, r.Operator(i), "/v1/Replicas.Heartbeat/"+id, body, time.Second); status == http.StatusOK {
			return
		}
	}
}
