// Package rig3 starts gateways and coordinators as separate processes, with the commands of the deploy file, for the cases
// of an independent review. It writes what it sees to a record.
package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	// Held means that the rule held.
	Held = 0
	// Broken means that the rule was broken.
	Broken = 1
	// NotRun means that the case could not run.
	NotRun = 2
)

// Rig is one deployment on loopback addresses. Each machine has an address of its own.
type Rig struct {
	// Dir holds the settings, data folders and logs.
	Dir    string
	bin    string
	prefix string
	port   int
	zones  []string
	seeds  []string

	began  time.Time
	mu     sync.Mutex
	record io.Writer
	procs  map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// New returns a rig without processes. TARGET names the folder of the built programs.
func New(record io.Writer, zones ...string) (*Rig, error) {
	bin := os.Getenv("TARGET")
	if bin == "" {
		return nil, errors.New("TARGET is not set")
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &Rig{
		Dir: dir, bin: bin, prefix: fmt.Sprintf("127.%d.%d.", 64+pid>>8&0x3f, pid&0xff), port: 21000, zones: zones,
		began: time.Now(), record: record, procs: map[string]*process{},
	}
	for i := 1; i <= 3; i++ {
		r.seeds = append(r.seeds, r.Operator(i))
	}
	return r, nil
}

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// IP returns the address of a machine by its number.
func (r *Rig) IP(machine int) string { return fmt.Sprintf("%s%d", r.prefix, machine) }

// Operator returns the address of coordinator i for operators and replicas.
func (r *Rig) Operator(i int) string { return fmt.Sprintf("%s:%d", r.IP(i), r.port) }

// Front returns the address of gateway i for requesters.
func (r *Rig) Front(i int) string { return fmt.Sprintf("%s:%d", r.IP(20+i), r.port) }

// Ready returns the address of gateway i for readiness checks.
func (r *Rig) Ready(i int) string { return fmt.Sprintf("%s:%d", r.IP(20+i), r.port+1) }

func (r *Rig) zone(i int) string { return r.zones[(i-1)%len(r.zones)] }

// DataDir returns the data folder of a coordinator.
func (r *Rig) DataDir(i int) string { return filepath.Join(r.Dir, fmt.Sprintf("data-%d", i)) }

// Coordinator starts coordinator i.
func (r *Rig) Coordinator(i int, firstStart bool) error {
	return r.start(fmt.Sprintf("core-%d", i), "gp-coordinator", map[string]any{
		"instance":         map[string]any{"id": fmt.Sprintf("core-%d", i), "region": "r", "data_centre": r.zone(i)},
		"operator_address": r.Operator(i), "peer_address": fmt.Sprintf("%s:%d", r.IP(i), r.port+2), "seeds": r.seeds,
		"first_start": firstStart, "tolerated_disks": 1, "data_folder": r.DataDir(i), "announce_ms": 1200,
		"metrics_address": fmt.Sprintf("%s:%d", r.IP(i), r.port+3), "memory_mb": 280,
	})
}

// Gateway starts gateway i.
func (r *Rig) Gateway(i int) error {
	return r.start(fmt.Sprintf("edge-%d", i), "gp-gateway", map[string]any{
		"instance":       map[string]any{"id": fmt.Sprintf("edge-%d", i), "region": "r", "data_centre": r.zone(i)},
		"caller_address": r.Front(i), "ready_address": r.Ready(i), "peer_port": r.port + 2, "seeds": r.seeds, "announce_ms": 1200,
		"grace_s": 8, "retry_ratio": 0.8, "retry_slack": 150, "retry_window_s": 10,
		"metrics_address": fmt.Sprintf("%s:%d", r.IP(20+i), r.port+3), "memory_mb": 284,
	})
}

func (r *Rig) start(name, program string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	file := filepath.Join(r.Dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(r.bin, program), "run")
	cmd.Env = append(os.Environ(), "GERANIUMPITCH_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		r.Note("%s ended: %v", name, err)
		close(p.done)
	}()
	r.mu.Lock()
	r.procs[name] = p
	r.mu.Unlock()
	r.Note("%s started", name)
	return nil
}

// Signal sends a signal to a process of this rig.
func (r *Rig) Signal(name string, s syscall.Signal) {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	if p != nil {
		r.Note("%v to %s", s, name)
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills a process and waits for its end.
func (r *Rig) Kill(name string) {
	r.Signal(name, syscall.SIGKILL)
	r.Wait(name, 5*time.Second)
}

// Wait waits for the end of a process and reports whether it came in time.
func (r *Rig) Wait(name string, timeout time.Duration) bool {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	if p == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close kills all processes and removes the folder, unless KEEP is set.
func (r *Rig) Close() {
	r.mu.Lock()
	var names []string
	for name := range r.procs {
		names = append(names, name)
	}
	r.mu.Unlock()
	for _, name := range names {
		r.Signal(name, syscall.SIGCONT)
		r.Kill(name)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Dir)
	}
}

// Call sends one call to a coordinator and returns the status and the body, 0 if there was no response.
func (r *Rig) Call(method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// Publish sends a configuration until it is acknowledged, as an operator does, and reports whether that came in time.
func (r *Rig) Publish(config any, timeout time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		address := r.Operator(1 + i%3)
		status, _ := r.Call(http.MethodPost, address, "/v1/Config.Replace", body, time.Second+time.Duration(len(body)/1000)*time.Millisecond)
		r.Note("configuration of %d bytes sent to %s: status %d", len(body), address, status)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not acknowledged in time")
}

// AwaitReady waits until gateway i says that it is ready.
func (r *Rig) AwaitReady(i int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := r.Call(http.MethodGet, r.Ready(i), "/v1/readyz", nil, time.Second); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("edge-%d is not ready", i)
}

// Listen returns a listener on a machine of its own for a stand-in.
func (r *Rig) Listen(machine int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s:%d", r.IP(machine), r.port))
}
