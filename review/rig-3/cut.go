package rig3

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answersPerCut bounds the share of the answers after which a faulty replica sends extra bytes below the 0.03 of the sheet.
const answersPerCut = 34

// CutReplicas are the stand-ins of the replicas of a plain service. The first one is faulty: after a complete answer it sends the beginning
// of the same answer once more, late, at the point where the next answer on the channel is expected.
type CutReplicas struct {
	// Failures and Refusals are the shares of requests that a replica answers with its own 500, and that it doesn't run as it is full.
	Failures, Refusals float64
	// Spoiled is the status of the answer whose beginning is sent again, Next that of the answer that follows it, and Cut the end of the
	// beginning.
	Spoiled, Next int
	Cut           string

	rig *Rig
	mu  sync.Mutex
	// runs holds the replicas that ran each request, failed those requests that a replica answered with 500.
	runs   map[string][]string
	failed map[string]bool
	// answers counts those of the faulty replica while the disruption lasts, extra those after which it sent extra bytes.
	answers, extra int
}

// Start starts the replicas and their heartbeats.
func (c *CutReplicas) Start(r *Rig, count int) error {
	c.rig, c.runs, c.failed = r, map[string][]string{}, map[string]bool{}
	for i := range count {
		listener, err := r.Listen(40 + i)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("i-%04d", i)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go c.serve(conn, id, i == 0)
			}
		}()
		go r.Announce(id, "app", listener.Addr().String(), "quimper")
	}
	return nil
}

func (c *CutReplicas) serve(conn net.Conn, id string, faulty bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		requestID := request.Header.Get("Request-Id")
		status, head, text := http.StatusOK, "Content-Type: text/plain\r\n", fmt.Sprintf("done: %s, %d bytes\n", requestID, len(body))
		switch {
		case request.URL.Path == "/healthz":
			head += "Instance-Id: " + id + "\r\n"
		case request.Header.Get("Expect-Instance") != id:
			status, head, text = http.StatusMisdirectedRequest, "Not-Executed: 1\r\n", ""
		case rand.Float64() < c.Refusals:
			status, head, text = http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""
		default:
			if rand.Float64() < c.Failures {
				status, text = http.StatusInternalServerError, fmt.Sprintf("failed: %s\n", requestID)
			}
			c.mu.Lock()
			c.runs[requestID] = append(c.runs[requestID], id)
			c.failed[requestID] = status != http.StatusOK
			c.mu.Unlock()
			time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		}
		answer := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), head, requestID, id, requestID, len(text), text)
		late := ""
		if faulty {
			late = c.beginning(id, previous, requestID, status)
		}
		if _, err := io.WriteString(conn, late+answer); err != nil {
			return
		}
		previous = answer
	}
}

// beginning returns the extra bytes that the faulty replica sends before an answer.
func (c *CutReplicas) beginning(id, previous, requestID string, status int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rig.InSpell() {
		return ""
	}
	c.answers++
	if status != c.Next || !strings.HasPrefix(previous, fmt.Sprintf("HTTP/1.1 %d ", c.Spoiled)) || c.answers < answersPerCut*(c.extra+1) {
		return ""
	}
	c.extra++
	late := previous[:strings.Index(previous, c.Cut)+len(c.Cut)]
	c.rig.Note("%s sends the beginning of its last answer on the channel once more, %q (%d of its %d answers), and then its answer to request %s: %d",
		id, late, c.extra, c.answers, requestID, status)
	return late
}

// Answer is what a requester got.
type Answer struct {
	ID, Method string
	Status     int
	Text       string
}

// Drive sends orders, which may run once at most, and look-ups through gateway 1 for some time, and returns the answers. The routes are
// those of PlainConfig.
func (c *CutReplicas) Drive(requesters int, traffic time.Duration) (answers []Answer) {
	var wg sync.WaitGroup
	end := time.Now().Add(traffic)
	for i := range requesters {
		wg.Go(func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for time.Now().Before(end) {
				a, err := c.send(&client, i%2 == 0)
				if err != nil {
					c.rig.Note("request %s: %v", a.ID, err)
				} else {
					c.mu.Lock()
					answers = append(answers, a)
					c.mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return answers
}

func (c *CutReplicas) send(client *http.Client, order bool) (Answer, error) {
	a := Answer{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodGet}
	path, body := "/puxa403/2f", io.Reader(nil)
	if order {
		a.Method, path, body = http.MethodPost, "/pule252/2f", strings.NewReader("an order of sachets")
	}
	request, err := http.NewRequest(a.Method, "http://"+c.rig.Front(1)+path, body)
	if err != nil {
		return a, err
	}
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", a.ID)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := client.Do(request)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.Status, a.Text = response.StatusCode, string(text)
	return a, err
}

// Runs returns the replicas that ran a request, and whether one answered it with 500.
func (c *CutReplicas) Runs(requestID string) (ran []string, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[requestID], c.failed[requestID]
}

// Extra returns how often the faulty replica sent extra bytes, and the number of its answers.
func (c *CutReplicas) Extra() (extra, answers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extra, c.answers
}

// PlainConfig returns a configuration with a route for orders, which may run once at most, and one for look-ups.
func PlainConfig() any {
	type object = map[string]any
	route := func(name, path, kind string) any {
		return object{
			"name": name, "host": "ficu95.example", "pathPrefix": path, "type": kind, "timeoutMs": 1500, "sloMs": 100, "priority": 2,
			"service": "app", "maxAttempts": 1, "public": true,
		}
	}
	return object{
		"version": 1, "routes": []any{route("fill", "/pule252/", "unsafe"), route("check", "/puxa403/", "safe")},
		"services": []any{object{"name": "app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Prepare starts a deployment with one gateway and the replicas, and publishes PlainConfig.
func (c *CutReplicas) Prepare(r *Rig, count int) error {
	if err := r.StartAll(1); err != nil {
		return err
	}
	if err := c.Start(r, count); err != nil {
		return err
	}
	if err := r.Publish(PlainConfig(), 15*time.Second); err != nil {
		return err
	}
	if err := r.AwaitReady(1, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Check returns an error if the case proved nothing: no request was served, or there was no disruption.
func (c *CutReplicas) Check(answers []Answer) error {
	served := 0
	for _, a := range answers {
		if a.Status == http.StatusOK {
			served++
		}
	}
	extra, all := c.Extra()
	c.rig.Note("%d requests answered, %d with 200; extra bytes after %d of the %d answers of the faulty replica", len(answers), served, extra, all)
	switch {
	case served == 0:
		return errors.New("no request was served")
	case Trouble() && extra == 0:
		return errors.New("the faulty replica sent no extra bytes")
	}
	return nil
}
