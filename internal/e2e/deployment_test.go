package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

const (
	firstSubnet   = 30
	subnetCount   = 200
	operatorKey   = "operator-key"
	callerPort    = 8080
	peerPort      = 7000
	controlPort   = 7100
	operatorPort  = 7200
	adminPort     = 9090
	enginePort    = 9000
	servicePort   = 9100
	relayHost     = 100 // added to the host number of the relayed instance
	engineHost    = 50
	serviceHost   = 80
	startDeadline = 20 * time.Second
)

var dataCentres = []string{"a", "b", "c"}

// shape says how many processes of each role a deployment has per data centre.
type shape struct {
	entries, control, engines, services []int
	// idle is the number of engines that start without a model.
	idle  []int
	slots int
	// tokenInterval is the time between tokens of the engines, in milliseconds.
	tokenInterval int
	tls           settings.TLS
	// edit changes the settings of entry instances before the start.
	edit func(*settings.Entry)
}

// small is 2+2+1 entry instances, 1+1+1 control instances, 2+2+1 engines and
// one plain service. After the loss of three engines the other two still have
// slots for the 20 streams of a test, so that a pause is recovery, not queueing.
func small() shape {
	return shape{entries: []int{2, 2, 1}, control: []int{1, 1, 1}, engines: []int{2, 2, 1}, services: []int{1, 0, 0}, slots: 16, tokenInterval: 20}
}

// node is one entry or control instance with the relay before it.
type node struct {
	*process
	id, dataCentre string
	ip             string
	relay          *relay
	dataFolder     string
}

// backend is one stand-in engine or service.
type backend struct {
	*process
	id, dataCentre, address string
	relay                   *relay
	// executions is the file in which a service records what it ran.
	executions string
}

type deployment struct {
	t        testing.TB
	folder   string
	subnet   int
	shape    shape
	entries  []*node
	control  []*node
	engines  []*backend
	services []*backend
	version  uint64
}

// startDeployment starts all processes, proposes the first configuration and
// waits until every entry instance is ready.
func startDeployment(t testing.TB, s shape) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), shape: s, subnet: reserveSubnet(t)}
	d.layOut()
	for _, c := range d.control {
		d.startControl(c)
	}
	d.propose("first", firstDocument())
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.startBackends()
	for _, e := range d.entries {
		eventually(t, startDeadline, e.id+" is ready", func() error { return getOK(d.adminURL(e) + "/readyz") })
	}
	d.waitForEngines()
	return d
}

// reserveSubnet returns a network 127.N.0.0/16 that no other deployment on this
// machine uses; a listener on it is the reservation.
func reserveSubnet(t testing.TB) int {
	t.Helper()
	for range 10 * subnetCount {
		subnet := firstSubnet + rand.IntN(subnetCount)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", subnet, peerPort))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = listener.Close() })
		return subnet
	}
	t.Fatal("no free loopback network")
	return 0
}

func (d *deployment) ip(dc, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, dc+1, host)
}

func (d *deployment) layOut() {
	for dc, name := range dataCentres {
		for i := range d.shape.entries[dc] {
			ip := d.ip(dc, i+1)
			d.entries = append(d.entries, &node{
				id: fmt.Sprintf("%s-%d", name, i+1), dataCentre: name, ip: ip,
				relay: startRelay(d.t, fmt.Sprintf("%s:%d", d.ip(dc, relayHost+i+1), peerPort), fmt.Sprintf("%s:%d", ip, peerPort)),
			})
		}
		for i := range d.shape.control[dc] {
			ip := d.ip(dc, i+1)
			id := fmt.Sprintf("%s-c%d", name, i+1)
			d.control = append(d.control, &node{
				id: id, dataCentre: name, ip: ip, dataFolder: filepath.Join(d.folder, "data-"+id),
				relay: startRelay(d.t, fmt.Sprintf("%s:%d", d.ip(dc, relayHost+i+1), controlPort), fmt.Sprintf("%s:%d", ip, controlPort)),
			})
		}
	}
}

func (d *deployment) peers(list []*node, port int) []settings.Peer {
	var peers []settings.Peer
	for _, i := range list {
		peers = append(peers, settings.Peer{ID: i.id, DataCentre: i.dataCentre, Address: i.relay.listener.Addr().String()})
	}
	return peers
}

func (d *deployment) write(name string, value any) string {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.folder, name)
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

func (d *deployment) startControl(c *node) {
	s := settings.DefaultControl()
	s.Instance = settings.Instance{ID: c.id, Region: "r", DataCentre: c.dataCentre}
	s.PeerAddress = fmt.Sprintf("%s:%d", c.ip, controlPort)
	s.OperatorAddress = fmt.Sprintf("%s:%d", c.ip, operatorPort)
	s.Members = d.peers(d.control, controlPort)
	s.DataFolder = c.dataFolder
	s.TLS = d.shape.tls
	s.Entries = d.peers(d.entries, peerPort)
	s.Operators = map[string]string{"tester": document.HashKey(operatorKey)}
	c.process = startProcess(d.t, d.folder, c.id, "gp-control", "run", "-settings", d.write(c.id+".json", s))
}

