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

// createCompletion handles POST /v1/completions.
func (s *Service) createCompletion(w http.ResponseWriter, r *http.Request, c caller) error {
	return s.generate(w, r, c, decodeCompletion)
}

// createChatCompletion handles POST /v1/chat/completions.
func (s *Service) createChatCompletion(w http.ResponseWriter, r *http.Request, c caller) error {
	return s.generate(w, r, c, decodeChat)
}

// generate opens or resumes a generation and sends its output as a stream or as
// one response.
func (s *Service) generate(w http.ResponseWriter, r *http.Request, c caller, decode func([]byte) (decodedRequest, error)) error {
	decoded, err := s.readRequest(w, r, c, decode)
	if err != nil {
		return withUnknownOutcomeIfResend(r, err)
	}
	if !tryReserve(&s.activeStreams, s.limits.maxStreams) {
		return withUnknownOutcomeIfResend(r, tooManyStreams())
	}
	defer s.activeStreams.Add(-1)
	session, err := s.openSession(r, decoded)
	if err != nil {
		return err
	}
	defer session.Close()
	if decoded.stream {
		return s.sendEvents(w, r, session)
	}
	return s.sendSingleResponse(w, r, session)
}

// readRequest reads and validates a generation request.
func (s *Service) readRequest(w http.ResponseWriter, r *http.Request, c caller, decode func([]byte) (decodedRequest, error)) (decodedRequest, error) {
	body, err := s.readBody(w, r, s.Settings.MaxBodyBytes)
	if err != nil {
		return decodedRequest{}, err
	}
	decoded, err := decode(body)
	if err != nil {
		return decodedRequest{}, err
	}
	return decoded, c.fillRequest(r, &decoded)
}

func tooManyStreams() *apiError {
	return &apiError{status: http.StatusServiceUnavailable, code: "too_many_streams", message: "the instance is full", retryAfter: time.Second}
}

// openSession opens a generation, or resumes the one named by Last-Event-ID.
func (s *Service) openSession(r *http.Request, decoded decodedRequest) (generation.Session, error) {
	lastEventID := r.Header.Get("Last-Event-ID")
	if lastEventID == "" {
		return s.Runner.Open(r.Context(), decoded.request)
	}
	streamID, position, err := parseEventID(lastEventID)
	if err != nil {
		return nil, withUnknownOutcomeIfResend(r, err)
	}
	if !decoded.stream {
		// A response that is not streamed always starts at the first token.
		position = -1
	}
	session, err := s.Runner.Resume(r.Context(), decoded.request.Organisation, streamID, position)
	if err != nil {
		return nil, withUnknownOutcomeIfResend(r, err)
	}
	original := session.Request()
	if original.Model != decoded.request.Model || original.Prompt != decoded.request.Prompt || original.Chat != decoded.request.Chat {
		session.Close()
		return nil, withUnknownOutcomeIfResend(r, &apiError{
			status: http.StatusUnprocessableEntity, code: "other_request", field: "Last-Event-ID",
			message: "the stream belongs to another request",
		})
	}
	return session, nil
}

// resumeStream sends the rest of a stream after the event in Last-Event-ID, or the
// whole stream without that header.
func (s *Service) resumeStream(w http.ResponseWriter, r *http.Request, c caller) error {
	streamID := chi.URLParam(r, "stream")
	if !isValidID(streamID) {
		return invalidField("stream", "bad_value", "is not a stream identifier")
	}
	after := -1
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		eventStreamID, position, err := parseEventID(lastEventID)
		if err != nil {
			return err
		}
		if eventStreamID != streamID {
			return invalidField("Last-Event-ID", "other_stream", "names another stream than the path")
		}
		after = position
	}
	if !tryReserve(&s.activeStreams, s.limits.maxStreams) {
		return withUnknownOutcome(tooManyStreams())
	}
	defer s.activeStreams.Add(-1)
	session, err := s.Runner.Resume(r.Context(), c.organisation, streamID, after)
	if err != nil {
		return withUnknownOutcome(err)
	}
	defer session.Close()
	return s.sendEvents(w, r, session)
}

// nextResult is the result of one call of Session.Next.
type nextResult struct {
	event generation.Event
	err   error
}

