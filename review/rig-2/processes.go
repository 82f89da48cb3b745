package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines.
const (
	frontPort   = 8740
	controlPort = 8748
	readyPort   = 8749
	peerPort    = 7200
	metricsPort = 9464
	serverPort  = 8080
)

// Bounds of a small deployment, as its settings have them.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	ackLimit    = 4 * time.Second
	drainTime   = 2 * time.Second
	recovery    = 12 * time.Second
	seedLag     = 3 * time.Second
	grace       = 8 * time.Second
	catchUp     = 4 * time.Second
)

// killSignal ends a process at once.
const killSignal = syscall.SIGKILL

var zones = []string{"tanta", "mansoura", "zagazig"}

// process is one of the project's own programs.
type process struct {
	name string
	cmd  *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// freeNetwork returns the first two bytes of loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(100))
		free := true
		for _, address := range []string{".1.1:7200", ".1.1:8748", ".1.2:7200", ".1.3:7200", ".1.4:7200", ".2.1:8740", ".2.2:8740", ".2.3:8740", ".3.1:8080"} {
			l, err := net.Listen("tcp", network+address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no loopback network with free ports")
}

func (r *rig) coreIP(i int) string   { return fmt.Sprintf("%s.1.%d", r.net, i) }
func (r *rig) edgeIP(i int) string   { return fmt.Sprintf("%s.2.%d", r.net, i) }
func (r *rig) serverIP(i int) string { return fmt.Sprintf("%s.3.%d", r.net, i) }

func (r *rig) control(i int) string { return fmt.Sprintf("%s:%d", r.coreIP(i), controlPort) }
func (r *rig) front(i int) string   { return fmt.Sprintf("%s:%d", r.edgeIP(i), frontPort) }
func (r *rig) ready(i int) string   { return fmt.Sprintf("%s:%d", r.edgeIP(i), readyPort) }

func (r *rig) seeds() []string {
	return []string{r.control(1), r.control(2), r.control(3)}
}

func coordinatorName(i int) string { return fmt.Sprintf("core-%d", i) }
func gatewayName(i int) string     { return fmt.Sprintf("edge-%d", i) }

// startCoordinator starts a coordinator with the settings that the template of its role gives.
func (r *rig) startCoordinator(i int, first bool) {
	r.startProcess(coordinatorName(i), "target/gp-coordinator", map[string]any{
		"instance":         map[string]any{"id": coordinatorName(i), "region": "delta", "data_centre": zones[(i-1)%3]},
		"operator_address": r.control(i), "peer_address": fmt.Sprintf("%s:%d", r.coreIP(i), peerPort), "seeds": r.seeds(),
		"first_start": first, "tolerated_disks": 1, "data_folder": filepath.Join(r.dir, coordinatorName(i), "data"),
		"announce_ms": heartbeat.Milliseconds(), "metrics_address": fmt.Sprintf("%s:%d", r.coreIP(i), metricsPort), "memory_mb": 280,
	})
}

// startGateway starts a gateway with the settings that the template of its role gives.
func (r *rig) startGateway(i int) {
	r.startProcess(gatewayName(i), "target/gp-gateway", map[string]any{
		"instance":       map[string]any{"id": gatewayName(i), "region": "delta", "data_centre": zones[(i-1)%3]},
		"caller_address": r.front(i), "ready_address": r.ready(i), "peer_port": peerPort, "seeds": r.seeds(),
		"announce_ms": heartbeat.Milliseconds(), "grace_s": grace.Seconds(), "retry_ratio": 0.8, "retry_slack": 150, "retry_window_s": 10,
		"metrics_address": fmt.Sprintf("%s:%d", r.edgeIP(i), metricsPort), "memory_mb": 284,
	})
}

func (r *rig) startProcess(name, program string, settings map[string]any) {
	folder := filepath.Join(r.dir, name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		panic(err)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	file := filepath.Join(folder, "node.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		panic(err)
	}
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer output.Close()
	cmd := exec.Command(program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GERANIUMPITCH_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	r.mu.Lock()
	r.procs[name] = p
	r.mu.Unlock()
	r.note("started %s", name)
	go func() {
		err := cmd.Wait()
		r.note("%s ended: %v", name, err)
		close(p.ended)
	}()
}

func (r *rig) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.procs[name]
}

// signal sends a signal to a process that the rig started.
func (r *rig) signal(name string, s syscall.Signal) {
	r.note("signal %q to %s", s.String(), name)
	_ = r.process(name).cmd.Process.Signal(s)
}

// kill kills a process and waits for its end.
func (r *rig) kill(name string) {
	r.signal(name, syscall.SIGKILL)
	<-r.process(name).ended
}

func (r *rig) killAll() {
	r.mu.Lock()
	procs := make([]*process, 0, len(r.procs))
	for _, p := range r.procs {
		procs = append(procs, p)
	}
	r.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		wait.Go(func() { <-p.ended })
	}
	wait.Wait()
}

// startAll starts three coordinators and some gateways for the first time.
func (r *rig) startAll(gateways int) {
	for i := 1; i <= 3; i++ {
		r.startCoordinator(i, true)
	}
	for i := 1; i <= gateways; i++ {
		r.startGateway(i)
	}
}
