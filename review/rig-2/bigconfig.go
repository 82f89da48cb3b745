package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["bigconfig"] = playBigConfig }

const (
	bigTenants    = 100
	keysPerTenant = 1800
)

// randomKey returns a key like those of the pages: 20 letters and digits.
func randomKey(random *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	key := make([]byte, 20)
	for i := range key {
		key[i] = letters[random.IntN(len(letters))]
	}
	return string(key)
}

// playBigConfig checks that a valid configuration smaller than the largest body is acknowledged, and that a small one after it is.
func playBigConfig(r *rig) (int, string) {
	const gateways = 2
	r.startAll(gateways)
	for i := 1; i <= 3; i++ {
		r.startReplica(i, fmt.Sprintf("i-%d", i), "desk")
	}
	services := []service{plainService("desk")}
	routes := []route{plainRoute("old", "safe", "desk")}
	r.mustOrder(newConfig(3, routes, services))
	r.awaitReady(gateways)
	time.Sleep(2 * time.Second)
	big := newConfig(7, routes, services)
	if r.trouble {
		random := rand.New(rand.NewPCG(1, 2))
		for t := range bigTenants {
			extra := tenant{Name: fmt.Sprint("u-", t)}
			for range keysPerTenant {
				extra.APIKeys = append(extra.APIKeys, randomKey(random))
			}
			big.Tenants = append(big.Tenants, extra)
		}
	}
	const limit = 30 * time.Second
	type outcome struct {
		took  time.Duration
		acked bool
	}
	order := func(c config) <-chan outcome {
		done := make(chan outcome, 1)
		go func() {
			begin := time.Now()
			at, acked := r.order(c, limit)
			done <- outcome{at.Sub(begin), acked}
		}()
		return done
	}
	large := order(big)
	time.Sleep(time.Second)
	small := order(newConfig(9, append(routes, plainRoute("new", "safe", "desk")), services))
	first, second := <-large, <-small
	time.Sleep(configApply)
	for i := 1; i <= gateways; i++ {
		for _, path := range []string{"/old/x", "/new/x"} {
			r.note("%s %s", path, r.ask(i, "GET", path, "", 2*time.Second))
		}
	}
	for i := 1; i <= 3; i++ {
		version, status := r.readBack(i)
		r.note("core-%d reads back version %d, status %d", i, version, status)
	}
	verdict := fmt.Sprintf("ackMs is %s: the large version acknowledged %t after %s, the small one after it %t after %s", ackLimit, first.acked, first.took, second.acked, second.took)
	if !first.acked || !second.acked || first.took > ackLimit || second.took > ackLimit {
		return broken, verdict
	}
	return held, verdict
}
