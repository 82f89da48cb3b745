package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in model replica that streams events and moves the memory of a run on request.
type Engine struct {
	*Server

	// Unframed tells of each answer whether it has neither a length nor chunks and ends with its channel.
	Unframed func() bool
	// Events is the number of events of a stream, Interval the time between them, Prefill the time before the first.
	Events            int
	Interval, Prefill time.Duration

	mu       sync.Mutex
	sessions map[string]*engineRun
	handles  int
}

type engineRun struct {
	stop chan struct{}
	made int
}

// StartEngine starts an engine of a service in a zone.
func (r *Rig) StartEngine(id, service, zone string, events int, prefill, interval time.Duration, unframed func() bool) *Engine {
	e := &Engine{Unframed: unframed, Events: events, Interval: interval, Prefill: prefill, sessions: map[string]*engineRun{}}
	e.Server = r.startServer(id, service, zone, e.stream, e.control)
	return e
}

// control serves the calls of the system to engines. It reports false for other requests.
func (e *Engine) control(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/v1/kv-move" {
		// The other calls, such as those that free a copy, are acknowledged and have no effect.
		return strings.HasPrefix(r.URL.Path, "/v1/")
	}
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	e.mu.Lock()
	run := e.sessions[order.ID]
	if run == nil {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return true
	}
	e.handles++
	handle := fmt.Sprintf("%s-h%d", e.ID, e.handles)
	if order.Last {
		close(run.stop)
		delete(e.sessions, order.ID)
	}
	made := run.made
	e.mu.Unlock()
	e.rig.Logf("engine %s: move of request %s to %s, last %v, after event %d", e.ID, order.ID, order.To, order.Last, made)
	// The copy takes about as long as that of a whole prompt.
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"handle":%q,"made":%d}`, handle, made)
	return true
}

// stream runs a request and sends its events after Last-Event-Id.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &engineRun{stop: make(chan struct{}), made: last}
	e.mu.Lock()
	e.sessions[id] = run
	e.mu.Unlock()
	if from := r.Header.Get("Kv-From"); from != "" {
		e.rig.Logf("engine %s: request %s goes on after event %d from %s", e.ID, id, last, from)
	} else {
		time.Sleep(e.Prefill)
	}
	write, end, abort, err := e.begin(w, id)
	if err != nil {
		return
	}
	for event := last + 1; event <= e.Events; event++ {
		if write(Event(event)) != nil {
			abort()
			return
		}
		e.mu.Lock()
		run.made = event
		e.mu.Unlock()
		select {
		case <-run.stop:
			e.rig.Logf("engine %s: stream of request %s closed without its end, after event %d", e.ID, id, event)
			abort()
			return
		case <-r.Context().Done():
			e.rig.Logf("engine %s: drops request %s, whose channel is closed", e.ID, id)
			return
		case <-time.After(e.Interval):
		}
	}
	e.mu.Lock()
	delete(e.sessions, id)
	e.mu.Unlock()
	e.rig.Logf("engine %s: stream of request %s ends after event %d", e.ID, id, e.Events)
	end()
}

// Event returns an event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// begin sends the head of an answer. It returns functions that write an event, end the answer, and close the
// channel without the answer's end.
func (e *Engine) begin(w http.ResponseWriter, id string) (write func(string) error, end, abort func(), err error) {
	controller := http.NewResponseController(w)
	if !e.Unframed() {
		w.Header().Set("Content-Type", "text/event-stream")
		write = func(text string) error {
			if _, err := w.Write([]byte(text)); err != nil {
				return err
			}
			return controller.Flush()
		}
		return write, func() {}, func() { panic(http.ErrAbortHandler) }, nil
	}
	conn, _, err := controller.Hijack()
	if err != nil {
		return nil, nil, nil, err
	}
	e.rig.Logf("engine %s: the answer to request %s has no length", e.ID, id)
	write = func(text string) error {
		_, err := conn.Write([]byte(text))
		return err
	}
	closeConn := func() { _ = conn.Close() }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, e.ID, id)
	return write, closeConn, closeConn, write(head)
}
