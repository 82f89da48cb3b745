// Command 12 starts a deployment for the first time, loses one machine of the core for good as it starts, replaces it by an empty
// one at another address, and sends the first configuration until it is acknowledged.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/geraniumpitch/geraniumpitch/review/rig-3"
)

const (
	// diesAfter is the time from the start of the machine to its loss, and replacedAfter from there to the start of the new one.
	diesAfter     = 100 * time.Millisecond
	replacedAfter = 2 * time.Second
	// contact and ack are contactMs and ackMs of the sheet. The order is sent for much longer.
	contact, ack = 3 * time.Second, 4 * time.Second
	patience     = 30 * time.Second
)

type object = map[string]any

func config() any {
	return object{
		"version": 1,
		"routes": []any{object{
			"name": "check", "host": "ficu95.example", "pathPrefix": "/puxa403/", "type": "safe", "timeoutMs": 1500, "sloMs": 100, "priority": 2,
			"service": "app", "maxAttempts": 2, "public": true,
		}},
		"services": []any{object{"name": "app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func main() { os.Exit(rig3.Main(run, "quimper", "vannes", "lorient")) }

func run(r *rig3.Rig) (int, error) {
	if err := r.StartAll(2); err != nil {
		return rig3.NotRun, err
	}
	if rig3.Trouble() {
		time.Sleep(diesAfter)
		r.Kill("core-3")
		time.Sleep(replacedAfter)
		r.Operators = []int{1, 2, 4}
		if err := r.Coordinator(4, false); err != nil {
			return rig3.NotRun, err
		}
	}
	if _, err := r.NewServer(40, "app", "quimper", true); err != nil {
		return rig3.NotRun, err
	}
	stableFrom := time.Now().Add(contact)
	err := r.Publish(config(), patience)
	r.Note("first configuration: %v; the core is stable for %v", err, time.Since(stableFrom).Round(100*time.Millisecond))
	for i := 1; i <= 2; i++ {
		status, _ := r.Call("GET", r.Ready(i), "/v1/readyz", nil, time.Second)
		r.Note("edge-%d says %d to readiness checks", i, status)
	}
	switch {
	case err == nil && time.Since(stableFrom) <= ack:
		return rig3.Held, nil
	case time.Since(stableFrom) > ack:
		return rig3.Broken, nil
	}
	return rig3.NotRun, errors.New("the order ended early: " + err.Error())
}
