package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

const (
	// copyCheckInterval is the interval at which the holder of a copy is checked.
	copyCheckInterval = 200 * time.Millisecond
	// copyRefreshInterval is the interval at which a requested copy is updated. It is
	// well below the time that engines keep an unused copy (4 s), and the prefill of the
	// tokens that are missing from such a copy takes about 60 ms.
	copyRefreshInterval = 1500 * time.Millisecond
	// copyRequestTimeout bounds one copy request; a whole prompt takes about 20 ms to copy.
	copyRequestTimeout = 2 * time.Second
)

// runCopy is a copy of a run's memory at another engine.
type runCopy struct {
	holder placement.Server
	// sourceAddress and handle identify the copy at its holder. For a copy on request, they
	// are the address of the engine that made it and the handle that this engine issued.
	// For the copy at a backup, they are the address of the backup and the request
	// identifier.
	sourceAddress string
	handle        string
	// requested means that maintainCopy requested the copy, which stays until it is used,
	// released or expires. The copy of a relocation is used at once and not marked.
	requested bool
	// sourceID and sourceVersion are the identifier and the version of the engine that made a requested copy.
	sourceID, sourceVersion string
}

// latestCopy holds the copy from which a run can be resumed.
type latestCopy struct {
	mu      sync.Mutex
	current *runCopy
}

func (c *latestCopy) set(r *runCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = r
}

func (c *latestCopy) get() *runCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// take returns the copy and removes it: a copy can be used only once.
func (c *latestCopy) take() *runCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current
	c.current = nil
	return current
}

// backupCopy returns the copy that a backup engine receives during the run.
func (s *streamState) backupCopy(backup *placement.Server) *runCopy {
	if backup == nil {
		return nil
	}
	return &runCopy{holder: *backup, sourceAddress: backup.Address, handle: s.req.fields.ID}
}

// copyAvailable reports whether the holder of a copy is announced as the same process
// that received it; g.mu is held.
func (g *Gateway) copyAvailable(service string, c *runCopy) bool {
	server := g.pool(service).Get(c.holder.ID)
	return server != nil && server.StartedMS == c.holder.StartedMS && server.State != directory.Gone
}

// maintainCopy requests a new copy of a run when the holder of the current one has ended,
// and refreshes the copies that it requested. This covers data centres that fail one
// after the other within the duration of one stream.
func (s *streamState) maintainCopy(ctx context.Context, engine *placement.Server, run placement.Run) {
	if e := s.req.service.Engine; e == nil || !e.CopiesOnRequest || !s.req.route.Resumable {
		return
	}
	var requested *runCopy
	var refreshedAt time.Time
	defer func() { s.moveCopyReservation(requested, nil, run) }()
	for sleepContext(ctx, copyCheckInterval) {
		current := s.latestCopy.get()
		s.g.mu.Lock()
		available := current != nil && s.g.copyAvailable(s.req.service.Name, current)
		closed := s.g.isClosed(s.req.service.Name, engine.Version)
		s.g.mu.Unlock()
		switch {
		case closed:
			// The engine must get no further request; the run goes on without a new copy.
		case available && current != requested:
			// The engine updates the copy at its backup during the run.
		case available && time.Since(refreshedAt) < copyRefreshInterval:
		default:
			refreshedAt = time.Now()
			previous := requested
			requested = s.requestCopy(ctx, engine, run, current, available)
			s.moveCopyReservation(previous, requested, run)
			s.latestCopy.set(requested)
			if requested != nil && !available {
				s.announcePlacement(engine, &requested.holder, true)
			}
		}
	}
}

// moveCopyReservation releases the memory reserved for the previous copy and reserves
// memory for the next one.
func (s *streamState) moveCopyReservation(previous, next *runCopy, run placement.Run) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.req.service.Name)
	if previous != nil {
		pool.Reserve(previous.holder.ID, 0, -run.Tokens, 0)
	}
	if next != nil {
		pool.Reserve(next.holder.ID, 0, run.Tokens, 0)
	}
}

// releaseTimeout bounds the request to free a copy; a copy that is not freed expires.
const releaseTimeout = time.Second

