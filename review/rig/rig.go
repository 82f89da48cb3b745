// Package rig starts a small deployment of gateways and coordinators as separate processes on loopback
// addresses, for the cases of the review. Clients, the operator and the backend servers are stand-ins.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Values of a small deployment, as in the settings example of the users' pages.
const (
	HeartbeatMS         = 1200
	GraceS              = 8
	ConfigApply         = 2 * time.Second
	GatewayMemoryMB     = 284
	CoordinatorMemoryMB = 280
	toleratedDisks      = 1
)

// homeZone is the zone of all gateways and coordinators, and of the servers for which no other one is given.
const homeZone = "quimper"

// maxDuration bounds a run; cases may take 120 seconds.
const maxDuration = 116 * time.Second

// Rig is one deployment in a temporary folder.
type Rig struct {
	Coordinators, Gateways int

	repository, folder, network string
	port                        int
	record                      *os.File
	startedAt                   time.Time

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// New returns a rig whose record goes to the file that RECORD names. It exits with NotRun if the
// deployment was not built.
func New(coordinators, gateways int) *Rig {
	repository, err := os.Getwd()
	if err != nil {
		fatal(err)
	}
	file := os.Getenv("RECORD")
	if file == "" {
		fatal(errors.New("RECORD is not set; use run.sh"))
	}
	record, err := os.Create(file)
	if err != nil {
		fatal(err)
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	r := &Rig{
		Coordinators: coordinators, Gateways: gateways, repository: repository, folder: temporary, record: record,
		startedAt: time.Now(), processes: map[string]*process{},
	}
	for _, name := range []string{"gp-gateway", "gp-coordinator"} {
		if _, err := os.Stat(filepath.Join(repository, "target", name)); err != nil {
			fatal(err)
		}
	}
	r.chooseAddresses()
	time.AfterFunc(maxDuration, func() { r.Abort(fmt.Errorf("it takes longer than %s", maxDuration)) })
	return r
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(NotRun)
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// chooseAddresses draws a loopback network and a port that are free on all addresses.
func (r *Rig) chooseAddresses() {
	const firstPort, portCount, ports = 20000, 10000, 4
	for range 100 {
		r.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		r.port = firstPort + rand.IntN(portCount)
		free := true
		for i := 1; i <= max(r.Coordinators, r.Gateways)+10 && free; i++ {
			for _, host := range []string{r.coordinatorIP(i), r.gatewayIP(i)} {
				for p := range ports {
					l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, r.port+p))
					if err != nil {
						free = false
						break
					}
					_ = l.Close()
				}
			}
		}
		if free {
			return
		}
	}
	fatal(errors.New("no free ports"))
}

func (r *Rig) coordinatorIP(i int) string { return fmt.Sprintf("%s.%d", r.network, i) }
func (r *Rig) gatewayIP(i int) string     { return fmt.Sprintf("%s.%d", r.network, 100+i) }

// Control returns the address at which a coordinator serves operators and backend servers.
func (r *Rig) Control(i int) string { return fmt.Sprintf("%s:%d", r.coordinatorIP(i), r.port) }

// Front returns the address at which a gateway serves clients.
func (r *Rig) Front(i int) string { return fmt.Sprintf("%s:%d", r.gatewayIP(i), r.port) }

// Ready returns the address of a gateway's readiness checks.
func (r *Rig) Ready(i int) string { return fmt.Sprintf("%s:%d", r.gatewayIP(i), r.port+1) }

// CoordinatorName and GatewayName are the names of the processes.
func CoordinatorName(i int) string { return fmt.Sprintf("coordinator-%d", i) }

// GatewayName is the name of a gateway's process.
func GatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// Logf writes a line with the time since the start to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// StartCoordinator starts a coordinator with the settings that the deployment's template gives it.
func (r *Rig) StartCoordinator(i int, firstStart bool) {
	var seeds []string
	for s := 1; s <= min(3, r.Coordinators); s++ {
		seeds = append(seeds, r.Control(s))
	}
	r.start(CoordinatorName(i), "gp-coordinator", map[string]any{
		"instance":         map[string]any{"id": CoordinatorName(i), "region": "bretagne", "data_centre": homeZone},
		"operator_address": r.Control(i), "peer_address": fmt.Sprintf("%s:%d", r.coordinatorIP(i), r.port+2), "seeds": seeds,
		"first_start": firstStart, "tolerated_disks": toleratedDisks, "data_folder": filepath.Join(r.folder, fmt.Sprint("data-", i)),
		"announce_ms": HeartbeatMS, "metrics_address": fmt.Sprintf("%s:%d", r.coordinatorIP(i), r.port+3), "memory_mb": CoordinatorMemoryMB,
	})
}

// StartGateway starts a gateway with the settings that the deployment's template gives it.
func (r *Rig) StartGateway(i int) {
	var seeds []string
	for s := 1; s <= min(3, r.Coordinators); s++ {
		seeds = append(seeds, r.Control(s))
	}
	r.start(GatewayName(i), "gp-gateway", map[string]any{
		"instance":       map[string]any{"id": GatewayName(i), "region": "bretagne", "data_centre": homeZone},
		"caller_address": r.Front(i), "ready_address": r.Ready(i), "peer_port": r.port + 2, "seeds": seeds,
		"announce_ms": HeartbeatMS, "grace_s": GraceS, "retry_ratio": 0.8, "retry_slack": 150, "retry_window_s": 10,
		"metrics_address": fmt.Sprintf("%s:%d", r.gatewayIP(i), r.port+3), "memory_mb": GatewayMemoryMB,
	})
}

// start starts a program with the command of the deploy file.
func (r *Rig) start(name, binary string, settings map[string]any) {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		r.Abort(err)
	}
	file := filepath.Join(r.folder, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		r.Abort(err)
	}
	output, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.Abort(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(filepath.Join(r.repository, "target", binary), "run")
	command.Dir = r.repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMPITCH_SETTINGS=" + file}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		r.Abort(err)
	}
	p := &process{command: command, done: make(chan struct{})}
	r.mu.Lock()
	r.processes[name] = p
	r.mu.Unlock()
	r.Logf("start %s", name)
	go func() {
		err := command.Wait()
		r.Logf("end of %s: %v", name, err)
		close(p.done)
	}()
}

