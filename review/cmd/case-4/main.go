// Command case-4 publishes a large valid configuration and looks what becomes of the control plane.
package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/review/rig"
)

// config returns a configuration with a number of tenants, each as long as the one in the users' example.
func config(version, tenants int) string {
	var list []string
	for i := range tenants {
		list = append(list, fmt.Sprintf(`{"name":"t%06d","apiKeys":["first%015d","other%015d"],"priority":1}`, i, i, i))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-fill","host":"shop.example","pathPrefix":"/fill/","type":"unsafe","timeoutMs":800,"sloMs":100,"priority":2,"service":"app","maxAttempts":1,"public":true}],"services":[{"name":"app","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}`, version, strings.Join(list, ","))
}

const (
	// maxConfigBytes is the limit of the site file for the body of a configuration.
	maxConfigBytes = 4194304
	// manyTenants is the number of organisations that the users expect; fewTenants is used without the disruption.
	manyTenants, fewTenants = 35000, 350
	// largeTimeout is how long the operator waits for the answer to a large body, publishTime how long it sends it.
	largeTimeout, publishTime = 3 * time.Second, 10 * time.Second
	// recoverTime is above recoverS, and readTime above contactMs.
	recoverTime, readTime = 12500 * time.Millisecond, 8 * time.Second
	rounds                = 5
)

func main() {
	r := rig.New(3, 1)
	for i := 1; i <= r.Coordinators; i++ {
		r.StartCoordinator(i, true)
	}
	r.StartGateway(1)
	if !r.ReplaceUntil("version 1", config(1, 10), time.Second, 20*time.Second) {
		r.Abort(errors.New("version 1 was not acknowledged"))
	}
	r.Logf("version 1 is acknowledged")
	r.Eventually("version 1 read back", 10*time.Second, func() bool { return r.Read(1) == config(1, 10) })
	r.Logf("version 1 is read back")

	tenants := manyTenants
	if !rig.Trouble() {
		tenants = fewTenants
	}
	large := config(2, tenants)
	if len(large) > maxConfigBytes {
		r.Abort(fmt.Errorf("version 2 has %d bytes", len(large)))
	}
	r.Logf("version 2 has %d tenants and %d bytes", tenants, len(large))
	// The operator sends version 2 again until it is acknowledged.
	var newest atomic.Int64
	newest.Store(1)
	go func() {
		for i := 0; newest.Load() < 2; i++ {
			if r.Replace(1+i%r.Coordinators, "version 2", large, largeTimeout) {
				newest.CompareAndSwap(1, 2)
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(publishTime)
	r.Logf("version 2 is acknowledged: %v", newest.Load() >= 2)

	version, round := 0, 0
	for round < rounds {
		round++
		r.Logf("round %d: all coordinators are killed and started again", round)
		names := []string{rig.CoordinatorName(1), rig.CoordinatorName(2), rig.CoordinatorName(3)}
		r.Kill(names...)
		for i := 1; i <= r.Coordinators; i++ {
			r.StartCoordinator(i, false)
		}
		time.Sleep(recoverTime)
		expected := int(newest.Load())
		version = readBack(r)
		r.Logf("round %d: version %d is read back, version %d is acknowledged", round, version, expected)
		if version < expected {
			break
		}
	}
	acknowledged := newest.Swap(2) // Ends the attempts with version 2.
	if version < int(acknowledged) {
		time.Sleep(largeTimeout)
		r.Logf("the operator sends version 2 no more, and reads once more")
		version = readBack(r)
	}
	for i := 1; i <= r.Coordinators; i++ {
		r.Logf("coordinator %d has %d MB in memory", i, r.ResidentMB(rig.CoordinatorName(i)))
	}
	r.Finish(version < int(acknowledged), fmt.Sprintf("round %d: the newest acknowledged version is %d; the version read back is %d (0: no coordinator gave one for %s)",
		round, acknowledged, version, readTime))
}

// readBack reads the configuration at each coordinator in turn, as an operator does at the end of a day, and
// returns its version, 0 if none gives one within readTime.
func readBack(r *rig.Rig) (version int) {
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := 1; i <= r.Coordinators; i++ {
			read := r.Read(i)
			r.Logf("operator: read at coordinator %d: %d bytes %.14q", i, len(read), read)
			if read == "" {
				continue
			}
			if _, err := fmt.Sscanf(read, `{"version":%d,`, &version); err != nil {
				r.Abort(err)
			}
			return version
		}
	}
	return 0
}
