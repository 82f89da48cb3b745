package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client received.
type Answer struct {
	Status int
	Stamp  string
	Body   string
	Err    error
}

// Request sends one request on a channel of its own, as a client does, and records it.
func (r *Rig) Request(gateway int, id, method, host, path, key, body string, timeout time.Duration) Answer {
	headers := map[string]string{}
	if key != "" {
		headers["Credential"] = key
	}
	return r.send(gateway, id, method, host, path, body, timeout, headers)
}

func (r *Rig) send(gateway int, id, method, host, path, body string, timeout time.Duration, headers map[string]string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Front(gateway)+path, strings.NewReader(body))
	if err != nil {
		r.Abort(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	r.Logf("client: request %s to gateway %d: %s %s%s", id, gateway, method, host, path)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.Logf("client: request %s: %v", id, err)
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a := Answer{Status: response.StatusCode, Stamp: response.Header.Get("Server-Stamp"), Body: string(content), Err: err}
	r.Logf("client: request %s: status %d, stamp %q, %d bytes, error %v", id, a.Status, a.Stamp, len(a.Body), err)
	return a
}

// Stream requests a stream, as a client does, and reads it to its end.
func (r *Rig) Stream(gateway int, id, host, path string, timeout time.Duration) Answer {
	return r.send(gateway, id, http.MethodPost, host, path, "prompt", timeout, map[string]string{
		"Model": "m", "Token-Usage": "8000,1120", "Prefix-Hash": "5c1e07a2:200," + fmt.Sprintf("%x", id) + ":7800",
	})
}
