package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/rotisserie/eris"
)

// maxCallBytes bounds the body of a call to the stand-in service.
const maxCallBytes = 16 << 20

// ServiceOptions describe a stand-in plain service.
type ServiceOptions struct {
	ID         string
	Address    string
	DataCentre string
	// Pools are the names of the services that it answers for.
	Pools []string
	Slots int
	// Delay is the time that a call runs.
	Delay time.Duration
	// RefusePercent of the calls are refused before they run.
	RefusePercent int
	// BreakBeforePercent of the calls lose their connection and do not run.
	BreakBeforePercent int
	// BreakAfterPercent of the calls lose their connection after they ran.
	BreakAfterPercent int
	// Executions is a file to which each execution appends a line; empty means none.
	Executions string
	AnnounceTo []string
}

// PlainService is a stand-in for a backend server of a plain service. It counts
// what really ran.
type PlainService struct {
	options    ServiceOptions
	log        *slog.Logger
	executions io.Writer
	running    atomic.Int64
	executed   atomic.Uint64
}

// NewService returns a stand-in service that writes executions to w, if not nil.
func NewService(o ServiceOptions, w io.Writer, log *slog.Logger) *PlainService {
	return &PlainService{options: o, executions: w, log: log}
}

// Executed returns the number of calls that ran.
func (s *PlainService) Executed() uint64 { return s.executed.Load() }

type serviceAnswer struct {
	Server    string `json:"server"`
	Execution uint64 `json:"execution"`
	Key       string `json:"key"`
	Bytes     int    `json:"bytes"`
}

// ServeHTTP runs one call.
func (s *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		refuse(w, "the body could not be read")
		return
	}
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.options.Slots) || happens(s.options.RefusePercent) {
		refuse(w, "no room")
		return
	}
	if happens(s.options.BreakBeforePercent) {
		breakConnection(w)
		return
	}
	answer := serviceAnswer{Server: s.options.ID, Key: r.Header.Get("Idempotency-Key"), Bytes: len(body)}
	if answer.Execution, err = s.execute(answer.Key, r); err != nil {
		s.log.Error("the execution was not recorded", "error", err)
	}
	time.Sleep(s.options.Delay)
	if happens(s.options.BreakAfterPercent) {
		breakConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// execute records an execution. The line is written by one call, so that
// several processes can append to one file.
func (s *PlainService) execute(key string, r *http.Request) (uint64, error) {
	number := s.executed.Add(1)
	if s.executions == nil {
		return number, nil
	}
	if key == "" {
		key = "-"
	}
	_, err := fmt.Fprintf(s.executions, "%q %s %q %s\n", key, r.Method, r.URL.Path, s.options.ID)
	return number, err
}

func happens(percent int) bool { return rand.IntN(100) < percent }

func refuse(w http.ResponseWriter, why string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, why, http.StatusServiceUnavailable)
}

func breakConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (s *PlainService) load() engine.Load {
	return engine.Load{Slots: s.options.Slots, Running: int(s.running.Load())}
}

// RunService serves until ctx ends, then tells the entry instances that it is
// leaving, finishes the running calls and returns.
func RunService(ctx context.Context, o ServiceOptions, log *slog.Logger) error {
	var executions io.Writer
	if o.Executions != "" {
		file, err := os.OpenFile(o.Executions, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return eris.Wrap(err, "open the file of executions")
		}
		defer func() { _ = file.Close() }()
		executions = file
	}
	s := NewService(o, executions, log)
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", o.Address)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	stop := Announce(ctx, Announcer{
		ID: o.ID, Address: listener.Addr().String(), DataCentre: o.DataCentre,
		Pools: func() []string { return o.Pools }, Load: s.load, To: o.AnnounceTo,
	}, log)
	log.Info("service started", "address", listener.Addr().String(), "pools", strings.Join(o.Pools, ","))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	<-stop
	return s.drain(server)
}

const (
	// quietTime without a running call ends a planned stop: entry instances may
	// send calls until they have all heard of it, within 2 s.
	quietTime = 2 * time.Second
	drainPoll = 20 * time.Millisecond
)

// drain serves until no call has run for quietTime.
func (s *PlainService) drain(server *http.Server) error {
	for quiet := time.Now(); time.Since(quiet) < quietTime; time.Sleep(drainPoll) {
		if s.running.Load() > 0 {
			quiet = time.Now()
		}
	}
	return server.Shutdown(context.Background())
}
