package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
)

func (s *Service) completions(w http.ResponseWriter, r *http.Request, c caller) error {
	return s.generate(w, r, c, decodeCompletion)
}

func (s *Service) chatCompletions(w http.ResponseWriter, r *http.Request, c caller) error {
	return s.generate(w, r, c, decodeChat)
}

func (s *Service) generate(w http.ResponseWriter, r *http.Request, c caller, decode func([]byte) (asked, error)) error {
	a, err := s.ask(w, r, c, decode)
	if err != nil {
		return mayHaveRun(r, err)
	}
	if !take(&s.streams, s.limits.streams) {
		return mayHaveRun(r, fullOfStreams())
	}
	defer s.streams.Add(-1)
	session, err := s.session(r, a)
	if err != nil {
		return err
	}
	defer session.Close()
	if a.stream {
		return s.sendEvents(w, r, session)
	}
	return s.sendWhole(w, r, session)
}

// ask reads and checks a generation request.
func (s *Service) ask(w http.ResponseWriter, r *http.Request, c caller, decode func([]byte) (asked, error)) (asked, error) {
	body, err := s.readBody(w, r, s.Settings.MaxBodyBytes)
	if err != nil {
		return asked{}, err
	}
	a, err := decode(body)
	if err != nil {
		return asked{}, err
	}
	return a, c.complete(r, &a)
}

func fullOfStreams() *apiError {
	return &apiError{status: http.StatusServiceUnavailable, code: "too_many_streams", message: "the instance is full", retryAfter: time.Second}
}

// session opens a generation, or resumes the one named by Last-Event-ID.
func (s *Service) session(r *http.Request, a asked) (generation.Session, error) {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return s.Runner.Open(r.Context(), a.request)
	}
	stream, position, err := parseEventID(last)
	if err != nil {
		return nil, mayHaveRun(r, err)
	}
	if !a.stream {
		// A whole answer always starts at the first token.
		position = -1
	}
	session, err := s.Runner.Resume(r.Context(), a.request.Organisation, stream, position)
	if err != nil {
		return nil, mayHaveRun(r, err)
	}
	opened := session.Request()
	if opened.Model != a.request.Model || opened.Prompt != a.request.Prompt || opened.Chat != a.request.Chat {
		session.Close()
		return nil, mayHaveRun(r, &apiError{
			status: http.StatusUnprocessableEntity, code: "other_request", field: "Last-Event-ID",
			message: "the stream belongs to another request",
		})
	}
	return session, nil
}

func (s *Service) resume(w http.ResponseWriter, r *http.Request, c caller) error {
	stream := chi.URLParam(r, "stream")
	if !plainStreamID(stream) {
		return badField("stream", "bad_value", "is not a stream identifier")
	}
	after := -1
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		named, position, err := parseEventID(last)
		if err != nil {
			return err
		}
		if named != stream {
			return badField("Last-Event-ID", "other_stream", "names another stream than the path")
		}
		after = position
	}
	if !take(&s.streams, s.limits.streams) {
		return ran(fullOfStreams())
	}
	defer s.streams.Add(-1)
	session, err := s.Runner.Resume(r.Context(), c.organisation, stream, after)
	if err != nil {
		return ran(err)
	}
	defer session.Close()
	return s.sendEvents(w, r, session)
}

// next is one result of Session.Next.
type next struct {
	event generation.Event
	err   error
}