func (d *deployment) startEntry(e *node) {
	s := settings.DefaultEntry()
	s.Instance = settings.Instance{ID: e.id, Region: "r", DataCentre: e.dataCentre}
	s.CallerAddress = fmt.Sprintf("%s:%d", e.ip, callerPort)
	s.PeerAddress = fmt.Sprintf("%s:%d", e.ip, peerPort)
	s.PeerAdvertiseAddress = e.relay.listener.Addr().String()
	s.AdminAddress = fmt.Sprintf("%s:%d", e.ip, adminPort)
	s.Seeds = d.peers(d.entries, peerPort)
	s.Control = d.peers(d.control, controlPort)
	s.KeySecret = "a secret of the failure tests"
	s.BalancerDelayMS = 300
	s.TLS = d.shape.tls
	s.FinishLimitS = 60
	if d.shape.edit != nil {
		d.shape.edit(&s)
	}
	e.process = startProcess(d.t, d.folder, e.id, "gp-entry", "run", "-settings", d.write(e.id+".json", s))
}

// callerURLs returns the entry instances of a data centre first, then the others.
func (d *deployment) callerURLs(dataCentre string) []string {
	var first, rest []string
	for _, e := range d.entries {
		if e.dataCentre == dataCentre {
			first = append(first, callerURL(e))
		} else {
			rest = append(rest, callerURL(e))
		}
	}
	return append(first, rest...)
}

func callerURL(e *node) string { return fmt.Sprintf("http://%s:%d", e.ip, callerPort) }

func (d *deployment) adminURL(e *node) string { return fmt.Sprintf("http://%s:%d", e.ip, adminPort) }

func operatorURL(c *node) string { return fmt.Sprintf("http://%s:%d", c.ip, operatorPort) }

// operatorCall sends one request to a control instance and decodes the answer.
func operatorCall(c *node, method, path string, body any, into any) (int, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, operatorURL(c)+path, reader)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	if into != nil {
		if err := json.Unmarshal(raw, into); err != nil {
			return response.StatusCode, fmt.Errorf("%s: %w", raw, err)
		}
	}
	if response.StatusCode >= 300 {
		return response.StatusCode, fmt.Errorf("%s: %s", response.Status, raw)
	}
	return response.StatusCode, nil
}

// propose sends a change that makes the whole document the wanted one, at each
// control instance in turn until one accepts.
func (d *deployment) propose(id string, ops []document.Op) {
	d.t.Helper()
	change := document.Change{ID: id, Operator: "tester", Base: d.version, Ops: ops}
	eventually(d.t, startDeadline, "change "+id+" is accepted", func() error {
		var err error
		for _, c := range d.control {
			if _, err = operatorCall(c, http.MethodPost, "/v1/config/changes", change, nil); err == nil {
				return nil
			}
		}
		return err
	})
	d.version++
}

func op(section, name string, value any) document.Op {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return document.Op{Section: section, Name: name, Value: raw}
}

// firstDocument has one model, one plain service and three organisations whose
// keys are "<name>-key".
func firstDocument() []document.Op {
	both := []string{document.Urgent, document.Patient}
	ops := []document.Op{
		op(document.SectionServices, "summary", document.Service{Kind: document.Generation, MaxTokens: 4096}),
		op(document.SectionServices, "shop", document.Service{Kind: document.Plain, TimeoutMS: 3000}),
		op(document.SectionRanks, document.Urgent, document.Rank{FirstTokenTargetMS: 350, MaxWaitMS: 5000, QueuePerOrganisation: 100, FloorPercent: 50}),
		op(document.SectionRanks, document.Patient, document.Rank{FirstTokenTargetMS: 60000, MaxWaitMS: 600000, QueuePerOrganisation: 1000, FloorPercent: 10}),
		op(document.SectionPlacements, "all", document.Placement{Services: []string{"summary", "shop"}}),
	}
	for _, name := range []string{"large", "small", "other"} {
		ops = append(ops, op(document.SectionOrganisations, name, document.Organisation{
			KeyHashes: []string{document.HashKey(name + "-key")}, Weight: 1, Ranks: both,
		}))
	}
	return ops
}

// control network faults

func (d *deployment) inDataCentre(dataCentre string) func(netip.Addr) bool {
	for dc, name := range dataCentres {
		if name == dataCentre {
			prefix := netip.MustParsePrefix(fmt.Sprintf("127.%d.%d.0/24", d.subnet, dc+1))
			return prefix.Contains
		}
	}
	panic("unknown data centre " + dataCentre)
}

// cutOff separates a data centre from the others.
func (d *deployment) cutOff(dataCentre string) {
	in := d.inDataCentre(dataCentre)
	for _, i := range append(append([]*node{}, d.entries...), d.control...) {
		inside := i.dataCentre == dataCentre
		i.relay.cut(func(source netip.Addr) bool { return in(source) != inside })
	}
}

func (d *deployment) healAll() {
	for _, i := range append(append([]*node{}, d.entries...), d.control...) {
		i.relay.heal()
	}
}
