package rig3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is the stand-in of a replica of a plain service.
type Server struct {
	rig         *Rig
	ID, Service string
	Addr, zone  string
	born        int64
	// Work is how long a request takes.
	Work func() time.Duration

	mu   sync.Mutex
	runs map[string]int
	stop chan struct{}
	http *http.Server
}

// NewServer starts the stand-in of a replica on a machine of its own. It announces itself if announce is set.
func (r *Rig) NewServer(machine int, service, zone string, announce bool) (*Server, error) {
	listener, err := r.Listen(machine)
	if err != nil {
		return nil, err
	}
	s := &Server{
		rig: r, ID: fmt.Sprintf("i-%04d", machine), Service: service, Addr: listener.Addr().String(), zone: zone, born: time.Now().UnixMilli(),
		Work: func() time.Duration { return 15 * time.Millisecond }, runs: map[string]int{}, stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func(l net.Listener) { _ = s.http.Serve(l) }(listener)
	if announce {
		go s.announce()
	}
	return s, nil
}

// Beat sends a heartbeat to coordinator i and returns the status.
func (s *Server) Beat(i int, state string, seq int) int {
	body, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "seq": seq, "born": s.born,
	})
	status, _ := s.rig.Call(http.MethodPost, s.rig.Operator(i), "/v1/Replicas.Heartbeat/"+s.ID, body, time.Second)
	return status
}

func (s *Server) announce() {
	for seq := 1; ; seq++ {
		for i := 1; i <= 3; i++ {
			if s.Beat(i, "ready", seq) == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(beatEvery):
		}
	}
}

// Runs returns how often a request ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", s.ID, id))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.Work())
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", id, r.Method, r.URL.RequestURI(), len(body))
}

// Announce sends heartbeats of a replica until the program ends.
func (r *Rig) Announce(id, service, address, zone string) {
	s := &Server{rig: r, ID: id, Service: service, Addr: address, zone: zone, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	s.announce()
}