// pull reads a session into a channel, so that heartbeats can be sent while
// it blocks.
func pull(ctx context.Context, session generation.Session) <-chan next {
	const ahead = 64
	results := make(chan next, ahead)
	go func() {
		for {
			event, err := session.Next(ctx)
			select {
			case results <- next{event, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return results
}

// sendEvents streams an answer by SSE. A caller that does not read within the
// write time-out loses its connection; the session goes on without it.
func (s *Service) sendEvents(w http.ResponseWriter, r *http.Request, session generation.Session) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	out := newEventWriter(w, session, s.limits.writeTimeout)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Stream", session.Stream())
	w.WriteHeader(http.StatusOK)
	if err := out.flush(); err != nil {
		return callerGone(err)
	}
	results := pull(ctx, session)
	heartbeat := time.NewTicker(s.limits.heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case result := <-results:
			if result.err != nil {
				return out.end(result.err)
			}
			if err := out.event(result.event); err != nil {
				return callerGone(err)
			}
			if len(results) > 0 {
				continue
			}
		case <-heartbeat.C:
			_, _ = out.buffer.WriteString(": heartbeat\n\n")
		case <-ctx.Done():
			return callerGone(ctx.Err())
		}
		if err := out.flush(); err != nil {
			return callerGone(err)
		}
	}
}

// eventWriter writes SSE events, each with a write deadline.
type eventWriter struct {
	control *http.ResponseController
	buffer  *bufio.Writer
	timeout time.Duration
	stream  string
	request generation.Request
}

func newEventWriter(w http.ResponseWriter, session generation.Session, timeout time.Duration) *eventWriter {
	return &eventWriter{
		control: http.NewResponseController(w), buffer: bufio.NewWriter(w), timeout: timeout,
		stream: session.Stream(), request: session.Request(),
	}
}

func (e *eventWriter) deadline() { _ = e.control.SetWriteDeadline(time.Now().Add(e.timeout)) }

func (e *eventWriter) flush() error {
	e.deadline()
	if err := e.buffer.Flush(); err != nil {
		return err
	}
	return e.control.Flush()
}

func (e *eventWriter) event(event generation.Event) error {
	raw, err := json.Marshal(e.chunk(event))
	if err != nil {
		return err
	}
	e.deadline()
	_, _ = e.buffer.WriteString("id: " + e.stream + "." + strconv.Itoa(event.Position) + "\ndata: ")
	_, _ = e.buffer.Write(raw)
	_, err = e.buffer.WriteString("\n\n")
	return err
}

// end sends the end mark or the error that ended the stream.
func (e *eventWriter) end(cause error) error {
	if errors.Is(cause, io.EOF) {
		_, _ = e.buffer.WriteString("data: [DONE]\n\n")
		if err := e.flush(); err != nil {
			return callerGone(err)
		}
		return nil
	}
	api := *asAPIError(cause)
	// Tokens may have been sent, so the work ran at least in part.
	api.sent, api.outcome = true, outcomeUnknown
	raw, err := json.Marshal(api.body())
	if err != nil {
		return err
	}
	_, _ = e.buffer.WriteString("event: error\ndata: " + string(raw) + "\n\n")
	_ = e.flush()
	return &api
}

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (e *eventWriter) chunk(event generation.Event) chunk {
	choice := chunkChoice{}
	c := chunk{ID: e.stream, Object: "text_completion", Model: e.request.Model}
	if e.request.Chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &chatDelta{Content: event.Text}
	} else {
		choice.Text = &event.Text
	}
	if event.Finished {
		choice.FinishReason = &event.FinishReason
		c.Usage = &usage{CompletionTokens: event.Position}
	}
	c.Choices = []chunkChoice{choice}
	return c
}

// sendWhole collects an answer and sends it at once.
func (s *Service) sendWhole(w http.ResponseWriter, r *http.Request, session generation.Session) error {
	var text strings.Builder
	var last generation.Event
	for {
		event, err := session.Next(r.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return ran(err)
		}
		if event.Finished {
			last = event
			continue
		}
		text.WriteString(event.Text)
	}
	request, whole := session.Request(), text.String()
	c := chunk{ID: session.Stream(), Object: "text_completion", Model: request.Model, Usage: &usage{last.Position}}
	choice := chunkChoice{FinishReason: &last.FinishReason}
	if request.Chat {
		c.Object = "chat.completion"
		choice.Message = &chatDelta{Role: "assistant", Content: whole}
	} else {
		choice.Text = &whole
	}
	c.Choices = []chunkChoice{choice}
	w.Header().Set("X-Stream", session.Stream())
	return s.writeJSON(w, http.StatusOK, c)
}
