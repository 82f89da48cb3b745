package settings

import "net/netip"

// Coordinator holds the settings of a coordinator.
type Coordinator struct {
	// Instance says who and where the process is.
	Instance Instance `json:"instance"`
	// OperatorAddress serves operators and backend servers.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress serves our own processes.
	PeerAddress string `json:"peer_address"`
	// Seeds are operator addresses of coordinators, this one possibly included.
	// Their peer addresses have the port of PeerAddress.
	Seeds []string `json:"seeds"`
	// FirstStart is set when the whole deployment starts for the first time. The
	// seeds are the founding members then.
	FirstStart bool `json:"first_start"`
	// DataFolder keeps the log and the snapshots.
	DataFolder string `json:"data_folder"`
	// AnnounceMS is the interval of announcements of backend servers, in milliseconds.
	AnnounceMS int `json:"announce_ms"`
	// MetricsAddress serves metrics in the Prometheus format; empty means nowhere.
	MetricsAddress string `json:"metrics_address"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Instance says who and where the process is.
	Instance Instance `json:"instance"`
	// CallerAddress serves callers.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress answers the balancer.
	ReadyAddress string `json:"ready_address"`
	// PeerPort is the port at which coordinators serve our own processes.
	PeerPort int `json:"peer_port"`
	// Seeds are operator addresses of coordinators.
	Seeds []string `json:"seeds"`
	// AnnounceMS is the interval of announcements of backend servers, in milliseconds.
	AnnounceMS int `json:"announce_ms"`
	// GraceS is the time from a planned stop to its forced end, in seconds.
	GraceS float64 `json:"grace_s"`
	// RetryRatio, RetrySlack and RetryWindowS bound repeats by service: in a
	// window of RetryWindowS seconds RetrySlack ones, and RetryRatio per request.
	RetryRatio   float64 `json:"retry_ratio"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
	// MetricsAddress serves metrics in the Prometheus format; empty means nowhere.
	MetricsAddress string `json:"metrics_address"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
}

// DefaultCoordinator returns the defaults of a coordinator.
func DefaultCoordinator() Coordinator { return Coordinator{AnnounceMS: 1000} }

// DefaultGateway returns the defaults of a gateway.
func DefaultGateway() Gateway {
	return Gateway{AnnounceMS: 1000, GraceS: 10, RetryRatio: 0.2, RetrySlack: 30, RetryWindowS: 10}
}

// LoadCoordinator reads and checks the settings of a coordinator.
func LoadCoordinator(file string) (Coordinator, error) {
	s := DefaultCoordinator()
	if err := load(file, &s); err != nil {
		return s, err
	}
	return s, faultsOf(file, s.check())
}

// LoadGateway reads and checks the settings of a gateway.
func LoadGateway(file string) (Gateway, error) {
	s := DefaultGateway()
	if err := load(file, &s); err != nil {
		return s, err
	}
	return s, faultsOf(file, s.check())
}

func (s *Coordinator) check() []string {
	var f faultList
	f.instance(s.Instance)
	f.address("operator_address", s.OperatorAddress)
	f.address("peer_address", s.PeerAddress)
	f.seeds(s.Seeds)
	f.required("data_folder", s.DataFolder)
	f.atLeast("announce_ms", int64(s.AnnounceMS), 1)
	f.optionalAddress("metrics_address", s.MetricsAddress)
	f.atLeast("memory_mb", int64(s.MemoryMB), 0)
	return f.faults
}

func (s *Gateway) check() []string {
	var f faultList
	f.instance(s.Instance)
	f.address("caller_address", s.CallerAddress)
	f.address("ready_address", s.ReadyAddress)
	f.seeds(s.Seeds)
	f.atLeast("peer_port", int64(s.PeerPort), 1)
	f.atLeast("announce_ms", int64(s.AnnounceMS), 1)
	f.optionalAddress("metrics_address", s.MetricsAddress)
	f.atLeast("memory_mb", int64(s.MemoryMB), 0)
	f.positive("grace_s", s.GraceS)
	f.positive("retry_window_s", s.RetryWindowS)
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		f.addf("retry_ratio, retry_slack: must not be negative")
	}
	return f.faults
}

func (f *faultList) seeds(seeds []string) {
	if len(seeds) == 0 {
		f.addf("seeds: must name at least one coordinator")
	}
	for _, seed := range seeds {
		f.address("seeds", seed)
	}
}

func (f *faultList) optionalAddress(field, value string) {
	if value != "" {
		f.address(field, value)
	}
}

func (f *faultList) positive(field string, value float64) {
	if value <= 0 {
		f.addf("%s: is %g, must be above 0", field, value)
	}
}

// PeerAddresses returns the peer addresses of coordinators from their operator
// addresses; peers listen on the same port everywhere.
func PeerAddresses(operatorAddresses []string, peerPort int) []string {
	var out []string
	for _, a := range operatorAddresses {
		if ap, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, netip.AddrPortFrom(ap.Addr(), uint16(peerPort)).String())
		}
	}
	return out
}

// PeerSeeds returns the peer addresses of the seeds.
func (s *Coordinator) PeerSeeds() []string {
	ap, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	return PeerAddresses(s.Seeds, int(ap.Port()))
}

// PeerSeeds returns the peer addresses of the seeds.
func (s *Gateway) PeerSeeds() []string { return PeerAddresses(s.Seeds, s.PeerPort) }
