package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Server is a stand-in backend server that announces itself to the coordinators.
type Server struct {
	ID, Service, Zone string

	rig      *Rig
	listener net.Listener
	server   *http.Server
}

// StartServer starts a backend server of a service. It refuses requests for another instance and passes the
// others to run, which answers them.
func (r *Rig) StartServer(id, service string, run http.HandlerFunc) *Server {
	return r.startServer(id, service, homeZone, run, func(http.ResponseWriter, *http.Request) bool { return false })
}

// startServer starts a backend server; control serves the calls that are no requests of clients.
func (r *Rig) startServer(id, service, zone string, run http.HandlerFunc, control func(http.ResponseWriter, *http.Request) bool) *Server {
	listener, err := net.Listen("tcp", r.network+".200:0")
	if err != nil {
		r.Abort(err)
	}
	s := &Server{ID: id, Service: service, Zone: zone, rig: r, listener: listener}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !control(w, request) {
			s.serve(w, request, run)
		}
	})}
	go func() { _ = s.server.Serve(listener) }()
	go s.announce()
	return s
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, run http.HandlerFunc) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.rig.Logf("server %s (%s) runs request %s: %s %s", s.ID, s.Service, id, r.Method, r.URL.Path)
	w.Header().Set("Server-Stamp", s.ID+"."+id)
	run(w, r)
}

// announce sends a heartbeat each HeartbeatMS, to the next coordinator if one does not acknowledge it.
func (s *Server) announce() {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body, err := json.Marshal(map[string]any{
			"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone, "version": "v1", "slots": 24,
			"state": "ready", "coldLeftMs": 0, "seq": seq, "born": born,
		})
		if err != nil {
			s.rig.Abort(err)
		}
		for i := range s.rig.Coordinators {
			url := fmt.Sprintf("http://%s/v1/Replicas.Heartbeat/%s", s.rig.Control(1+(seq+i)%s.rig.Coordinators), s.ID)
			if status, _, err := Call(http.MethodPost, url, string(body), time.Second); err == nil && status == http.StatusOK {
				break
			}
		}
		time.Sleep(HeartbeatMS * time.Millisecond)
	}
}
