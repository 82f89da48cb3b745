package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route and service are those of a configuration as the operator sends it.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Type        string  `json:"type"`
	TimeoutMS   int     `json:"timeoutMs"`
	SloMS       int     `json:"sloMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Public      bool    `json:"public"`
	Sticky      bool    `json:"sticky,omitempty"`
	Resumable   bool    `json:"resumable,omitempty"`
	ItlTargetMS float64 `json:"itlTargetMs,omitempty"`
}

type service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"healthPath"`
	MaxConns   int            `json:"maxConns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	Engine     map[string]any `json:"engine,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

const host = "desk.example"

func plainRoute(name, kind, service string) route {
	attempts := 1
	if kind == "safe" {
		attempts = 2
	}
	return route{Name: name, Host: host, PathPrefix: "/" + name + "/", Type: kind, TimeoutMS: 4000, SloMS: 200, Priority: 2, Service: service, MaxAttempts: attempts}
}

func plainService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}
}

func newConfig(version int, routes []route, services []service) config {
	return config{
		Version: version, Routes: routes, Services: services,
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{{Name: "t-1", APIKeys: []string{apiKey}, Priority: 1}},
	}
}

const apiKey = "xd9dnn2ctnfzs989anu6"

// newHTTPClient returns a client that opens a channel for each call.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// order sends a configuration to one node after the other, as the operator does, until one acknowledges it or the time is
// over. It returns the time of the ack.
func (r *rig) order(c config, limit time.Duration) (ackedAt time.Time, acked bool) {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	r.note("order: version %d, %d bytes", c.Version, len(body))
	client := newHTTPClient(time.Second)
	last := ""
	pause := 50 * time.Millisecond
	for begin, k := time.Now(), 0; time.Since(begin) < limit; k++ {
		node := r.node(k)
		response, err := client.Post("http://"+r.control(node)+"/v1/Config.Replace", "application/json", bytes.NewReader(body))
		outcome := ""
		if err != nil {
			outcome = err.Error()
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			outcome = fmt.Sprint("status ", response.StatusCode)
			if response.StatusCode == http.StatusOK {
				r.note("order: version %d acknowledged by core-%d after %d ms", c.Version, node, time.Since(begin).Milliseconds())
				return time.Now(), true
			}
		}
		if outcome != last {
			r.note("order: version %d at core-%d: %s", c.Version, node, outcome)
			last = outcome
		}
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	r.note("order: version %d not acknowledged within %s", c.Version, limit)
	return time.Now(), false
}

// mustOrder is order for a configuration that the case needs.
func (r *rig) mustOrder(c config) time.Time {
	at, acked := r.order(c, 20*time.Second)
	if !acked {
		panic(fmt.Sprintf("version %d was not acknowledged", c.Version))
	}
	return at
}

// readBack returns the version that a node reads back, and the status.
func (r *rig) readBack(node int) (version, status int) {
	response, err := newHTTPClient(time.Second).Get("http://" + r.control(node) + "/v1/Config.Read")
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	var c config
	_ = json.NewDecoder(response.Body).Decode(&c)
	return c.Version, response.StatusCode
}

// isReady asks a gateway as the platform does.
func (r *rig) isReady(gateway int) bool {
	response, err := newHTTPClient(time.Second).Get("http://" + r.ready(gateway) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until gateways are ready.
func (r *rig) awaitReady(gateways int) {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		count := 0
		for i := 1; i <= gateways; i++ {
			if r.isReady(i) {
				count++
			}
		}
		if count == gateways {
			r.note("%d gateways are ready", count)
			return
		}
		if time.Now().After(deadline) {
			panic("the gateways did not become ready")
		}
	}
}
