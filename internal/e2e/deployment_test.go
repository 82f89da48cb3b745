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

	"github.com/geraniumpitch/geraniumpitch/internal/faultproxy"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

const (
	// Deployments use the networks 127.N.0.0/16 with N from firstSubnet on.
	firstSubnet       = 30
	subnetCount       = 200
	operatorKey       = "operator-key"
	callerPort        = 8080
	peerPort          = 7000
	controlPort       = 7100
	operatorPort      = 7200
	adminPort         = 9090
	enginePort        = 9000
	servicePort       = 9100
	proxyHostOffset   = 100 // added to the host number of the process behind the proxy
	engineHostOffset  = 50
	serviceHostOffset = 80
	startTimeout      = 20 * time.Second
)

var dataCentres = []string{"a", "b", "c"}

// topology holds the number of processes of each role per data centre, and the
// settings of the processes.
type topology struct {
	entries, control, engines, services []int
	// idleEngines is the number of engines that start without a model.
	idleEngines []int
	// slots is the number of slots of each engine.
	slots int
	// tokenIntervalMS is the time between two tokens of an engine.
	tokenIntervalMS int
	tls             settings.TLS
	// editEntry changes the settings of each entry instance before its start.
	editEntry func(*settings.Entry)
}

// smallTopology has 2+2+1 entry instances, 1+1+1 control instances, 2+2+1 engines
// and one plain service. After the loss of three engines the remaining two still
// have slots for the 20 streams of a test, so that a pause in an output is due to
// recovery and not to queueing.
func smallTopology() topology {
	return topology{entries: []int{2, 2, 1}, control: []int{1, 1, 1}, engines: []int{2, 2, 1}, services: []int{1, 0, 0}, slots: 16, tokenIntervalMS: 20}
}

// instanceProcess is one entry or control instance with the fault proxy in front
// of its peer address.
type instanceProcess struct {
	*process
	id, dataCentre string
	ip             string
	proxy          *faultproxy.Proxy
	dataFolder     string
}

// backendServer is one stand-in engine or service. Only engines have a proxy.
type backendServer struct {
	*process
	id, dataCentre, address string
	proxy                   *faultproxy.Proxy
	// executionsFile is the file to which a service appends a line per execution.
	executionsFile string
}

// deployment is a complete set of running processes.
type deployment struct {
	t        testing.TB
	folder   string
	subnet   int
	topology topology
	entries  []*instanceProcess
	control  []*instanceProcess
	engines  []*backendServer
	services []*backendServer
	// version is the document version that the next proposed change is based on.
	version uint64
}

// startDeployment starts all processes, proposes the initial configuration and
// waits until every entry instance is ready and can start a generation.
func startDeployment(t testing.TB, layout topology) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), topology: layout, subnet: reserveSubnet(t)}
	d.createInstances()
	for _, c := range d.control {
		d.startControl(c)
	}
	d.propose("first", initialOps())
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.startBackendServers()
	for _, e := range d.entries {
		eventually(t, startTimeout, e.id+" is ready", func() error { return checkStatusOK(d.adminURL(e) + "/readyz") })
	}
	d.waitForEngines()
	return d
}

// reserveSubnet returns the N of a network 127.N.0.0/16 that no other deployment
// on this host uses. A listener on it reserves it until the end of the test.
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

// createInstances assigns the addresses of the entry and control instances and
// starts their fault proxies.
func (d *deployment) createInstances() {
	for dc, name := range dataCentres {
		for i := range d.topology.entries[dc] {
			ip := d.ip(dc, i+1)
			d.entries = append(d.entries, &instanceProcess{
				id: fmt.Sprintf("%s-%d", name, i+1), dataCentre: name, ip: ip,
				proxy: d.startProxy(fmt.Sprintf("%s:%d", d.ip(dc, proxyHostOffset+i+1), peerPort), fmt.Sprintf("%s:%d", ip, peerPort)),
			})
		}
		for i := range d.topology.control[dc] {
			ip := d.ip(dc, i+1)
			id := fmt.Sprintf("%s-c%d", name, i+1)
			d.control = append(d.control, &instanceProcess{
				id: id, dataCentre: name, ip: ip, dataFolder: filepath.Join(d.folder, "data-"+id),
				proxy: d.startProxy(fmt.Sprintf("%s:%d", d.ip(dc, proxyHostOffset+i+1), controlPort), fmt.Sprintf("%s:%d", ip, controlPort)),
			})
		}
	}
}

