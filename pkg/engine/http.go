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

// Bounds of what is read from an engine.
const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 4 << 10
)

// Completion is the body of a request for a generation.
type Completion struct {
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	// Priority is higher for urgent work: 1 or 0.
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

// HTTP is the adapter to engines with the HTTP + SSE protocol.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns the adapter to the engine at address, an IP and a port. The
// client must have no overall time-out, because streams run for minutes.
func NewHTTP(address string, client *http.Client) Engine {
	return &HTTP{base: "http://" + address, client: client}
}

// Start implements Engine.
func (h *HTTP) Start(ctx context.Context, r Request) (Stream, error) {
	priority := 0
	if r.Urgent {
		priority = 1
	}
	body, err := json.Marshal(Completion{
		Model: r.Model, Prompt: r.Prompt, Prefix: r.Prefix, MaxTokens: r.MaxTokens,
		Priority: priority, StreamID: r.Stream, Seed: r.Seed,
	})
	if err != nil {
		return nil, &Error{Reason: BadRequest, Err: err}
	}
	return h.open(ctx, http.MethodPost, "/v1/completions", body)
}

// Resume implements Engine.
func (h *HTTP) Resume(ctx context.Context, stream string, position int) (Stream, error) {
	path := "/v1/streams/" + url.PathEscape(stream) + "?from=" + strconv.Itoa(position)
	return h.open(ctx, http.MethodGet, path, nil)
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, stream string) error {
	return h.call(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(stream), nil, nil)
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context) (Load, error) {
	var load Load
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

// open starts a streamed answer. ctx bounds the time until the response
// header; afterwards the stream lives until Close.
func (h *HTTP) open(ctx context.Context, method, path string, body []byte) (Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	response, err := h.do(streamCtx, method, path, body)
	if !stop() && err == nil {
		_ = response.Body.Close()
		err = &Error{Reason: Broken, Err: ctx.Err()}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &stream{
		body: response.Body, reader: bufio.NewReaderSize(response.Body, 1024), cancel: cancel,
	}, nil
}

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, into any) error {
	response, err := h.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if into == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(into); err != nil {
		return &Error{Reason: Broken, Err: err}
	}
	return nil
}

// do sends one request and returns a response with a status of 2xx, or an *Error.
func (h *HTTP) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Reason: BadRequest, Err: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, &Error{Reason: reasonOf(err), Err: err}
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
	return nil, &Error{
		Reason: statusReason(response.StatusCode),
		Err:    eris.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text)),
	}
}

// reasonOf tells a failed dial, after which nothing ran, from later failures.
func reasonOf(err error) Reason {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotSent
	}
	return Broken
}

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
	return Broken
}

// stream reads the SSE events of one connection.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc

	// watched is the context of the last Next; its end closes the connection.
	watched context.Context
	unwatch func() bool
}

var (
	dataField      = []byte("data:")
	commentField   = []byte(":")
	errLineTooLong = errors.New("an event of the engine is too long")
)

// Next implements Stream.
func (s *stream) Next(ctx context.Context) (Event, error) {
	s.watch(ctx)
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, &Error{Reason: Broken, Err: err}
		}
		switch {
		case bytes.HasPrefix(line, dataField):
			return decode(line[len(dataField):])
		case bytes.HasPrefix(line, commentField):
			return Event{Kind: Heartbeat}, nil
		}
	}
}

// watch binds the connection to ctx. Callers pass one context for all events,
// so this is done once for each connection.
func (s *stream) watch(ctx context.Context) {
	if s.watched == ctx {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watched, s.unwatch = ctx, context.AfterFunc(ctx, s.cancel)
}

func (s *stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimSpace(line), err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimSpace(long), err
}

func decode(data []byte) (Event, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, &Error{Reason: Broken, Err: err}
	}
	if c.Position < 0 {
		return Event{}, &Error{Reason: Broken, Err: eris.New("an event has a negative position")}
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