// releaseCopy frees a requested copy that was not needed, in the background.
func (g *Gateway) releaseCopy(service *routing.Service, c *runCopy) {
	if c == nil || !c.requested {
		return
	}
	g.mu.Lock()
	closed := g.isClosed(service.Name, c.sourceVersion)
	g.mu.Unlock()
	if closed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := g.sendEngineRequest(ctx, service, c.sourceID, c.sourceAddress, g.protocol.ReleaseRequest(c.handle))
		if err != nil {
			g.log.Info("failed to release a copy, it will expire", "holder", c.holder.ID, "error", err)
			return
		}
		if _, err := response.ReadAll(maxBufferedResponseBytes); err != nil {
			g.log.Info("failed to read the response to the release of a copy", "holder", c.holder.ID, "error", err)
		}
	}()
}

// requestCopy makes the engine copy the run's memory, to the holder of the current copy
// if that is available. It returns nil if the run has no usable copy afterwards.
func (s *streamState) requestCopy(
	ctx context.Context, engine *placement.Server, run placement.Run, current *runCopy, available bool,
) *runCopy {
	var holder *placement.Server
	if available {
		holder = &current.holder
	} else if holder = s.selectBackup(engine, run); holder == nil {
		return nil
	}
	handle, status, err := s.sendCopyRequest(ctx, engine, holder, false)
	succeeded := err == nil && status == http.StatusOK
	if !succeeded || !available || handle != current.handle {
		s.logCopyRequest(engine, holder, handle, status, err)
	}
	switch {
	case err != nil && available:
		// The engine did not respond; the current copy may still be usable.
		return current
	case !succeeded:
		s.recordCopyRefusal(holder)
		return nil
	}
	return &runCopy{
		holder: *holder, sourceAddress: engine.Address, handle: handle, requested: true, sourceID: engine.ID, sourceVersion: engine.Version,
	}
}

// recordCopyRefusal excludes an engine from further copies for some time.
func (s *streamState) recordCopyRefusal(holder *placement.Server) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.pool(s.req.service.Name).RecordCopyRefusal(holder.ID, time.Now())
}

// sendCopyRequest makes an engine copy the memory of the run to another one. With
// stopRun, the engine ends the run first; the handle is then valid even if the copy failed.
func (s *streamState) sendCopyRequest(
	ctx context.Context, engine, holder *placement.Server, stopRun bool,
) (handle string, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, copyRequestTimeout)
	defer cancel()
	received := int(s.eventsReceived.Load())
	request := s.g.protocol.CopyRequest(s.req.fields.ID, holder.Address, stopRun)
	response, err := s.g.sendEngineRequest(ctx, s.req.service, engine.ID, engine.Address, request)
	if err != nil {
		return "", 0, err
	}
	body, err := response.ReadAll(maxBufferedResponseBytes)
	if err != nil {
		return "", response.StatusCode, err
	}
	if response.StatusCode != http.StatusOK && !stopRun {
		return "", response.StatusCode, nil
	}
	made, err := s.g.protocol.ParseCopyResponse(body)
	if err != nil {
		return "", response.StatusCode, err
	}
	if made.Events != nil && *made.Events < received {
		return "", response.StatusCode, eris.Errorf("the engine copied a run with %d events, of which %d had been received", *made.Events, received)
	}
	return made.Handle, response.StatusCode, nil
}

// sendEngineRequest sends a request of the gateway itself to an engine, which need not name it in its response. The
// request also names the engine, as another server may have taken its address.
func (g *Gateway) sendEngineRequest(
	ctx context.Context, service *routing.Service, engineID, address string, request EngineRequest,
) (*upstream.Response, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	g.protocol.IdentifyEngineRequest(request.Header, id, engineID)
	return g.client.Do(ctx, address, g.connectionLimit(service), &upstream.Request{
		ID: id, Method: request.Method, Target: request.Target, Host: address, Header: request.Header, Body: request.Body,
		Matches:      func(h http.Header) bool { return g.protocol.ParseResponse(0, h).RequestID == id },
		Unidentified: func(h http.Header) bool { return !g.namesRequest(h) },
	})
}

// logCopyRequest logs and counts the outcome of a copy request.
func (s *streamState) logCopyRequest(engine, holder *placement.Server, handle string, status int, err error) {
	cause, outcome := "", "made"
	if err != nil {
		cause = err.Error()
	}
	if err != nil || status != http.StatusOK {
		outcome = "failed"
	}
	s.g.metrics.countCopyRequest(outcome)
	s.g.log.Info("requested a copy of a run", "request", s.req.fields.ID, "engine", engine.ID, "holder", holder.ID,
		"handle", handle, "status", status, "error", cause)
}
