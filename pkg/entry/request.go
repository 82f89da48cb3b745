package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
)

const (
	// defaultMaxTokens applies when neither the request nor the service has a limit.
	defaultMaxTokens = 1024
	// maxMaxTokens bounds the output of services without a limit of their own.
	maxMaxTokens = 1 << 20
	// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
	maxIdempotencyKeyBytes = 256
	maxMessages            = 4096
)

// readBody reads a bounded body within the body time-out.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.limits.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &apiError{
			status: http.StatusRequestEntityTooLarge, code: "body_too_large", field: "body",
			message: "must have at most " + strconv.FormatInt(limit, 10) + " bytes",
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &apiError{status: http.StatusRequestTimeout, code: "body_too_slow", field: "body", message: "did not arrive in time"}
	case err != nil:
		return nil, badField("body", "body_broken", "could not be read")
	}
	// An expired deadline would be taken for the end of the connection while the
	// answer is being sent.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// decodeJSON decodes a body and names the field at fault.
func decodeJSON(body []byte, into any) error {
	if !utf8.Valid(body) {
		return badField("body", "bad_json", "is not UTF-8")
	}
	err := json.Unmarshal(body, into)
	var typeError *json.UnmarshalTypeError
	var api *apiError
	if errors.As(err, &api) {
		return api
	}
	if errors.As(err, &typeError) && typeError.Field != "" {
		return badField(typeError.Field, "bad_type", "must not be "+typeError.Value)
	}
	if err != nil {
		return badField("body", "bad_json", err.Error())
	}
	return nil
}

type completionBody struct {
	Model     string  `json:"model"`
	Prompt    *string `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	N         *int    `json:"n"`
	Stream    bool    `json:"stream"`
}

type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string or a list of text parts.
type chatContent struct {
	text string
	set  bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(raw []byte) error {
	c.set = string(raw) != "null"
	if json.Unmarshal(raw, &c.text) == nil {
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return badField("messages.content", "bad_type", "must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return badField("messages.content.type", "bad_value", `must be "text"`)
		}
		b.WriteString(p.Text)
	}
	c.text = b.String()
	return nil
}

// asked is a decoded generation request before organisation and rank are known.
type asked struct {
	request generation.Request
	stream  bool
}

func decodeCompletion(body []byte) (asked, error) {
	var b completionBody
	if err := decodeJSON(body, &b); err != nil {
		return asked{}, err
	}
	if b.Prompt == nil || *b.Prompt == "" {
		return asked{}, badField("prompt", "missing", "must be set")
	}
	return ask(b.Model, *b.Prompt, b.MaxTokens, b.N, b.Stream, false)
}

func decodeChat(body []byte) (asked, error) {
	var b chatBody
	if err := decodeJSON(body, &b); err != nil {
		return asked{}, err
	}
	if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
		return asked{}, badField("messages", "bad_value", "must have 1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	var prompt strings.Builder
	for i, m := range b.Messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return asked{}, badField(field+".role", "bad_value", "is not a known role")
		}
		if !m.Content.set {
			return asked{}, badField(field+".content", "missing", "must be set")
		}
		prompt.WriteString(m.Role + ": " + m.Content.text + "\n")
	}
	prompt.WriteString("assistant:")
	limit := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		limit = b.MaxCompletionTokens
	}
	return ask(b.Model, prompt.String(), limit, b.N, b.Stream, true)
}

func ask(model, prompt string, maxTokens, n *int, stream, chat bool) (asked, error) {
	if model == "" {
		return asked{}, badField("model", "missing", "must be set")
	}
	if n != nil && *n != 1 {
		return asked{}, badField("n", "bad_value", "must be 1")
	}
	a := asked{stream: stream, request: generation.Request{Model: model, Prompt: prompt, Chat: chat}}
	if maxTokens != nil {
		if *maxTokens < 1 {
			return asked{}, badField("max_tokens", "bad_value", "must be at least 1")
		}
		a.request.MaxTokens = *maxTokens
	}
	return a, nil
}

// complete fills in organisation, rank, limits and key.
func (c caller) complete(r *http.Request, a *asked) error {
	service, ok := c.service(a.request.Model, document.Generation)
	if !ok {
		return &apiError{status: http.StatusNotFound, code: "unknown_model", field: "model", message: "there is no such model"}
	}
	limit := service.MaxTokens
	if limit == 0 {
		limit = maxMaxTokens
	}
	if a.request.MaxTokens > limit {
		return badField("max_tokens", "bad_value", "must be at most "+strconv.Itoa(limit))
	}
	if a.request.MaxTokens == 0 {
		a.request.MaxTokens = min(defaultMaxTokens, limit)
	}
	rank, err := c.rank(r, "")
	if err != nil {
		return err
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKeyBytes {
		return badField("Idempotency-Key", "bad_value", "must have at most "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	a.request.Organisation, a.request.Rank, a.request.IdempotencyKey = c.organisation, rank, key
	return nil
}

// maxStreamIDBytes bounds stream identifiers in paths and headers.
const maxStreamIDBytes = 256

// parseEventID splits "<stream>.<position>".
func parseEventID(id string) (stream string, position int, err error) {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 || dot > maxStreamIDBytes {
		return "", 0, badField("Last-Event-ID", "bad_value", "must be <stream>.<position>")
	}
	digits := id[dot+1:]
	n, convErr := strconv.ParseUint(digits, 10, 31)
	if convErr != nil || strconv.FormatUint(n, 10) != digits || !plainStreamID(id[:dot]) {
		return "", 0, badField("Last-Event-ID", "bad_value", "must be <stream>.<position>")
	}
	return id[:dot], int(n), nil
}

// plainStreamID refuses characters that would break a header or an event line.
func plainStreamID(stream string) bool {
	if stream == "" || len(stream) > maxStreamIDBytes {
		return false
	}
	for _, c := range []byte(stream) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
