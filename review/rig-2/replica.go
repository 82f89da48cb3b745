package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of a backend server that behaves as the pages say.
type replica struct {
	r       *rig
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64
	// arrived, if set, is called with each request that arrives.
	arrived func(req *http.Request)

	mu     sync.Mutex
	seq    int
	state  string
	ran    map[string]int
	server *http.Server
	// silent is closed when the heartbeats have ended.
	silent chan struct{}
	cancel context.CancelFunc
}

// startReplica starts a replica at an address of its own.
func (r *rig) startReplica(number int, id, service string) *replica {
	b := &replica{
		r: r, id: id, service: service, address: fmt.Sprintf("%s:%d", r.serverIP(number), serverPort), zone: zones[(number-1)%3],
		slots: 6, born: time.Now().UnixMilli(), state: "ready", ran: map[string]int{}, silent: make(chan struct{}),
	}
	b.listen()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	r.onClose(b.stop)
	go func() {
		b.announce(ctx)
		close(b.silent)
	}()
	return b
}

func (b *replica) listen() {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		panic(err)
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 30 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
}

// stop ends the replica without a word.
func (b *replica) stop() {
	b.cancel()
	_ = b.server.Close()
}

func (b *replica) serve(w http.ResponseWriter, req *http.Request) {
	b.mu.Lock()
	leaving := b.state != "ready"
	b.mu.Unlock()
	if req.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if b.arrived != nil {
		b.arrived(req)
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header()["Date"] = nil
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.ran[id]++
	times := b.ran[id]
	b.mu.Unlock()
	b.r.note("replica %s runs request %s, time %d", b.id, id, times)
	w.Header().Set("Server-Stamp", b.id+"."+id)
	w.Header().Set("Instance-Load", fmt.Sprintf("1,0,%d", b.slots))
	_, _ = io.WriteString(w, "done "+id+" by "+b.id+"\n")
}

// message returns the body of the next call.
func (b *replica) message() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	data, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": b.state,
		"coldLeftMs": 0, "seq": b.seq, "born": b.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// call sends a call to one node after the other until one acknowledges it within a second.
func (b *replica) call(path string) bool {
	client := newHTTPClient(time.Second)
	body := b.message()
	b.mu.Lock()
	seq := b.seq
	b.mu.Unlock()
	for node := range 3 {
		response, err := client.Post("http://"+b.r.control(b.r.node(seq+node))+path+b.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (b *replica) announce(ctx context.Context) {
	for ctx.Err() == nil {
		b.call("/v1/Replicas.Heartbeat/")
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// deregister says that the replica is gone, and ends its heartbeats once that is acknowledged.
func (b *replica) deregister() bool {
	b.cancel()
	<-b.silent
	acked := b.call("/v1/Replicas.Deregister/")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
	return acked
}
