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

// completionOutput is what a caller received of one generation, over all its
// connections.
type completionOutput struct {
	streamID string
	tokens   []string
	finished bool
	// timeToFirstToken and longestGap, the longest time between two tokens, are
	// measured by the caller.
	timeToFirstToken, longestGap time.Duration
	reconnects                   int
}

// errorResponse is an error response of an entry instance.
type errorResponse struct {
	status     int
	retryAfter string
	Details    struct {
		Outcome, Code, Message, Field string
	} `json:"error"`
}

func (r *errorResponse) Error() string {
	return fmt.Sprintf("status %d: %s/%s: %s", r.status, r.Details.Outcome, r.Details.Code, r.Details.Message)
}

func readErrorResponse(response *http.Response) *errorResponse {
	r := &errorResponse{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}
	raw, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(raw, r)
	return r
}

// caller sends the requests of one organisation.
type caller struct {
	urls   []string
	apiKey string
	client *http.Client
	// progress, unless nil, is called after each token.
	progress func(tokens int)
}

// callerSilenceTimeout is how long a connection may be silent before the caller reconnects.
const callerSilenceTimeout = 2500 * time.Millisecond

func newCaller(organisation string, urls []string) *caller {
	return &caller{
		urls: urls, apiKey: organisation + "-key",
		client: &http.Client{Transport: &http.Transport{
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

// generate requests a streamed completion. After each lost connection it resumes
// the stream at the next entry instance.
func (c *caller) generate(ctx context.Context, rank, prompt string, maxTokens int) (*completionOutput, error) {
	body, err := json.Marshal(generationRequest{Model: "summary", Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	output, started := &completionOutput{}, time.Now()
	lastTokenAt := started
	for attempt := 0; ; attempt++ {
		err := c.connect(ctx, output, c.urls[attempt%len(c.urls)], rank, string(body), started, &lastTokenAt)
		if output.finished {
			return output, nil
		}
		var errResponse *errorResponse
		if errors.As(err, &errResponse) && output.streamID == "" || ctx.Err() != nil {
			return output, err
		}
		var broken *protocolViolation
		if errors.As(err, &broken) {
			return output, err
		}
		if attempt > 200 {
			return output, fmt.Errorf("not complete after %d reconnects: %w", attempt, err)
		}
		output.reconnects++
		time.Sleep(50 * time.Millisecond)
	}
}

// protocolViolation is an event that breaks a guarantee of the stream protocol.
type protocolViolation struct{ message string }

func (v *protocolViolation) Error() string { return v.message }

// connect starts the generation, or resumes it if output has a stream, and reads
// events until the connection ends.
func (c *caller) connect(ctx context.Context, output *completionOutput, url, rank, body string, started time.Time, lastTokenAt *time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(callerSilenceTimeout, cancel)
	defer silenceTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if output.streamID != "" {
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/streams/"+output.streamID, nil)
		if err == nil && len(output.tokens) > 0 {
			request.Header.Set("Last-Event-ID", fmt.Sprintf("%s.%d", output.streamID, len(output.tokens)-1))
		}
	}
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.apiKey)
	request.Header.Set("Content-Type", "application/json")
	if rank != "" {
		request.Header.Set("X-Rank", rank)
	}
	if output.streamID == "" {
		// A new request may wait in the queue for longer than the timeout.
		silenceTimer.Stop()
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response)
	}
	output.streamID = response.Header.Get("X-Stream")
	return c.readEvents(response.Body, output, silenceTimer, started, lastTokenAt)
}

// readEvents reads server-sent events until the end of the stream. It returns
// nil only after [DONE].
func (c *caller) readEvents(body io.Reader, output *completionOutput, silenceTimer *time.Timer, started time.Time, lastTokenAt *time.Time) error {
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		silenceTimer.Reset(callerSilenceTimeout)
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			return fmt.Errorf("the stream ended with event %s", value)
		case "data":
			if value == "[DONE]" {
				output.finished = true
				return nil
			}
			if err := c.addToken(output, id, value, started, lastTokenAt); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// addToken checks the position of a token event and appends its token to output.
func (c *caller) addToken(output *completionOutput, id, data string, started time.Time, lastTokenAt *time.Time) error {
	var chunk struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return &protocolViolation{"undecodable event: " + data}
	}
	dot := strings.LastIndexByte(id, '.')
	position, err := strconv.Atoi(id[dot+1:])
	if err != nil || dot < 0 || id[:dot] != output.streamID {
		return &protocolViolation{"event of another stream: " + id}
	}
	if position != len(output.tokens) {
		return &protocolViolation{fmt.Sprintf("event at position %d after %d tokens", position, len(output.tokens))}
	}
	if chunk.Choices[0].FinishReason != nil {
		return nil
	}
	now := time.Now()
	if len(output.tokens) == 0 {
		output.timeToFirstToken = now.Sub(started)
	} else {
		output.longestGap = max(output.longestGap, now.Sub(*lastTokenAt))
	}
	*lastTokenAt = now
	output.tokens = append(output.tokens, chunk.Choices[0].Text)
	if c.progress != nil {
		c.progress(len(output.tokens))
	}
	return nil
}
