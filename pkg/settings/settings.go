// Package settings reads the settings of a process: JSON with comments, checked
// as a whole before the process starts.
package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Instance says who and where a process is.
type Instance struct {
	// ID is unique among all instances of one role.
	ID string `json:"id"`
	// Region and DataCentre are where the instance is.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// Peer is another instance that is known from the settings.
type Peer struct {
	// ID and DataCentre are those of the other instance.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is an IP and a port.
	Address string `json:"address"`
}

// TLS names the files for mutual TLS between our processes. All three are set,
// or none, which is for trials only.
type TLS struct {
	// Certificate, Key and Authority are files in PEM format.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	// Instance says who and where the process is.
	Instance Instance `json:"instance"`
	// CallerAddress serves callers and announcements of backend servers.
	CallerAddress string `json:"caller_address"`
	// PeerAddress serves our own processes.
	PeerAddress string `json:"peer_address"`
	// PeerAdvertiseAddress is told to other instances; empty means PeerAddress.
	PeerAdvertiseAddress string `json:"peer_advertise_address"`
	// AdminAddress serves metrics and health.
	AdminAddress string `json:"admin_address"`
	// Seeds are entry instances to join through.
	Seeds []Peer `json:"seeds"`
	// Control lists the control instances.
	Control []Peer `json:"control"`
	// DataFolder keeps the last configuration; empty means no disk.
	DataFolder string `json:"data_folder"`
	// KeySecret authenticates one-time keys; the same at all entry instances.
	KeySecret string `json:"key_secret"`
	// TLS protects the connections between our own processes.
	TLS TLS `json:"tls"`
	// Policy is "fair" or, as the baseline, "fifo".
	Policy string `json:"policy"`
	// BalancerDelayMS is how long new requests are served after readiness fails.
	BalancerDelayMS int `json:"balancer_delay_ms"`
	// FinishLimitS bounds the wait for running requests at a planned stop, in seconds.
	FinishLimitS int `json:"finish_limit_s"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RecordBytes bounds the stream records kept in memory.
	RecordBytes int64 `json:"record_bytes"`
}

// Control holds the settings of a control instance.
type Control struct {
	// Instance says who and where the process is.
	Instance Instance `json:"instance"`
	// PeerAddress serves our own processes.
	PeerAddress string `json:"peer_address"`
	// OperatorAddress serves operators, metrics and health.
	OperatorAddress string `json:"operator_address"`
	// Members lists all control instances, this one included.
	Members []Peer `json:"members"`
	// DataFolder keeps the log and the snapshots.
	DataFolder string `json:"data_folder"`
	// Operators maps names to SHA-256 hashes of their keys, in hex.
	Operators map[string]string `json:"operators"`
	// TLS protects the connections between our own processes.
	TLS TLS `json:"tls"`
	// HeartbeatMS is the interval of the leader's heartbeats.
	HeartbeatMS int `json:"heartbeat_ms"`
	// ElectionMS is the least time without a leader before an election.
	ElectionMS int `json:"election_ms"`
	// CompactAfter is the number of log entries after which a snapshot is written.
	CompactAfter int `json:"compact_after"`
	// Entries lists entry instances of each data centre through which backend
	// servers are found; empty means that no orders are given.
	Entries []Peer `json:"entries"`
	// LoadsPerSecond and LoadBurst limit loads of models from the weight store.
	LoadsPerSecond float64 `json:"loads_per_second"`
	LoadBurst      int     `json:"load_burst"`
}

// DefaultEntry returns the defaults of an entry instance.
func DefaultEntry() Entry {
	return Entry{
		Policy: "fair", BalancerDelayMS: 2000, FinishLimitS: 900,
		MaxBodyBytes: 8 << 20, RecordBytes: 64 << 20,
	}
}

// DefaultControl returns the defaults of a control instance.
func DefaultControl() Control {
	return Control{HeartbeatMS: 100, ElectionMS: 600, CompactAfter: 1000, LoadsPerSecond: 1, LoadBurst: 4}
}

// FaultsError lists all faults of a settings file.
type FaultsError struct {
	File   string
	Faults []string
}

// Error implements error.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%s: %d faults:\n  %s", e.File, len(e.Faults), strings.Join(e.Faults, "\n  "))
}

// LoadEntry reads and checks the settings of an entry instance.
func LoadEntry(file string) (Entry, error) {
	s := DefaultEntry()
	if err := load(file, &s); err != nil {
		return s, err
	}
	return s, faultsOf(file, s.check())
}

// LoadControl reads and checks the settings of a control instance.
func LoadControl(file string) (Control, error) {
	s := DefaultControl()
	if err := load(file, &s); err != nil {
		return s, err
	}
	return s, faultsOf(file, s.check())
}

func load(file string, into any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Decode(file, raw, into)
}

// Decode decodes JSON with comments and refuses unknown keys. Errors name line
// and column.
func Decode(file string, raw []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return eris.Errorf("%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		line, column := position(standard, decoder.InputOffset())
		return eris.Errorf("%s:%d:%d: %v", file, line, column, err)
	}
	if decoder.More() {
		line, column := position(standard, decoder.InputOffset())
		return eris.Errorf("%s:%d:%d: text after the end of the value", file, line, column)
	}
	return nil
}

func position(raw []byte, offset int64) (line, column int) {
	before := raw[:min(offset, int64(len(raw)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

func faultsOf(file string, faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{File: file, Faults: faults}
}

// faultList collects faults of settings.
type faultList struct{ faults []string }

func (f *faultList) addf(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *faultList) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.addf("%s: %q is not an IP address with a port", field, value)
	}
}

func (f *faultList) required(field, value string) {
	if value == "" {
		f.addf("%s: must be set", field)
	}
}

func (f *faultList) atLeast(field string, value, low int64) {
	if value < low {
		f.addf("%s: is %d, must be at least %d", field, value, low)
	}
}

func (f *faultList) instance(i Instance) {
	f.required("instance.id", i.ID)
	f.required("instance.region", i.Region)
	f.required("instance.data_centre", i.DataCentre)
}

func (f *faultList) peers(field string, peers []Peer) {
	seen := map[string]bool{}
	for i, p := range peers {
		f.required(fmt.Sprintf("%s[%d].id", field, i), p.ID)
		f.address(fmt.Sprintf("%s[%d].address", field, i), p.Address)
		if seen[p.ID] {
			f.addf("%s[%d].id: %q is listed twice", field, i, p.ID)
		}
		seen[p.ID] = true
	}
}

func (f *faultList) tls(t TLS) {
	set := 0
	for _, file := range []string{t.Certificate, t.Key, t.Authority} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		f.addf("tls: certificate, key and authority must be set together")
	}
}

func (e Entry) check() []string {
	f := &faultList{}
	f.instance(e.Instance)
	f.address("caller_address", e.CallerAddress)
	f.address("peer_address", e.PeerAddress)
	if e.PeerAdvertiseAddress != "" {
		f.address("peer_advertise_address", e.PeerAdvertiseAddress)
	}
	f.address("admin_address", e.AdminAddress)
	f.peers("seeds", e.Seeds)
	f.peers("control", e.Control)
	if len(e.Control) == 0 {
		f.addf("control: must list at least one control instance")
	}
	const minSecretBytes = 16
	if len(e.KeySecret) < minSecretBytes {
		f.addf("key_secret: must have at least %d bytes", minSecretBytes)
	}
	if e.Policy != "fair" && e.Policy != "fifo" {
		f.addf("policy: is %q, must be \"fair\" or \"fifo\"", e.Policy)
	}
	f.atLeast("balancer_delay_ms", int64(e.BalancerDelayMS), 0)
	f.atLeast("finish_limit_s", int64(e.FinishLimitS), 1)
	f.atLeast("max_body_bytes", e.MaxBodyBytes, 1024)
	f.atLeast("record_bytes", e.RecordBytes, 1<<20)
	f.tls(e.TLS)
	return f.faults
}

// AdvertisedPeerAddress returns the address at which others reach this instance.
func (e Entry) AdvertisedPeerAddress() string {
	if e.PeerAdvertiseAddress != "" {
		return e.PeerAdvertiseAddress
	}
	return e.PeerAddress
}

func (c Control) check() []string {
	f := &faultList{}
	f.instance(c.Instance)
	f.address("peer_address", c.PeerAddress)
	f.address("operator_address", c.OperatorAddress)
	f.peers("members", c.Members)
	found := false
	for _, m := range c.Members {
		found = found || m.ID == c.Instance.ID
	}
	if !found {
		f.addf("members: must list this instance, %q", c.Instance.ID)
	}
	f.required("data_folder", c.DataFolder)
	f.atLeast("heartbeat_ms", int64(c.HeartbeatMS), 10)
	f.atLeast("election_ms", int64(c.ElectionMS), 3*int64(c.HeartbeatMS))
	f.atLeast("compact_after", int64(c.CompactAfter), 10)
	f.peers("entries", c.Entries)
	if !(c.LoadsPerSecond > 0) {
		f.addf("loads_per_second: is %g, must be above 0", c.LoadsPerSecond)
	}
	f.atLeast("load_burst", int64(c.LoadBurst), 1)
	f.tls(c.TLS)
	return f.faults
}

// Config returns the configuration for mutual TLS, or nil when no files are set.
func (t TLS) Config() (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate")
	}
	authority, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "read the TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Errorf("%s holds no certificate", t.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		ServerName: peerServerName,
	}, nil
}

// peerServerName is the name that peer certificates carry: addresses of
// instances may change, so certificates do not name them.
const peerServerName = "geraniumpitch-peer"
