package e2e

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// binaries is the folder of the built commands.
var binaries string

var seedFlag = flag.Uint64("seed", 1, "seed of the randomly drawn faults")

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "gp-e2e")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the commands:", err)
		os.Exit(1)
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running command.
type process struct {
	t       testing.TB
	name    string
	args    []string
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	exitErr error
	frozen  bool
}

// startProcess runs a command of ours; its output goes to a file that is shown
// when the test fails.
func startProcess(t testing.TB, folder, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{binary}, args...), log: filepath.Join(folder, name+".log")}
	p.start()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) start() {
	p.t.Helper()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer output.Close()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		p.exitErr = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process without notice and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	p.frozen = true
}

func (p *process) thaw() {
	p.signal(syscall.SIGCONT)
	p.frozen = false
}

// running reports whether the process is neither frozen nor gone.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return !p.frozen
	}
}

// terminate asks for a planned stop and returns whether the process exited with
// status 0 within the limit.
func (p *process) terminate(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(limit):
		return fmt.Errorf("%s still runs %s after SIGTERM", p.name, limit)
	}
}

func (p *process) cleanUp() {
	select {
	case <-p.exited:
	default:
		p.kill()
	}
	if p.t.Failed() {
		raw, _ := os.ReadFile(p.log)
		const tail = 3000
		p.t.Logf("%s:\n%s", p.name, raw[max(0, len(raw)-tail):])
	}
	if raw, _ := os.ReadFile(p.log); bytes.Contains(raw, []byte("panic:")) {
		p.t.Errorf("%s panicked", p.name)
	}
}

// eventually polls until check succeeds; it fails the test after the limit.
func eventually(t testing.TB, limit time.Duration, what string, check func() error) {
	t.Helper()
	const pause = 20 * time.Millisecond
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: not within %s: %v", what, limit, err)
}

func getOK(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return nil
}
