package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what one caller received, over all its connections.
type answer struct {
	stream   string
	tokens   []string
	finished bool
	// firstToken is the time to the first token and longestGap the longest time
	// between two tokens, both as the caller saw them.
	firstToken, longestGap time.Duration
	reconnects             int
}

// refusal is an error answer of an entry instance.
type refusal struct {
	status     int
	retryAfter string
	Error_     struct {
		Outcome, Code, Message, Field string
	} `json:"error"`
}

func (r *refusal) Error() string {
	return fmt.Sprintf("status %d: %s/%s: %s", r.status, r.Error_.Outcome, r.Error_.Code, r.Error_.Message)
}

func readRefusal(response *http.Response) *refusal {
	r := &refusal{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}
	raw, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(raw, r)
	return r
}

// caller sends requests of one organisation.
type caller struct {
	urls []string
	key  string
	http *http.Client
	// progress is called after each token.
	progress func(tokens int)
}

// callerSilence is how long a caller waits for any byte before it reconnects.
const callerSilence = 2500 * time.Millisecond

func newCaller(organisation string, urls []string) *caller {
	return &caller{
		urls: urls, key: organisation + "-key",
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext, DisableKeepAlives: true,
		}},
	}
}

type generationRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// generate asks for a streamed answer and resumes it at the other instances
// after each lost connection.
func (c *caller) generate(ctx context.Context, rank, prompt string, maxTokens int) (*answer, error) {
	body, err := json.Marshal(generationRequest{Model: "summary", Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	a, started := &answer{}, time.Now()
	last := started
	for try := 0; ; try++ {
		err := c.connect(ctx, a, c.urls[try%len(c.urls)], rank, string(body), started, &last)
		if a.finished {
			return a, nil
		}
		var refused *refusal
		if errors.As(err, &refused) && a.stream == "" || ctx.Err() != nil {
			return a, err
		}
		var violation *violation
		if errors.As(err, &violation) {
			return a, err
		}
		if try > 200 {
			return a, fmt.Errorf("gave up after %d connections: %w", try, err)
		}
		a.reconnects++
		time.Sleep(50 * time.Millisecond)
	}
}

// violation is a broken guarantee that the caller can see.
type violation struct{ message string }

func (v *violation) Error() string { return v.message }

func (c *caller) connect(ctx context.Context, a *answer, url, rank, body string, started time.Time, last *time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(callerSilence, cancel)
	defer silence.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if a.stream != "" {
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/streams/"+a.stream, nil)
		if err == nil && len(a.tokens) > 0 {
			request.Header.Set("Last-Event-ID", fmt.Sprintf("%s.%d", a.stream, len(a.tokens)-1))
		}
	}
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if rank != "" {
		request.Header.Set("X-Rank", rank)
	}
	if a.stream == "" {
		// A new request may wait in the queue before its first byte.
		silence.Stop()
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	a.stream = response.Header.Get("X-Stream")
	return c.read(response.Body, a, silence, started, last)
}

func (c *caller) read(body io.Reader, a *answer, silence *time.Timer, started time.Time, last *time.Time) error {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		silence.Reset(callerSilence)
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			return fmt.Errorf("event %s", value)
		case "data":
			if value == "[DONE]" {
				a.finished = true
				return nil
			}
			if err := c.token(a, id, value, started, last); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (c *caller) token(a *answer, id, data string, started time.Time, last *time.Time) error {
	var chunk struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return &violation{"undecodable event: " + data}
	}
	dot := strings.LastIndexByte(id, '.')
	position, err := strconv.Atoi(id[dot+1:])
	if err != nil || dot < 0 || id[:dot] != a.stream {
		return &violation{"event of another stream: " + id}
	}
	if position != len(a.tokens) {
		return &violation{fmt.Sprintf("event at position %d after %d tokens", position, len(a.tokens))}
	}
	if chunk.Choices[0].FinishReason != nil {
		return nil
	}
	now := time.Now()
	if len(a.tokens) == 0 {
		a.firstToken = now.Sub(started)
	} else {
		a.longestGap = max(a.longestGap, now.Sub(*last))
	}
	*last = now
	a.tokens = append(a.tokens, chunk.Choices[0].Text)
	if c.progress != nil {
		c.progress(len(a.tokens))
	}
	return nil
}
