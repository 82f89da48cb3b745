package settings

import "net/netip"

// Coordinator holds the settings of a coordinator.
type Coordinator struct {
	// Instance identifies the process and its location.
	Instance Instance `json:"instance"`
	// OperatorAddress is the listen address for operators and backend servers.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress is the listen address for other processes of the deployment.
	PeerAddress string `json:"peer_address"`
	// Seeds are operator addresses of coordinators and may include that of this one. The peer address
	// of a seed has the same IP address and the port of PeerAddress, which all coordinators share.
	Seeds []string `json:"seeds"`
	// FirstStart is set when the whole deployment starts for the first time. The seeds are then the
	// initial members of the control group.
	FirstStart bool `json:"first_start"`
	// ToleratedDisks is the number of coordinators that may lose their disks at the same time. The
	// control group has room for twice as many members and one more.
	ToleratedDisks int `json:"tolerated_disks"`
	// DataFolder is the directory of the consensus log and its snapshots.
	DataFolder string `json:"data_folder"`
	// AnnounceIntervalMS is the interval at which backend servers announce themselves, in
	// milliseconds.
	AnnounceIntervalMS int `json:"announce_ms"`
	// MetricsAddress is the listen address for metrics in the Prometheus format; empty means that they
	// are not served.
	MetricsAddress string `json:"metrics_address"`
	// MemoryMB is the memory available to the process, in megabytes; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
	// Rollouts enables rollouts of services to new versions and bounds them. It is optional.
	Rollouts *Rollouts `json:"rollouts"`
	// CallerMemoryMB bounds the bytes held for operators and backend servers together (bodies, large headers and
	// responses that wait for slow readers), in megabytes; 0 means a fifth of the memory of the process. If memory_mb
	// is 0 too, that is the limit of the control group, or GOMEMLIMIT.
	CallerMemoryMB int `json:"caller_memory_mb"`
	// CallerConnections bounds the connections of operators and backend servers; 0 means 2 of 5 file descriptors, and at
	// most one per 120 KiB of memory.
	CallerConnections int `json:"caller_connections"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Instance identifies the process and its location.
	Instance Instance `json:"instance"`
	// CallerAddress is the listen address for callers.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is the listen address for readiness checks of the load balancer.
	ReadyAddress string `json:"ready_address"`
	// PeerPort is the port on which coordinators listen for other processes of the deployment.
	PeerPort int `json:"peer_port"`
	// Seeds are operator addresses of coordinators. The peer address of a seed has the same IP address
	// and the port PeerPort.
	Seeds []string `json:"seeds"`
	// AnnounceIntervalMS is the interval at which backend servers announce themselves, in
	// milliseconds.
	AnnounceIntervalMS int `json:"announce_ms"`
	// GracePeriodS is the time from the start of a planned stop until the process is stopped by
	// force, in seconds.
	GracePeriodS float64 `json:"grace_s"`
	// RetryRatio, RetrySlack and RetryWindowS set the retry budget of each service: within
	// RetryWindowS seconds at most RetrySlack retries, plus RetryRatio retries per request.
	RetryRatio   float64 `json:"retry_ratio"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
	// MetricsAddress is the listen address for metrics in the Prometheus format; empty means that they
	// are not served.
	MetricsAddress string `json:"metrics_address"`
	// MemoryMB is the memory available to the process, in megabytes; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
	// Rollouts enables rollouts; without it, the versions of backend servers have no effect.
	Rollouts *Rollouts `json:"rollouts"`
	// CallerMemoryMB bounds the bytes held for callers together (bodies, large headers, and responses that
	// wait for slow callers), in megabytes; 0 means a fifth of the memory of the process. If memory_mb is 0 too, that is the limit of
	// the control group, or GOMEMLIMIT.
	CallerMemoryMB int `json:"caller_memory_mb"`
	// CallerConnections bounds the connections of callers, each of which has at most one request at a time; 0 means 2 of 5
	// file descriptors, and at most one per 120 KiB of memory.
	CallerConnections int `json:"caller_connections"`
	// ResponseBufferKB bounds the bytes of one response that wait for a slow caller, in kilobytes. A response is
	// read from its server at the pace of the caller beyond that.
	ResponseBufferKB int `json:"response_buffer_kb"`
	// ServerRequestMB bounds the bytes of large requests (bodies above 64 KiB) that one backend server holds from
	// all gateways together, in megabytes; 0 means no limit. A gateway that has no other request at the server always
	// sends one.
	ServerRequestMB int `json:"server_request_mb"`
}

