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

// binaryFolder is the folder that TestMain builds the commands into.
var binaryFolder string

var seedFlag = flag.Uint64("seed", 1, "seed of the random faults")

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
	binaryFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one command under test. It can be killed and started again.
type process struct {
	t       testing.TB
	name    string
	args    []string
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
	exitErr error
	frozen  bool
}

// startProcess starts one of the built commands. Its output goes to a file, of
// which the end is logged when the test fails.
func startProcess(t testing.TB, folder, name, command string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{command}, args...), logPath: filepath.Join(folder, name+".log")}
	p.start()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) start() {
	p.t.Helper()
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer output.Close()
	p.cmd = exec.Command(filepath.Join(binaryFolder, p.args[0]), p.args[1:]...)
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

func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits until the process has exited.
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

// running reports whether the process is neither frozen nor exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return !p.frozen
	}
}

// terminate sends SIGTERM for a planned stop. It returns an error unless the
// process exits with status 0 within the timeout.
func (p *process) terminate(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs %s after SIGTERM", p.name, timeout)
	}
}

// cleanUp kills the process at the end of a test, logs the end of its output if
// the test failed, and fails the test if the process panicked.
func (p *process) cleanUp() {
	select {
	case <-p.exited:
	default:
		p.kill()
	}
	if p.t.Failed() {
		output, _ := os.ReadFile(p.logPath)
		const tailBytes = 3000
		p.t.Logf("%s:\n%s", p.name, output[max(0, len(output)-tailBytes):])
	}
	if output, _ := os.ReadFile(p.logPath); bytes.Contains(output, []byte("panic:")) {
		p.t.Errorf("%s panicked", p.name)
	}
}

// eventually polls until check returns nil. It fails the test after the timeout.
func eventually(t testing.TB, timeout time.Duration, condition string, check func() error) {
	t.Helper()
	const pollInterval = 20 * time.Millisecond
	var err error
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: not reached within %s: %v", condition, timeout, err)
}

// checkStatusOK returns an error unless a GET of the URL returns status 200.
func checkStatusOK(url string) error {
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
