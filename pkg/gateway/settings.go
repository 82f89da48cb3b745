package gateway

import "time"

const (
	// headerLimit and idleLimit are the outer bounds of what the configuration
	// may allow a caller.
	headerLimit = 10 * time.Second
	idleLimit   = 60 * time.Second
	headerBytes = 64 << 10
	// defaultBodyBytes applies while the configuration names no limit.
	defaultBodyBytes = 4 << 20
	// callerSilence ends connections whose caller acknowledges nothing.
	callerSilence = 15 * time.Second
	// answerBytes bounds an answer that is read as a whole before it is passed
	// on; a larger one is passed on as it arrives and cannot be repeated.
	answerBytes = 256 << 10
	// lastMoment is taken off a limit so that the answer reaches the caller in time.
	lastMoment = 30 * time.Millisecond
	// configWait is how long a request waits for the first configuration of a
	// gateway that has just started, and configShare the largest part of its
	// caller's patience: after a failure of all processes the configuration is there
	// within half a second, and a caller that is refused has no other gateway.
	configWait  = 900 * time.Millisecond
	configShare = 0.4
	// noServerWait is how long a request waits for a server to appear.
	noServerWait = 300 * time.Millisecond
	// comeBack is the time after which a caller should come back that was refused
	// for want of a configuration: gateways get one within that time of a start.
	comeBack = 500 * time.Millisecond
	// maxRefusals bounds the backend servers that may refuse a request before it
	// is refused here.
	maxRefusals = 4
	// refusalPause spreads repeats over a short overload of all servers.
	refusalPause = 15 * time.Millisecond
	// hedgeShare is the part of the objective after which an idempotent call is
	// also sent to a second server; usual answers take a fifth of the objective.
	hedgeShare = 0.55
	// eventSilence ends an attempt that sends no event: events come at least
	// every 230 ms while prompts are read beside them.
	eventSilence = 350 * time.Millisecond
	// silenceShare bounds eventSilence to a part of the pause that a route allows.
	silenceShare = 0.5
	// firstEventCheck is the interval at which the engine of a stream without
	// events is checked.
	firstEventCheck = 400 * time.Millisecond
	// directoryWait is how long a new gateway waits for announcements before it
	// is ready.
	directoryWait = 1500 * time.Millisecond
	// isolationCheck is the interval at which a gateway looks whether it is cut off.
	isolationCheck = 250 * time.Millisecond
	// coordinatorSilence is the time after which a coordinator counts as out of
	// reach: two beats and some delay.
	coordinatorSilence = 900 * time.Millisecond
	// balancerDelay is how long new connections are accepted after a stop began.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is left of the grace time for the exit itself.
	stopMargin = 300 * time.Millisecond
	// maxStreamTries bounds the engines that one stream is sent to, refusals included.
	maxStreamTries = 16
	// maxBreaks bounds the attempts at one engine that break off in a row.
	maxBreaks = 2
	// probeInterval is the interval at which lost servers are looked for.
	probeInterval = 60 * time.Millisecond
	// maxProbes bounds the probes under way.
	maxProbes = 64
	// connectionShare is the part of a server's connections that one gateway uses.
	connectionShare = 4
)
