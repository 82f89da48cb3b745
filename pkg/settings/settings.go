// Package settings reads the settings of a process from a file of JSON with comments. All fields are
// validated before the process starts, so that one error reports all faults.
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

// Instance identifies a process and its location.
type Instance struct {
	// ID is unique among all instances of one role.
	ID string `json:"id"`
	// Region and DataCentre are the location of the instance.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// Peer is an entry in a list of instances.
type Peer struct {
	// ID and DataCentre are the identifier and the location of the listed instance.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is an IP address with a port.
	Address string `json:"address"`
}

// TLS names the files for mutual TLS between the deployment's processes. Either all three are set or
// none. Without them the connections are not protected, which is for tests only.
type TLS struct {
	// Certificate, Key and Authority are files in PEM format: the process's certificate, its private
	// key, and the certificates of the authority that signs peer certificates.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	// Instance identifies the process and its location.
	Instance Instance `json:"instance"`
	// CallerAddress is the listen address for callers and for announcements of backend servers.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the listen address for other processes of the deployment.
	PeerAddress string `json:"peer_address"`
	// PeerAdvertiseAddress is the address at which other instances reach this one; empty means
	// PeerAddress.
	PeerAdvertiseAddress string `json:"peer_advertise_address"`
	// AdminAddress is the listen address for metrics and health checks.
	AdminAddress string `json:"admin_address"`
	// Seeds are the entry instances that this one contacts to join their membership list.
	Seeds []Peer `json:"seeds"`
	// Control lists all control instances.
	Control []Peer `json:"control"`
	// DataFolder is the directory of the last received configuration; empty means that it is not
	// stored.
	DataFolder string `json:"data_folder"`
	// KeySecret is the secret that authenticates one-time keys. It must be the same at all entry
	// instances, because each of them accepts the keys that the others minted.
	KeySecret string `json:"key_secret"`
	// TLS protects the connections between the deployment's processes.
	TLS TLS `json:"tls"`
	// Policy is the queueing policy: "fair", or "fifo" as a baseline for comparison.
	Policy string `json:"policy"`
	// BalancerDelayMS is the time in milliseconds during which a planned stop still serves new
	// requests after readiness fails, until the load balancer has noticed.
	BalancerDelayMS int `json:"balancer_delay_ms"`
	// FinishTimeoutS bounds the wait for running requests during a planned stop, in seconds.
	FinishTimeoutS int `json:"finish_limit_s"`
	// MaxBodyBytes bounds the body of a caller's request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RecordBytes bounds the stream records held in memory, in bytes.
	RecordBytes int64 `json:"record_bytes"`
}

// Control holds the settings of a control instance.
type Control struct {
	// Instance identifies the process and its location.
	Instance Instance `json:"instance"`
	// PeerAddress is the listen address for other processes of the deployment.
	PeerAddress string `json:"peer_address"`
	// OperatorAddress is the listen address for operators, metrics and health checks.
	OperatorAddress string `json:"operator_address"`
	// Members lists all control instances, including this one.
	Members []Peer `json:"members"`
	// DataFolder is the directory of the consensus log and its snapshots.
	DataFolder string `json:"data_folder"`
	// Operators maps the names of operators to SHA-256 hashes of their keys, in hex.
	Operators map[string]string `json:"operators"`
	// TLS protects the connections between the deployment's processes.
	TLS TLS `json:"tls"`
	// HeartbeatIntervalMS is the interval of the leader's heartbeats, in milliseconds.
	HeartbeatIntervalMS int `json:"heartbeat_ms"`
	// ElectionTimeoutMS is the minimum time without a leader before an election starts, in
	// milliseconds.
	ElectionTimeoutMS int `json:"election_ms"`
	// CompactAfterEntries is the number of log entries after which a snapshot is written.
	CompactAfterEntries int `json:"compact_after"`
	// Entries lists entry instances of each data centre, through which backend servers are discovered;
	// empty means that no orders are sent to engines.
	Entries []Peer `json:"entries"`
	// LoadsPerSecond and LoadBurst limit the rate at which models are loaded from the store of model
	// weights: loads per second, and loads at once after a time without any.
	LoadsPerSecond float64 `json:"loads_per_second"`
	LoadBurst      int     `json:"load_burst"`
}

// DefaultEntry returns the default settings of an entry instance.
func DefaultEntry() Entry {
	return Entry{
		Policy: "fair", BalancerDelayMS: 2000, FinishTimeoutS: 900,
		MaxBodyBytes: 8 << 20, RecordBytes: 64 << 20,
	}
}

// DefaultControl returns the default settings of a control instance.
func DefaultControl() Control {
	return Control{HeartbeatIntervalMS: 100, ElectionTimeoutMS: 600, CompactAfterEntries: 1000, LoadsPerSecond: 1, LoadBurst: 4}
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

// LoadEntry reads the settings of an entry instance from a file and validates them.
func LoadEntry(file string) (Entry, error) {
	s := DefaultEntry()
	if err := loadFile(file, &s); err != nil {
		return s, err
	}
	return s, errorOf(file, s.validate())
}

// LoadControl reads the settings of a control instance from a file and validates them.
func LoadControl(file string) (Control, error) {
	s := DefaultControl()
	if err := loadFile(file, &s); err != nil {
		return s, err
	}
	return s, errorOf(file, s.validate())
}

func loadFile(file string, target any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Decode(file, content, target)
}

// Decode decodes JSON with comments into target and refuses unknown keys. Errors name the file, the
// line and the column.
func Decode(file string, content []byte, target any) error {
	plainJSON, err := hujson.Standardize(bytes.Clone(content))
	if err != nil {
		return eris.Errorf("%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plainJSON))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		line, column := lineColumn(plainJSON, decoder.InputOffset())
		return eris.Errorf("%s:%d:%d: %v", file, line, column, err)
	}
	if decoder.More() {
		line, column := lineColumn(plainJSON, decoder.InputOffset())
		return eris.Errorf("%s:%d:%d: unexpected text after the JSON value", file, line, column)
	}
	return nil
}

func lineColumn(content []byte, offset int64) (line, column int) {
	before := content[:min(offset, int64(len(content)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

func errorOf(file string, faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{File: file, Faults: faults}
}

// faultList collects the faults that the validation of settings finds.
type faultList struct{ faults []string }

func (f *faultList) addf(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *faultList) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.addf("%s: %q is not an IP address with a port", field, value)
	}
}

func (f *faultList) checkRequired(field, value string) {
	if value == "" {
		f.addf("%s: must be set", field)
	}
}

func (f *faultList) checkAtLeast(field string, value, minimum int64) {
	if value < minimum {
		f.addf("%s: is %d, must be at least %d", field, value, minimum)
	}
}

func (f *faultList) checkInstance(i Instance) {
	f.checkRequired("instance.id", i.ID)
	f.checkRequired("instance.region", i.Region)
	f.checkRequired("instance.data_centre", i.DataCentre)
}

func (f *faultList) checkPeers(field string, peers []Peer) {
	ids := map[string]bool{}
	for i, p := range peers {
		f.checkRequired(fmt.Sprintf("%s[%d].id", field, i), p.ID)
		f.checkAddress(fmt.Sprintf("%s[%d].address", field, i), p.Address)
		if ids[p.ID] {
			f.addf("%s[%d].id: %q is listed twice", field, i, p.ID)
		}
		ids[p.ID] = true
	}
}

func (f *faultList) checkTLS(t TLS) {
	fileCount := 0
	for _, file := range []string{t.Certificate, t.Key, t.Authority} {
		if file != "" {
			fileCount++
		}
	}
	if fileCount != 0 && fileCount != 3 {
		f.addf("tls: certificate, key and authority must be set together")
	}
}

func (s Entry) validate() []string {
	f := &faultList{}
	f.checkInstance(s.Instance)
	f.checkAddress("caller_address", s.CallerAddress)
	f.checkAddress("peer_address", s.PeerAddress)
	if s.PeerAdvertiseAddress != "" {
		f.checkAddress("peer_advertise_address", s.PeerAdvertiseAddress)
	}
	f.checkAddress("admin_address", s.AdminAddress)
	f.checkPeers("seeds", s.Seeds)
	f.checkPeers("control", s.Control)
	if len(s.Control) == 0 {
		f.addf("control: must list at least one control instance")
	}
	const minSecretBytes = 16
	if len(s.KeySecret) < minSecretBytes {
		f.addf("key_secret: must have at least %d bytes", minSecretBytes)
	}
	if s.Policy != "fair" && s.Policy != "fifo" {
		f.addf("policy: is %q, must be \"fair\" or \"fifo\"", s.Policy)
	}
	f.checkAtLeast("balancer_delay_ms", int64(s.BalancerDelayMS), 0)
	f.checkAtLeast("finish_limit_s", int64(s.FinishTimeoutS), 1)
	f.checkAtLeast("max_body_bytes", s.MaxBodyBytes, 1024)
	f.checkAtLeast("record_bytes", s.RecordBytes, 1<<20)
	f.checkTLS(s.TLS)
	return f.faults
}

// AdvertisedPeerAddress returns the address at which other instances reach this one.
func (s Entry) AdvertisedPeerAddress() string {
	if s.PeerAdvertiseAddress != "" {
		return s.PeerAdvertiseAddress
	}
	return s.PeerAddress
}

func (s Control) validate() []string {
	f := &faultList{}
	f.checkInstance(s.Instance)
	f.checkAddress("peer_address", s.PeerAddress)
	f.checkAddress("operator_address", s.OperatorAddress)
	f.checkPeers("members", s.Members)
	listed := false
	for _, m := range s.Members {
		listed = listed || m.ID == s.Instance.ID
	}
	if !listed {
		f.addf("members: must list this instance, %q", s.Instance.ID)
	}
	f.checkRequired("data_folder", s.DataFolder)
	f.checkAtLeast("heartbeat_ms", int64(s.HeartbeatIntervalMS), 10)
	f.checkAtLeast("election_ms", int64(s.ElectionTimeoutMS), 3*int64(s.HeartbeatIntervalMS))
	f.checkAtLeast("compact_after", int64(s.CompactAfterEntries), 10)
	f.checkPeers("entries", s.Entries)
	if !(s.LoadsPerSecond > 0) {
		f.addf("loads_per_second: is %g, must be above 0", s.LoadsPerSecond)
	}
	f.checkAtLeast("load_burst", int64(s.LoadBurst), 1)
	f.checkTLS(s.TLS)
	return f.faults
}

// Config returns the configuration for mutual TLS, or nil if no files are set.
func (t TLS) Config() (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load the TLS certificate %s with the key %s", t.Certificate, t.Key)
	}
	authorityPEM, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificates of the TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, eris.Errorf("%s contains no certificate", t.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		ServerName: peerServerName,
	}, nil
}

// peerServerName is the name in all peer certificates. They do not name addresses, because the
// addresses of instances may change.
const peerServerName = "geraniumpitch-peer"