// DefaultCoordinator returns the default settings of a coordinator.
func DefaultCoordinator() Coordinator {
	return Coordinator{AnnounceIntervalMS: 1000, ToleratedDisks: 1}
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{AnnounceIntervalMS: 1000, GracePeriodS: 10, RetryRatio: 0.2, RetrySlack: 30, RetryWindowS: 10, ResponseBufferKB: 256, ServerRequestMB: 256}
}

// LoadCoordinator reads the settings of a coordinator from a file and validates them.
func LoadCoordinator(file string) (Coordinator, error) {
	s := DefaultCoordinator()
	if err := loadFile(file, &s); err != nil {
		return s, err
	}
	return s, errorOf(file, s.validate())
}

// LoadGateway reads the settings of a gateway from a file and validates them.
func LoadGateway(file string) (Gateway, error) {
	s := DefaultGateway()
	if err := loadFile(file, &s); err != nil {
		return s, err
	}
	return s, errorOf(file, s.validate())
}

func (s *Coordinator) validate() []string {
	var f faultList
	f.checkInstance(s.Instance)
	f.checkAddress("operator_address", s.OperatorAddress)
	f.checkAddress("peer_address", s.PeerAddress)
	f.checkSeeds(s.Seeds)
	f.checkAtLeast("tolerated_disks", int64(s.ToleratedDisks), 0)
	f.checkRequired("data_folder", s.DataFolder)
	f.checkAtLeast("announce_ms", int64(s.AnnounceIntervalMS), 1)
	f.checkOptionalAddress("metrics_address", s.MetricsAddress)
	f.checkAtLeast("memory_mb", int64(s.MemoryMB), 0)
	f.checkRollouts(s.Rollouts)
	f.checkAtLeast("caller_memory_mb", int64(s.CallerMemoryMB), 0)
	f.checkAtLeast("caller_connections", int64(s.CallerConnections), 0)
	return f.faults
}

func (s *Gateway) validate() []string {
	var f faultList
	f.checkInstance(s.Instance)
	f.checkAddress("caller_address", s.CallerAddress)
	f.checkAddress("ready_address", s.ReadyAddress)
	f.checkSeeds(s.Seeds)
	f.checkAtLeast("peer_port", int64(s.PeerPort), 1)
	f.checkAtLeast("announce_ms", int64(s.AnnounceIntervalMS), 1)
	f.checkOptionalAddress("metrics_address", s.MetricsAddress)
	f.checkAtLeast("memory_mb", int64(s.MemoryMB), 0)
	f.checkAtLeast("caller_memory_mb", int64(s.CallerMemoryMB), 0)
	f.checkAtLeast("caller_connections", int64(s.CallerConnections), 0)
	f.checkAtLeast("server_request_mb", int64(s.ServerRequestMB), 0)
	f.checkAtLeast("response_buffer_kb", int64(s.ResponseBufferKB), 1)
	f.checkPositive("grace_s", s.GracePeriodS)
	f.checkPositive("retry_window_s", s.RetryWindowS)
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		f.addf("retry_ratio, retry_slack: must not be negative")
	}
	f.checkRollouts(s.Rollouts)
	return f.faults
}

func (f *faultList) checkSeeds(seeds []string) {
	if len(seeds) == 0 {
		f.addf("seeds: must name at least one coordinator")
	}
	for _, seed := range seeds {
		f.checkAddress("seeds", seed)
	}
}

func (f *faultList) checkOptionalAddress(field, value string) {
	if value != "" {
		f.checkAddress(field, value)
	}
}

func (f *faultList) checkPositive(field string, value float64) {
	if value <= 0 {
		f.addf("%s: is %g, must be above 0", field, value)
	}
}

// PeerAddresses returns the peer addresses of coordinators with these operator addresses. All
// coordinators use the same port for peers. Malformed addresses are skipped.
func PeerAddresses(operatorAddresses []string, peerPort int) []string {
	var peerAddresses []string
	for _, address := range operatorAddresses {
		if addrPort, err := netip.ParseAddrPort(address); err == nil {
			peerAddresses = append(peerAddresses, netip.AddrPortFrom(addrPort.Addr(), uint16(peerPort)).String())
		}
	}
	return peerAddresses
}

// GroupSize returns the number of members of the control group of which ToleratedDisks may lose
// their disks while a majority remains.
func (s *Coordinator) GroupSize() int { return 2*s.ToleratedDisks + 1 }

// PeerSeeds returns the peer addresses of the seeds.
func (s *Coordinator) PeerSeeds() []string {
	addrPort, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	return PeerAddresses(s.Seeds, int(addrPort.Port()))
}

// PeerSeeds returns the peer addresses of the seeds.
func (s *Gateway) PeerSeeds() []string { return PeerAddresses(s.Seeds, s.PeerPort) }