// readAhead reads the events of a session into a channel until ctx ends or Next
// fails, so that heartbeats can be sent while Next blocks.
func readAhead(ctx context.Context, session generation.Session) <-chan nextResult {
	const maxBufferedEvents = 64
	results := make(chan nextResult, maxBufferedEvents)
	go func() {
		for {
			event, err := session.Next(ctx)
			select {
			case results <- nextResult{event, err}:
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

// sendEvents streams the output as SSE events. The connection of a caller that
// does not read within the write timeout is closed; the generation continues.
func (s *Service) sendEvents(w http.ResponseWriter, r *http.Request, session generation.Session) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	events := newEventWriter(w, session, s.limits.writeTimeout)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Stream", session.StreamID())
	w.WriteHeader(http.StatusOK)
	if err := events.flush(); err != nil {
		return callerDisconnected(err)
	}
	results := readAhead(ctx, session)
	heartbeat := time.NewTicker(s.limits.heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case result := <-results:
			if result.err != nil {
				return events.writeEnd(result.err)
			}
			if err := events.writeEvent(result.event); err != nil {
				return callerDisconnected(err)
			}
			if len(results) > 0 {
				continue
			}
		case <-heartbeat.C:
			_, _ = events.buffer.WriteString(": heartbeat\n\n")
		case <-ctx.Done():
			return callerDisconnected(ctx.Err())
		}
		if err := events.flush(); err != nil {
			return callerDisconnected(err)
		}
	}
}

// eventWriter writes SSE events and sets a write deadline before each write.
type eventWriter struct {
	controller *http.ResponseController
	buffer     *bufio.Writer
	timeout    time.Duration
	streamID   string
	request    generation.Request
}

func newEventWriter(w http.ResponseWriter, session generation.Session, timeout time.Duration) *eventWriter {
	return &eventWriter{
		controller: http.NewResponseController(w), buffer: bufio.NewWriter(w), timeout: timeout,
		streamID: session.StreamID(), request: session.Request(),
	}
}

// extendDeadline sets the write deadline to one timeout from now.
func (e *eventWriter) extendDeadline() { _ = e.controller.SetWriteDeadline(time.Now().Add(e.timeout)) }

func (e *eventWriter) flush() error {
	e.extendDeadline()
	if err := e.buffer.Flush(); err != nil {
		return err
	}
	return e.controller.Flush()
}

// writeEvent adds an event to the buffer.
func (e *eventWriter) writeEvent(event generation.Event) error {
	raw, err := json.Marshal(e.newChunk(event))
	if err != nil {
		return err
	}
	e.extendDeadline()
	_, _ = e.buffer.WriteString("id: " + e.streamID + "." + strconv.Itoa(event.Position) + "\ndata: ")
	_, _ = e.buffer.Write(raw)
	_, err = e.buffer.WriteString("\n\n")
	return err
}

// writeEnd sends the final [DONE] event after io.EOF, or else an error event.
func (e *eventWriter) writeEnd(cause error) error {
	if errors.Is(cause, io.EOF) {
		_, _ = e.buffer.WriteString("data: [DONE]\n\n")
		if err := e.flush(); err != nil {
			return callerDisconnected(err)
		}
		return nil
	}
	apiErr := *asAPIError(cause)
	// Tokens may have been sent, so the work may have run in part.
	apiErr.responseStarted, apiErr.outcome = true, outcomeUnknown
	raw, err := json.Marshal(apiErr.body())
	if err != nil {
		return err
	}
	_, _ = e.buffer.WriteString("event: error\ndata: " + string(raw) + "\n\n")
	_ = e.flush()
	return &apiErr
}

// chunk is the JSON form of one SSE event or of a response that is not streamed.
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

// newChunk returns the JSON form of an event.
func (e *eventWriter) newChunk(event generation.Event) chunk {
	choice := chunkChoice{}
	c := chunk{ID: e.streamID, Object: "text_completion", Model: e.request.Model}
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

// sendSingleResponse collects the output and sends it as one response.
func (s *Service) sendSingleResponse(w http.ResponseWriter, r *http.Request, session generation.Session) error {
	var output strings.Builder
	var finished generation.Event
	for {
		event, err := session.Next(r.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return withUnknownOutcome(err)
		}
		if event.Finished {
			finished = event
			continue
		}
		output.WriteString(event.Text)
	}
	request, text := session.Request(), output.String()
	c := chunk{ID: session.StreamID(), Object: "text_completion", Model: request.Model, Usage: &usage{finished.Position}}
	choice := chunkChoice{FinishReason: &finished.FinishReason}
	if request.Chat {
		c.Object = "chat.completion"
		choice.Message = &chatDelta{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []chunkChoice{choice}
	w.Header().Set("X-Stream", session.StreamID())
	return s.writeJSON(w, http.StatusOK, c)
}
