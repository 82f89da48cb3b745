// Command case-3 sends a change that only the leader stores before all processes are killed, and another one under
// the same version afterwards.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/review/rig"
)

const (
	// freezeTime is how long two of the core machines stand still, and the operator waits for its answer.
	freezeTime = 400 * time.Millisecond
	// settleTime is above recoverS, contactMs and configApplyMs.
	settleTime = 13 * time.Second
	rounds     = 6
)

func route(name string) string {
	return fmt.Sprintf(`{"name":"r-%s","host":"shop.example","pathPrefix":"/%s/","type":"unsafe","timeoutMs":800,"sloMs":100,"priority":2,"service":"app","maxAttempts":1,"public":true}`, name, name)
}

// config returns a configuration with the route /fill/ and, if added is set, one more.
func config(version int, added string) string {
	routes := route("fill")
	if added != "" {
		routes += "," + route(added)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"app","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`, version, routes)
}

func main() {
	r := rig.New(3, 4)
	for i := 1; i <= r.Coordinators; i++ {
		r.StartCoordinator(i, true)
	}
	for i := 1; i <= r.Gateways; i++ {
		r.StartGateway(i)
	}
	r.StartServer("i-app1", "app", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
	if !r.ReplaceUntil("version 1", config(1, ""), time.Second, 20*time.Second) {
		r.Abort(errors.New("version 1 was not acknowledged"))
	}
	requests := 0
	status := func(gateway int, path string) int {
		requests++
		return r.Request(gateway, fmt.Sprintf("q%d", requests), http.MethodPost, "shop.example", path, "", "x", 1500*time.Millisecond).Status
	}
	for i := 1; i <= r.Gateways; i++ {
		r.Eventually("requests served", 20*time.Second, func() bool { return status(i, "/fill/x") == http.StatusOK })
	}
	for round := 1; round <= rounds; round++ {
		version := 1 + round
		one, two := fmt.Sprintf("one%d", version), fmt.Sprintf("two%d", version)
		sendRacing(r, version, config(version, one))
		if !r.ReplaceUntil(fmt.Sprintf("version %d of operator 2", version), config(version, two), time.Second, 20*time.Second) {
			r.Abort(errors.New("the change of operator 2 was not acknowledged"))
		}
		// Operator 1 had no clear answer and sends its change again.
		if !r.ReplaceUntil(fmt.Sprintf("version %d of operator 1 again", version), config(version, one), time.Second, 20*time.Second) {
			r.Abort(errors.New("the change of operator 1 was not acknowledged"))
		}
		time.Sleep(settleTime)
		held := ""
		r.Eventually("one configuration read back at all coordinators", 10*time.Second, func() bool {
			held = r.Read(1)
			return held != "" && r.Read(2) == held && r.Read(3) == held
		})
		inForce, other := one, two
		if held == config(version, two) {
			inForce, other = two, one
		}
		r.Logf("round %d: version %d read back at all coordinators has the route /%s/, not /%s/", round, version, inForce, other)
		for i := 1; i <= r.Gateways; i++ {
			if held, lost := status(i, "/"+inForce+"/x"), status(i, "/"+other+"/x"); held == http.StatusNotFound && lost == http.StatusOK {
				r.Finish(true, fmt.Sprintf("round %d: gateway %d answers 404 on the route /%s/ of the version %d that is held, and serves /%s/, which is not in it",
					round, i, inForce, version, other))
			}
		}
	}
	r.Finish(false, "all gateways obey the version that is read back")
}

// sendRacing sends the change of operator 1. With the disruption, two core machines stand still meanwhile, and all
// processes are killed and started again right afterwards.
func sendRacing(r *rig.Rig, version int, change string) {
	leader := 0
	r.Eventually("a leader", 20*time.Second, func() bool {
		for i := 1; i <= r.Coordinators; i++ {
			if r.IsLeader(i) {
				leader = i
			}
		}
		return leader != 0
	})
	name := fmt.Sprintf("version %d of operator 1", version)
	if !rig.Trouble() {
		r.Replace(leader, name, change, time.Second)
		return
	}
	for i := 1; i <= r.Coordinators; i++ {
		if i != leader {
			r.Signal(rig.CoordinatorName(i), syscall.SIGSTOP)
		}
	}
	if r.Replace(leader, name, change, freezeTime) {
		r.Abort(errors.New("a change was acknowledged without a majority"))
	}
	names := []string{}
	for i := 1; i <= r.Coordinators; i++ {
		names = append(names, rig.CoordinatorName(i))
	}
	for i := 1; i <= r.Gateways; i++ {
		names = append(names, rig.GatewayName(i))
	}
	r.Kill(names...)
	for i := 1; i <= r.Coordinators; i++ {
		r.StartCoordinator(i, false)
	}
	for i := 1; i <= r.Gateways; i++ {
		r.StartGateway(i)
	}
}