// Signal sends a signal to a process that the rig started.
func (r *Rig) Signal(name string, signal syscall.Signal) {
	r.mu.Lock()
	p := r.processes[name]
	r.mu.Unlock()
	if p == nil {
		return
	}
	r.Logf("signal %v to %s", signal, name)
	_ = p.command.Process.Signal(signal)
}

// Kill kills processes at the same moment and waits for their end.
func (r *Rig) Kill(names ...string) {
	for _, name := range names {
		r.Signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		r.Wait(name)
	}
}

// Wait waits for the end of a process.
func (r *Rig) Wait(name string) {
	r.mu.Lock()
	p := r.processes[name]
	r.mu.Unlock()
	if p != nil {
		<-p.done
	}
}

// ResidentMB returns the resident memory of a process in megabytes, 0 if it has ended.
func (r *Rig) ResidentMB(name string) int {
	r.mu.Lock()
	p := r.processes[name]
	r.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// ProcessLog returns what a process has written to its log so far.
func (r *Rig) ProcessLog(name string) string {
	data, err := os.ReadFile(filepath.Join(r.folder, name+".log"))
	if err != nil {
		r.Abort(err)
	}
	return string(data)
}

// Abort ends the case as not run.
func (r *Rig) Abort(err error) {
	r.Logf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	r.end(NotRun)
}

// Finish ends all processes and exits with Broken if a rule was broken, Held otherwise.
func (r *Rig) Finish(broken bool, verdict string) {
	r.Logf("verdict: %s", verdict)
	fmt.Println(verdict)
	if broken {
		r.end(Broken)
	}
	r.end(Held)
}

func (r *Rig) end(code int) {
	r.mu.Lock()
	processes := make([]*process, 0, len(r.processes))
	for _, p := range r.processes {
		processes = append(processes, p)
	}
	r.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("kept", r.folder)
	}
	_ = r.record.Close()
	os.Exit(code)
}

// Call sends a request without following redirects and returns the status and the body.
func Call(method, url, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// Replace sends a configuration once to a coordinator, as an operator does.
func (r *Rig) Replace(coordinator int, name, config string, timeout time.Duration) bool {
	status, _, err := Call(http.MethodPost, "http://"+r.Control(coordinator)+"/v1/Config.Replace", config, timeout)
	r.Logf("operator: %s to coordinator %d: status %d, error %v", name, coordinator, status, err)
	return err == nil && status == http.StatusOK
}

// ReplaceUntil sends a configuration to one coordinator after the other until one acknowledges it.
func (r *Rig) ReplaceUntil(name, config string, timeout, limit time.Duration) bool {
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		if r.Replace(1+i%r.Coordinators, name, config, timeout) {
			return true
		}
		time.Sleep(min(time.Second, time.Duration(1+i)*100*time.Millisecond))
	}
	return false
}

// Read reads the configuration back from a coordinator; it is empty if there is no clear answer.
func (r *Rig) Read(coordinator int) string {
	status, body, err := Call(http.MethodGet, "http://"+r.Control(coordinator)+"/v1/Config.Read", "", 2*time.Second)
	if err != nil || status != http.StatusOK {
		return ""
	}
	return body
}

// Eventually calls check until it returns true, or ends the case as not run.
func (r *Rig) Eventually(what string, limit time.Duration, check func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	r.Abort(fmt.Errorf("timeout: %s", what))
}

// IsLeader reports whether the last change of role in a coordinator's log says that it leads.
func (r *Rig) IsLeader(i int) bool {
	log := r.ProcessLog(CoordinatorName(i))
	at := strings.LastIndex(log, `"consensus role changed"`)
	if at < 0 {
		return false
	}
	line, _, _ := strings.Cut(log[at:], "\n")
	return strings.Contains(line, `"role":"leader"`)
}
