package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// attempt is one attempt of a requester and its answer.
type attempt struct {
	id      string
	sentAt  time.Time
	status  int
	stamp   string
	body    string
	err     error
	gateway int
}

func (a attempt) String() string {
	outcome := fmt.Sprint(a.status)
	if a.err != nil {
		outcome = a.err.Error()
	}
	return fmt.Sprintf("request %s at edge-%d: %s, stamp %q", a.id, a.gateway, outcome, a.stamp)
}

// ask sends one request on a new channel and waits for its answer, up to the time limit.
func (r *rig) ask(gateway int, method, path, body string, limit time.Duration) (a attempt) {
	a = attempt{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)), sentAt: time.Now(), gateway: gateway}
	r.note("request %s to edge-%d: %s %s", a.id, gateway, method, path)
	request, err := http.NewRequest(method, "http://"+r.front(gateway)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Credential", apiKey)
	defer func() { r.note("answer: %s", a) }()
	response, err := newHTTPClient(limit).Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.stamp, a.body, a.err = response.StatusCode, response.Header.Get("Server-Stamp"), string(data), err
	return a
}
