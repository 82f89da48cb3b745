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

// maxCallBytes limits the body of a call to the stand-in service.
const maxCallBytes = 16 << 20

// PlainServiceOptions configures a PlainService.
type PlainServiceOptions struct {
	ID         string
	Address    string
	DataCentre string
	// Pools lists the services that the server belongs to.
	Pools []string
	// Slots is the number of calls that can run at the same time.
	Slots int
	// Delay is the duration of a call.
	Delay time.Duration
	// RefusePercent is the percentage of calls that are refused before they run.
	RefusePercent int
	// BreakBeforePercent is the percentage of calls whose connection is closed
	// before they run; they do not run.
	BreakBeforePercent int
	// BreakAfterPercent is the percentage of calls whose connection is closed
	// after they ran, without a response.
	BreakAfterPercent int
	// ExecutionsPath is the path of a file to which each execution appends a line;
	// empty means none.
	ExecutionsPath string
	// EntryAddresses lists the caller addresses of the entry instances that receive
	// the announcements.
	EntryAddresses []string
}

// PlainService is a simulated backend server of a plain service. It records each
// execution, so that tests can detect calls that ran more than once.
type PlainService struct {
	options      PlainServiceOptions
	log          *slog.Logger
	executionLog io.Writer
	running      atomic.Int64
	executed     atomic.Uint64
}

// NewPlainService returns a stand-in service that writes a line per execution to w,
// unless w is nil.
func NewPlainService(o PlainServiceOptions, w io.Writer, log *slog.Logger) *PlainService {
	return &PlainService{options: o, executionLog: w, log: log}
}

// Executed returns the number of calls that ran.
func (s *PlainService) Executed() uint64 { return s.executed.Load() }

type serviceResponse struct {
	Server    string `json:"server"`
	Execution uint64 `json:"execution"`
	Key       string `json:"key"`
	Bytes     int    `json:"bytes"`
}

// ServeHTTP implements http.Handler. It runs one call, or refuses it or closes
// its connection with the probabilities of the options.
func (s *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		refuse(w, "the body could not be read")
		return
	}
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.options.Slots) || occurs(s.options.RefusePercent) {
		refuse(w, "no room")
		return
	}
	if occurs(s.options.BreakBeforePercent) {
		breakConnection(w)
		return
	}
	response := serviceResponse{Server: s.options.ID, Key: r.Header.Get("Idempotency-Key"), Bytes: len(body)}
	if response.Execution, err = s.recordExecution(response.Key, r); err != nil {
		s.log.Error("cannot record an execution", "key", response.Key, "error", err)
	}
	time.Sleep(s.options.Delay)
	if occurs(s.options.BreakAfterPercent) {
		breakConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// recordExecution counts an execution, writes its line and returns its number.
// The line takes a single write, so that several processes can append to the
// same file.
func (s *PlainService) recordExecution(key string, r *http.Request) (uint64, error) {
	number := s.executed.Add(1)
	if s.executionLog == nil {
		return number, nil
	}
	if key == "" {
		key = "-"
	}
	_, err := fmt.Fprintf(s.executionLog, "%q %s %q %s\n", key, r.Method, r.URL.Path, s.options.ID)
	return number, err
}

// occurs reports whether a random event with the given probability occurs.
func occurs(percent int) bool { return rand.IntN(100) < percent }

// refuse responds to a call that did not run, with the header that says so.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// breakConnection closes the connection of a call without a response.
func breakConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (s *PlainService) currentLoad() engine.LoadReport {
	return engine.LoadReport{Slots: s.options.Slots, Running: int(s.running.Load())}
}

// RunPlainService serves calls until ctx ends. It then sends a leave notice to the
// entry instances, keeps serving until calls have stopped arriving, and shuts down.
func RunPlainService(ctx context.Context, o PlainServiceOptions, log *slog.Logger) error {
	var executionLog io.Writer
	if o.ExecutionsPath != "" {
		file, err := os.OpenFile(o.ExecutionsPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return eris.Wrap(err, "open the executions file")
		}
		defer func() { _ = file.Close() }()
		executionLog = file
	}
	s := NewPlainService(o, executionLog, log)
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", o.Address)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	announcerDone := Announce(ctx, Announcer{
		ID: o.ID, Address: listener.Addr().String(), DataCentre: o.DataCentre,
		Pools: func() []string { return o.Pools }, Load: s.currentLoad, EntryAddresses: o.EntryAddresses,
	}, log)
	log.Info("service started", "address", listener.Addr().String(), "pools", strings.Join(o.Pools, ","))
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	<-announcerDone
	return s.drain(server)
}

const (
	// drainIdleTime is how long no call may have run before a leaving service
	// shuts down: a leave notice takes up to 2 s to reach all entry instances,
	// and those that it has not reached still send calls.
	drainIdleTime            = 2 * time.Second
	serviceDrainPollInterval = 20 * time.Millisecond
)

// drain waits until no call has run for drainIdleTime and shuts the server down.
func (s *PlainService) drain(server *http.Server) error {
	for idleSince := time.Now(); time.Since(idleSince) < drainIdleTime; time.Sleep(serviceDrainPollInterval) {
		if s.running.Load() > 0 {
			idleSince = time.Now()
		}
	}
	return server.Shutdown(context.Background())
}
