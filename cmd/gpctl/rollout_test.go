package main

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/platform"
)

// Guards against an exit status that reports an order as not made although it may have been, and against a
// coordinator without a leader that keeps the next one from being asked.
func TestRolloutOutcomes(t *testing.T) {
	accepting, _ := startServer(t, 200, `{}`)
	reading, _ := startServer(t, 200, `{"state":"complete","to":"v2"}`)
	unavailable, unavailableRequests := startServer(t, 503, `{"message":"no leader took the order"}`)
	conflicting, _ := startServer(t, 409, `{"message":"another one is in progress"}`)
	dropping, _ := startServer(t, 0, "")
	nonJSON, _ := startServer(t, 502, "bad gateway")
	malformed := startMalformedServer(t, `{"state":"complete","to":"v2"}`)
	unreachable := "http://" + testnet.UnusedAddress(t)
	for _, tt := range []struct {
		name      string
		addresses []string
		order     bool
		want      subcommands.ExitStatus
	}{
		{"next coordinator accepts", []string{unreachable, unavailable, accepting}, true, subcommands.ExitSuccess},
		{"conflict", []string{unavailable, conflicting, accepting}, true, exitRefused},
		{"unreachable", []string{unreachable}, true, exitUnavailable},
		{"no leader", []string{unavailable}, true, exitOutcomeUnknown},
		{"dropped response", []string{dropping}, true, exitOutcomeUnknown},
		{"malformed response", []string{malformed}, true, exitOutcomeUnknown},
		{"malformed response to a read", []string{malformed}, false, exitUnavailable},
		{"read at the next coordinator", []string{nonJSON, reading}, false, subcommands.ExitSuccess},
		{"read without a leader", []string{unavailable}, false, exitUnavailable},
	} {
		timeout := 300 * time.Millisecond
		if tt.want == subcommands.ExitSuccess || tt.want == exitRefused {
			timeout = 30 * time.Second
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		reply, err := callCoordinators(ctx, tt.addresses, func(ctx context.Context, address string) (platform.RolloutReply, error) {
			if tt.order {
				return platform.OrderRollout(ctx, httpClient, address, "app", "v2", time.Second)
			}
			return platform.ReadRolloutState(ctx, httpClient, address, "app")
		})
		cancel()
		qt.Check(t, rolloutResult(reply, err, tt.order), qt.Equals, tt.want, qt.Commentf("%s: %v", tt.name, err))
		if !tt.order && tt.want == subcommands.ExitSuccess {
			qt.Check(t, reply.State+" "+reply.Version, qt.Equals, "complete v2")
		}
	}
	qt.Check(t, unavailableRequests.Load() > 2, qt.IsTrue)
}

// Guards against arguments that reach a coordinator although they are incomplete.
func TestRolloutFlags(t *testing.T) {
	for _, f := range []rolloutFlags{{}, {coordinators: "10.0.0.1:80"}, {service: "app"}} {
		_, err := f.check()
		qt.Check(t, err, qt.IsNotNil)
	}
	f := rolloutFlags{coordinators: "10.0.0.1:80, http://10.0.0.2:80/", service: "app"}
	addresses, err := f.check()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, addresses, qt.DeepEquals, []string{"http://10.0.0.1:80", "http://10.0.0.2:80"})
}