// peers returns the instances as settings list them, with the addresses of their
// fault proxies. The port is not used.
func (d *deployment) peers(instances []*instanceProcess, _ int) []settings.Peer {
	var peers []settings.Peer
	for _, instance := range instances {
		peers = append(peers, settings.Peer{ID: instance.id, DataCentre: instance.dataCentre, Address: instance.proxy.Address()})
	}
	return peers
}

// writeJSON writes a value to a file in the folder of the deployment and returns its path.
func (d *deployment) writeJSON(name string, value any) string {
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

func (d *deployment) startControl(c *instanceProcess) {
	s := settings.DefaultControl()
	s.Instance = settings.Instance{ID: c.id, Region: "r", DataCentre: c.dataCentre}
	s.PeerAddress = fmt.Sprintf("%s:%d", c.ip, controlPort)
	s.OperatorAddress = fmt.Sprintf("%s:%d", c.ip, operatorPort)
	s.Members = d.peers(d.control, controlPort)
	s.DataFolder = c.dataFolder
	s.TLS = d.topology.tls
	s.Entries = d.peers(d.entries, peerPort)
	s.Operators = map[string]string{"tester": document.HashKey(operatorKey)}
	c.process = startProcess(d.t, d.folder, c.id, "gp-control", "run", "-settings", d.writeJSON(c.id+".json", s))
}

func (d *deployment) startEntry(e *instanceProcess) {
	s := settings.DefaultEntry()
	s.Instance = settings.Instance{ID: e.id, Region: "r", DataCentre: e.dataCentre}
	s.CallerAddress = fmt.Sprintf("%s:%d", e.ip, callerPort)
	s.PeerAddress = fmt.Sprintf("%s:%d", e.ip, peerPort)
	s.PeerAdvertiseAddress = e.proxy.Address()
	s.AdminAddress = fmt.Sprintf("%s:%d", e.ip, adminPort)
	s.Seeds = d.peers(d.entries, peerPort)
	s.Control = d.peers(d.control, controlPort)
	s.KeySecret = "a secret of the failure tests"
	s.BalancerDelayMS = 300
	s.TLS = d.topology.tls
	s.FinishTimeoutS = 60
	if d.topology.editEntry != nil {
		d.topology.editEntry(&s)
	}
	e.process = startProcess(d.t, d.folder, e.id, "gp-entry", "run", "-settings", d.writeJSON(e.id+".json", s))
}

// callerURLs returns the caller URLs of all entry instances, those of the given
// data centre first.
func (d *deployment) callerURLs(dataCentre string) []string {
	var sameDataCentre, otherDataCentres []string
	for _, e := range d.entries {
		if e.dataCentre == dataCentre {
			sameDataCentre = append(sameDataCentre, callerURL(e))
		} else {
			otherDataCentres = append(otherDataCentres, callerURL(e))
		}
	}
	return append(sameDataCentre, otherDataCentres...)
}

func callerURL(e *instanceProcess) string { return fmt.Sprintf("http://%s:%d", e.ip, callerPort) }

func (d *deployment) adminURL(e *instanceProcess) string {
	return fmt.Sprintf("http://%s:%d", e.ip, adminPort)
}

func operatorURL(c *instanceProcess) string { return fmt.Sprintf("http://%s:%d", c.ip, operatorPort) }

// callOperatorAPI sends one request to a control instance and decodes the
// response body into result, unless result is nil. It returns the HTTP status,
// and an error for each status from 300.
func callOperatorAPI(c *instanceProcess, method, path string, body any, result any) (int, error) {
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
	if result != nil {
		if err := json.Unmarshal(raw, result); err != nil {
			return response.StatusCode, fmt.Errorf("%s: %w", raw, err)
		}
	}
	if response.StatusCode >= 300 {
		return response.StatusCode, fmt.Errorf("%s: %s", response.Status, raw)
	}
	return response.StatusCode, nil
}

// propose submits a change based on d.version to each control instance in turn
// until one of them accepts it.
func (d *deployment) propose(id string, ops []document.Op) {
	d.t.Helper()
	change := document.Change{ID: id, Operator: "tester", Base: d.version, Ops: ops}
	eventually(d.t, startTimeout, "change "+id+" is accepted", func() error {
		var err error
		for _, c := range d.control {
			if _, err = callOperatorAPI(c, http.MethodPost, "/v1/config/changes", change, nil); err == nil {
				return nil
			}
		}
		return err
	})
	d.version++
}

// newOp returns an operation that sets one item of a section to a value.
func newOp(section, name string, value any) document.Op {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return document.Op{Section: section, Name: name, Value: raw}
}

// initialOps returns the operations that add one model, one plain service and
// three organisations with the API keys "<name>-key".
func initialOps() []document.Op {
	allRanks := []string{document.Urgent, document.Patient}
	ops := []document.Op{
		newOp(document.SectionServices, "summary", document.Service{Kind: document.KindGeneration, MaxTokens: 4096}),
		newOp(document.SectionServices, "shop", document.Service{Kind: document.KindPlain, TimeoutMS: 3000}),
		newOp(document.SectionRanks, document.Urgent, document.Rank{FirstTokenTargetMS: 350, MaxWaitMS: 5000, QueuePerOrganisation: 100, FloorPercent: 50}),
		newOp(document.SectionRanks, document.Patient, document.Rank{FirstTokenTargetMS: 60000, MaxWaitMS: 600000, QueuePerOrganisation: 1000, FloorPercent: 10}),
		newOp(document.SectionPlacements, "all", document.PlacementRule{Services: []string{"summary", "shop"}}),
	}
	for _, name := range []string{"large", "small", "other"} {
		ops = append(ops, newOp(document.SectionOrganisations, name, document.Organisation{
			KeyHashes: []string{document.HashKey(name + "-key")}, Weight: 1, Ranks: allRanks,
		}))
	}
	return ops
}

// dataCentreMatcher returns a function that reports whether an address belongs
// to the data centre.
func (d *deployment) dataCentreMatcher(dataCentre string) func(netip.Addr) bool {
	for dc, name := range dataCentres {
		if name == dataCentre {
			prefix := netip.MustParsePrefix(fmt.Sprintf("127.%d.%d.0/24", d.subnet, dc+1))
			return prefix.Contains
		}
	}
	panic("unknown data centre " + dataCentre)
}

// startProxy starts a fault proxy that runs until the end of the test.
func (d *deployment) startProxy(address, target string) *faultproxy.Proxy {
	d.t.Helper()
	proxy, err := faultproxy.Start(address, target)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(proxy.Close)
	return proxy
}

// partition blocks all connections between a data centre and the others.
func (d *deployment) partition(dataCentre string) {
	inDataCentre := d.dataCentreMatcher(dataCentre)
	for _, instance := range append(append([]*instanceProcess{}, d.entries...), d.control...) {
		inside := instance.dataCentre == dataCentre
		instance.proxy.Block(func(source netip.Addr) bool { return inDataCentre(source) != inside })
	}
}

// healPartition ends a partition.
func (d *deployment) healPartition() {
	for _, instance := range append(append([]*instanceProcess{}, d.entries...), d.control...) {
		instance.proxy.Unblock()
	}
}
