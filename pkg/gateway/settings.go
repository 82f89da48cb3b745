package gateway

import "time"

const (
	// headerReadTimeout, maxIdleTimeout and maxHeaderBytes are upper bounds that apply
	// to callers whatever the configuration allows.
	headerReadTimeout = 10 * time.Second
	maxIdleTimeout    = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// defaultBodyBytes is the limit for bodies if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// callerAckTimeout is the TCP user timeout: a connection is closed when the caller
	// has not acknowledged data for this time.
	callerAckTimeout = 15 * time.Second
	// maxBufferedResponseBytes bounds a response that is read as a whole before it is
	// forwarded; a larger one is forwarded as it arrives, and its request cannot be retried.
	maxBufferedResponseBytes = 256 << 10
	// errorBodyTimeout bounds the time for the body of an engine's error response. It has few bytes,
	// and another engine could serve the stream meanwhile.
	errorBodyTimeout = time.Second
	// responseMargin is subtracted from the deadline of a request, so that the response
	// reaches the caller in time.
	responseMargin = 30 * time.Millisecond
	// maxConfigWait bounds how long a request waits for the first configuration of a
	// gateway that has just started, and maxConfigWaitShare bounds it to a share of the
	// caller's timeout; the smaller bound applies. If all processes have restarted, the
	// configuration arrives within half a second, and other gateways have none either.
	maxConfigWait      = 900 * time.Millisecond
	maxConfigWaitShare = 0.4
	// maxServerWait bounds how long a request waits for a server to become available.
	maxServerWait = 300 * time.Millisecond
	// configRetryAfter is the Retry-After time of requests that were refused because
	// there is no configuration, or an old one: gateways receive one within that time after a start.
	configRetryAfter = 500 * time.Millisecond
	// maxRefusals is the number of refusals by backend servers after which the gateway
	// refuses a request.
	maxRefusals = 4
	// refusalRetryDelay is the wait before a refused request is retried; it spreads the
	// retries over a short overload of all servers.
	refusalRetryDelay = 15 * time.Millisecond
	// hedgeDelayShare is the share of the route's objective after which an idempotent call
	// is also sent to a second server. A typical response takes a fifth of the objective, so
	// that the second one usually arrives in time.
	hedgeDelayShare = 0.55
	// maxEventSilence is the longest time without an event before an attempt ends. An
	// engine that prefills other prompts at the same time sends an event at least every
	// 230 ms.
	maxEventSilence = 350 * time.Millisecond
	// maxEventSilenceShare bounds the time without an event to a share of the pause that
	// the route allows.
	maxEventSilenceShare = 0.5
	// slowEventShare is the multiple of the pause that the route allows after which a run is given up at an
	// engine that can be reached. An engine that preempts a run prefills it again, which takes about a
	// second.
	slowEventShare = 2
	// firstEventCheckInterval is the interval at which the gateway checks that an engine
	// which has not sent the first event can still be reached.
	firstEventCheckInterval = 400 * time.Millisecond
	// onceSilenceTimeout is how long an engine may be out of reach before a run is given up that must not be
	// made again. Hosts that freeze, and short partitions, are back within seconds.
	onceSilenceTimeout = 5 * time.Second
	// maxDirectoryWait bounds how long a new gateway that has a configuration waits for
	// announcements before it is ready.
	maxDirectoryWait = 1500 * time.Millisecond
	// isolationCheckInterval is the interval at which a gateway checks whether it is
	// isolated.
	isolationCheckInterval = 250 * time.Millisecond
	// coordinatorTimeout is the time without an event after which a coordinator counts
	// as unreachable: two heartbeat intervals plus some delay.
	coordinatorTimeout = 900 * time.Millisecond
	// maxStreamAttempts bounds the attempts of one stream, refused ones included.
	maxStreamAttempts = 16
	// maxRetriesAtSameEngine bounds how often in a row one stream is retried at an engine
	// that broke it off.
	maxRetriesAtSameEngine = 2
	// maxEnginesEnded is the number of engines that may end as they begin to answer one stream. A
	// second engine may end by chance; after that, the prompt is the likelier cause.
	maxEnginesEnded = 2
	// probeInterval is the interval at which unreachable servers are probed.
	probeInterval = 60 * time.Millisecond
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 64
	// assumedGateways is the number of gateways that share the connections of a server and the places at
	// engines, as long as a gateway that has started does not know it.
	assumedGateways = 16
	// minConnections is the number of connections that a gateway may always open to a server: one for a
	// run and one for the request to copy it.
	minConnections = 2
)
