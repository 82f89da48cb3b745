package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
)

// Limits of the data read from an engine.
const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 4 << 10
)

// Completion is the body of a request that starts a generation.
type Completion struct {
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	// Priority is 1 for urgent work and 0 otherwise.
	Priority int    `json:"priority"`
	StreamID string `json:"stream_id"`
	Seed     int64  `json:"seed"`
}

// Chunk is the data of one SSE event.
type Chunk struct {
	Position     int    `json:"position"`
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// HTTP is the adapter for engines that use HTTP and SSE.
type HTTP struct {
	baseURL string
	client  *http.Client
}

// NewHTTP returns a client of the engine at address, which has the form ip:port.
// The HTTP client must have no overall timeout, because streams run for minutes.
func NewHTTP(address string, client *http.Client) Engine {
	return &HTTP{baseURL: "http://" + address, client: client}
}

// Start implements Engine.
func (h *HTTP) Start(ctx context.Context, r Request) (Stream, error) {
	priority := 0
	if r.Urgent {
		priority = 1
	}
	body, err := json.Marshal(Completion{
		Model: r.Model, Prompt: r.Prompt, Prefix: r.Prefix, MaxTokens: r.MaxTokens,
		Priority: priority, StreamID: r.StreamID, Seed: r.Seed,
	})
	if err != nil {
		return nil, &Error{Reason: BadRequest, Err: err}
	}
	return h.openStream(ctx, http.MethodPost, "/v1/completions", body)
}

// Resume implements Engine.
func (h *HTTP) Resume(ctx context.Context, streamID string, position int) (Stream, error) {
	path := "/v1/streams/" + url.PathEscape(streamID) + "?from=" + strconv.Itoa(position)
	return h.openStream(ctx, http.MethodGet, path, nil)
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, streamID string) error {
	return h.call(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(streamID), nil, nil)
}

// LoadReport implements Engine.
func (h *HTTP) LoadReport(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := h.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// Order implements Engine.
func (h *HTTP) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Error{Reason: BadRequest, Err: err}
	}
	return h.call(ctx, http.MethodPost, "/v1/orders", body, nil)
}

// openStream sends a request and returns the stream of its response. ctx only
// applies until the response header arrives; after that the stream stays open
// until Close.
func (h *HTTP) openStream(ctx context.Context, method, path string, body []byte) (Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	response, err := h.do(streamCtx, method, path, body)
	if !detach() && err == nil {
		_ = response.Body.Close()
		err = &Error{Reason: MayHaveRun, Err: ctx.Err()}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &stream{
		body: response.Body, reader: bufio.NewReaderSize(response.Body, 1024), cancel: cancel,
	}, nil
}

// call sends a request and decodes the JSON response into result, unless it is nil.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, result any) error {
	response, err := h.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(result); err != nil {
		return &Error{Reason: MayHaveRun, Err: err}
	}
	return nil
}

// do sends a request. It returns a response with a 2xx status or an *Error.
func (h *HTTP) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Reason: BadRequest, Err: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, &Error{Reason: transportReason(err), Err: err}
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
	return nil, &Error{
		Reason: statusReason(response.StatusCode),
		Err:    eris.Errorf("engine returned status %d: %s", response.StatusCode, bytes.TrimSpace(text)),
	}
}

// transportReason distinguishes a failed dial, after which nothing ran, from
// later failures.
func transportReason(err error) Reason {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotSent
	}
	return MayHaveRun
}

// statusReason returns the reason for a response status that is not 2xx.
func statusReason(status int) Reason {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused
	case http.StatusNotFound, http.StatusGone:
		return UnknownStream
	case http.StatusPreconditionFailed:
		return Fenced
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return BadRequest
	}
	return MayHaveRun
}

// stream implements Stream for the SSE events of one connection.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc

	// boundCtx is the context of the last call of Next; when it ends, the
	// connection is closed.
	boundCtx context.Context
	unbind   func() bool
}

var (
	dataPrefix     = []byte("data:")
	commentPrefix  = []byte(":")
	errLineTooLong = errors.New("event of the engine exceeds the line limit")
)

// Next implements Stream. It reads at most maxLineBytes, and one line more, for one event.
func (s *stream) Next(ctx context.Context) (Event, error) {
	s.bind(ctx)
	for skipped := 0; ; {
		line, err := s.readLine()
		if err == nil && skipped > maxLineBytes {
			err = errLineTooLong
		}
		if err != nil {
			return Event{}, &Error{Reason: MayHaveRun, Err: err}
		}
		skipped += len(line) + 1
		switch {
		case bytes.HasPrefix(line, dataPrefix):
			return decodeEvent(line[len(dataPrefix):])
		case bytes.HasPrefix(line, commentPrefix):
			return Event{Kind: Heartbeat}, nil
		}
	}
}

// bind closes the connection when ctx ends. Callers pass the same context to every
// call of Next, so it is registered only once per connection.
func (s *stream) bind(ctx context.Context) {
	if s.boundCtx == ctx {
		return
	}
	if s.unbind != nil {
		s.unbind()
	}
	s.boundCtx, s.unbind = ctx, context.AfterFunc(ctx, s.cancel)
}

// readLine returns the next line without surrounding white space. The line is only
// valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimSpace(line), err
	}
	buffer := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(buffer) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		buffer = append(buffer, line...)
	}
	return bytes.TrimSpace(buffer), err
}

// decodeEvent decodes the data of an SSE event.
func decodeEvent(data []byte) (Event, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, &Error{Reason: MayHaveRun, Err: err}
	}
	if c.Position < 0 {
		return Event{}, &Error{Reason: MayHaveRun, Err: eris.New("event of the engine has a negative position")}
	}
	if c.FinishReason != "" {
		return Event{Kind: Finished, Position: c.Position, FinishReason: c.FinishReason}, nil
	}
	return Event{Kind: Token, Position: c.Position, Text: c.Text}, nil
}

// Close implements Stream.
func (s *stream) Close() {
	s.cancel()
	_ = s.body.Close()
}
