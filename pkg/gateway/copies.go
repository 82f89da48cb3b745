package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

const (
	// copyCheck is the interval at which the holder of a copy is looked at.
	copyCheck = 200 * time.Millisecond
	// copyRefresh is the interval at which an ordered copy is brought up to date;
	// it is well below the time that engines keep an unused copy (4 s), and what
	// is missing after it is read in some 60 ms.
	copyRefresh = 1500 * time.Millisecond
	// copyLimit bounds one order; a whole prompt takes about 20 ms to copy.
	copyLimit = 2 * time.Second
)

// runCopy is a copy of a run's memory at another engine.
type runCopy struct {
	holder placement.Server
	// source is the address of the engine that made the copy, or the holder's
	// own for a copy that it received as the run went on.
	source string
	// handle names the copy: a handle of the source, or the run itself.
	handle string
	// ordered copies stay until they are used, released or expired.
	ordered bool
}

// copies holds the copy of one run that can be used next.
type copies struct {
	mu   sync.Mutex
	copy *runCopy
}

func (c *copies) set(r *runCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copy = r
}

func (c *copies) get() *runCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy
}

// take returns the copy and forgets it: it can be used once.
func (c *copies) take() *runCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.copy
	c.copy = nil
	return taken
}

// backupCopy describes the copy that a backup receives as the run goes on.
func (s *streaming) backupCopy(backup *placement.Server) *runCopy {
	if backup == nil {
		return nil
	}
	return &runCopy{holder: *backup, source: backup.Address, handle: s.j.fields.ID}
}

// holderLives tells whether the holder of a copy still has it, as far as is
// known; g.mu is held.
func (g *Gateway) holderLives(service string, c *runCopy) bool {
	live := g.pool(service).Get(c.holder.ID)
	return live != nil && live.StartedMS == c.holder.StartedMS && live.State != directory.Gone
}

// protect orders a new copy of a run when the holder of the present one is lost.
// It answers data centres of engines that die one after the other within the
// length of one stream.
func (s *streaming) protect(ctx context.Context, engine *placement.Server, run placement.Run) {
	if e := s.j.service.Engine; e == nil || !e.Moves || !s.j.route.Resumable {
		return
	}
	var ordered *runCopy
	var refreshed time.Time
	defer func() { s.reserveCopy(ordered, nil, run) }()
	for pause(ctx, copyCheck) {
		c := s.copies.get()
		s.g.mu.Lock()
		lives := c != nil && s.g.holderLives(s.j.service.Name, c)
		s.g.mu.Unlock()
		switch {
		case lives && c != ordered:
			// The engine itself keeps this copy up to date.
		case lives && time.Since(refreshed) < copyRefresh:
		default:
			refreshed = time.Now()
			present := ordered
			ordered = s.orderCopy(ctx, engine, run, c, lives)
			s.reserveCopy(present, ordered, run)
			s.copies.set(ordered)
			if ordered != nil && !lives {
				s.announcePlacement(engine, &ordered.holder, true)
			}
		}
	}
}

// reserveCopy notes the memory of an ordered copy in place of the one before.
func (s *streaming) reserveCopy(before, now *runCopy, run placement.Run) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.j.service.Name)
	if before != nil {
		pool.Reserve(before.holder.ID, 0, -run.Tokens, 0)
	}
	if now != nil {
		pool.Reserve(now.holder.ID, 0, run.Tokens, 0)
	}
}

// releaseLimit bounds the order to free a copy; without it the copy expires.
const releaseLimit = time.Second

// release frees an ordered copy that was not needed. It does not wait.
func (g *Gateway) release(service *routing.Service, c *runCopy) {
	if c == nil || !c.ordered {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		order := g.protocol.ReleaseOrder(c.handle)
		response, err := g.client.Do(ctx, c.source, g.connectionLimit(service), &upstream.Request{
			Method: order.Method, Target: order.Target, Host: c.source, Header: order.Header, Body: order.Body,
		})
		if err != nil {
			g.log.Info("a copy is left to expire", "holder", c.holder.ID, "error", err)
			return
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			response.Abort()
			return
		}
		response.Finish()
	}()
}

// orderCopy makes the engine copy the run's memory, to the present holder if it
// lives. It returns nil if there is no copy now.
func (s *streaming) orderCopy(
	ctx context.Context, engine *placement.Server, run placement.Run, present *runCopy, lives bool,
) *runCopy {
	var holder *placement.Server
	if lives {
		holder = &present.holder
	} else if holder = s.chooseBackup(engine, run); holder == nil {
		return nil
	}
	handle, status, err := s.sendCopyOrder(ctx, engine, holder, false)
	made := err == nil && status == http.StatusOK
	if !made || !lives {
		s.logCopy(engine, holder, status, err)
	}
	switch {
	case err != nil && lives:
		// The engine did not answer; what the holder has may still serve.
		return present
	case !made:
		s.copyRefused(holder)
		return nil
	}
	return &runCopy{holder: *holder, source: engine.Address, handle: handle, ordered: true}
}

// copyRefused passes an engine over for copies.
func (s *streaming) copyRefused(holder *placement.Server) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.pool(s.j.service.Name).CopyRefused(holder.ID, time.Now())
}

// sendCopyOrder makes an engine copy the memory of the run to another one. With
// stop, it ends the run first; the handle is then also valid if the copy failed.
func (s *streaming) sendCopyOrder(
	ctx context.Context, engine, holder *placement.Server, stop bool,
) (handle string, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	order := s.g.protocol.CopyOrder(s.j.fields.ID, holder.Address, stop)
	response, err := s.g.client.Do(ctx, engine.Address, s.g.connectionLimit(s.j.service), &upstream.Request{
		Method: order.Method, Target: order.Target, Host: engine.Address, Header: order.Header, Body: order.Body,
	})
	if err != nil {
		return "", 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response, answerBytes))
	if err != nil {
		response.Abort()
		return "", response.StatusCode, err
	}
	response.Finish()
	if response.StatusCode != http.StatusOK && !stop {
		return "", response.StatusCode, nil
	}
	handle, err = s.g.protocol.ParseCopy(body)
	return handle, response.StatusCode, err
}

func (s *streaming) logCopy(engine, holder *placement.Server, status int, err error) {
	cause, outcome := "", "made"
	if err != nil {
		cause = err.Error()
	}
	if err != nil || status != http.StatusOK {
		outcome = "failed"
	}
	s.g.metrics.copyOrder(outcome)
	s.g.log.Info("ordered a copy of a run", "request", s.j.fields.ID, "engine", engine.ID, "holder", holder.ID,
		"status", status, "error", cause)
}
