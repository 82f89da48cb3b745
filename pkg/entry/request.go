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
	// defaultMaxTokens applies when the request sets no limit; a lower limit of
	// the service takes precedence.
	defaultMaxTokens = 1024
	// defaultServiceMaxTokens limits the output of services that set no limit.
	defaultServiceMaxTokens = 1 << 20
	// maxIdempotencyKeyBytes limits the Idempotency-Key header.
	maxIdempotencyKeyBytes = 256
	// maxMessages limits the messages of one chat request.
	maxMessages = 4096
)

// readBody reads a body of at most limit bytes within the body timeout.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.bodyTimeout))
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
		return nil, invalidField("body", "body_broken", "could not be read")
	}
	// Once the deadline expired, net/http would treat the connection as closed
	// while the response is being sent.
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// decodeJSON decodes a body into target. The error names the invalid field.
func decodeJSON(body []byte, target any) error {
	if !utf8.Valid(body) {
		return invalidField("body", "bad_json", "is not UTF-8")
	}
	err := json.Unmarshal(body, target)
	var typeError *json.UnmarshalTypeError
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return apiErr
	}
	if errors.As(err, &typeError) && typeError.Field != "" {
		return invalidField(typeError.Field, "bad_type", "must not be "+typeError.Value)
	}
	if err != nil {
		return invalidField("body", "bad_json", err.Error())
	}
	return nil
}

type completionRequest struct {
	Model     string  `json:"model"`
	Prompt    *string `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	N         *int    `json:"n"`
	Stream    bool    `json:"stream"`
}

type chatRequest struct {
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

// chatContent is the content of a message: a string or a list of text parts.
type chatContent struct {
	text    string
	present bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(raw []byte) error {
	c.present = string(raw) != "null"
	if json.Unmarshal(raw, &c.text) == nil {
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return invalidField("messages.content", "bad_type", "must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return invalidField("messages.content.type", "bad_value", `must be "text"`)
		}
		b.WriteString(p.Text)
	}
	c.text = b.String()
	return nil
}

// decodedRequest is a generation request decoded from a body. The fields that
// depend on the organisation are filled in by fillRequest.
type decodedRequest struct {
	request generation.Request
	stream  bool
}

// decodeCompletion decodes the body of a completion request.
func decodeCompletion(body []byte) (decodedRequest, error) {
	var b completionRequest
	if err := decodeJSON(body, &b); err != nil {
		return decodedRequest{}, err
	}
	if b.Prompt == nil || *b.Prompt == "" {
		return decodedRequest{}, invalidField("prompt", "missing", "must be set")
	}
	return newDecodedRequest(b.Model, *b.Prompt, b.MaxTokens, b.N, b.Stream, false)
}

// decodeChat decodes the body of a chat request and joins its messages to one
// prompt.
func decodeChat(body []byte) (decodedRequest, error) {
	var b chatRequest
	if err := decodeJSON(body, &b); err != nil {
		return decodedRequest{}, err
	}
	if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
		return decodedRequest{}, invalidField("messages", "bad_value", "must have 1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	var prompt strings.Builder
	for i, m := range b.Messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return decodedRequest{}, invalidField(field+".role", "bad_value", "is not a known role")
		}
		if !m.Content.present {
			return decodedRequest{}, invalidField(field+".content", "missing", "must be set")
		}
		prompt.WriteString(m.Role + ": " + m.Content.text + "\n")
	}
	prompt.WriteString("assistant:")
	limit := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		limit = b.MaxCompletionTokens
	}
	return newDecodedRequest(b.Model, prompt.String(), limit, b.N, b.Stream, true)
}

// newDecodedRequest checks the fields that completion and chat requests share.
func newDecodedRequest(model, prompt string, maxTokens, n *int, stream, chat bool) (decodedRequest, error) {
	if model == "" {
		return decodedRequest{}, invalidField("model", "missing", "must be set")
	}
	if n != nil && *n != 1 {
		return decodedRequest{}, invalidField("n", "bad_value", "must be 1")
	}
	decoded := decodedRequest{stream: stream, request: generation.Request{Model: model, Prompt: prompt, Chat: chat}}
	if maxTokens != nil {
		if *maxTokens < 1 {
			return decodedRequest{}, invalidField("max_tokens", "bad_value", "must be at least 1")
		}
		decoded.request.MaxTokens = *maxTokens
	}
	return decoded, nil
}

// fillRequest checks a decoded request against the caller's configuration and
// sets its organisation, rank, token limit and idempotency key.
func (c caller) fillRequest(r *http.Request, decoded *decodedRequest) error {
	service, ok := c.allowedService(decoded.request.Model, document.KindGeneration)
	if !ok {
		return &apiError{status: http.StatusNotFound, code: "unknown_model", field: "model", message: "there is no such model"}
	}
	limit := service.MaxTokens
	if limit == 0 {
		limit = defaultServiceMaxTokens
	}
	if decoded.request.MaxTokens > limit {
		return invalidField("max_tokens", "bad_value", "must be at most "+strconv.Itoa(limit))
	}
	if decoded.request.MaxTokens == 0 {
		decoded.request.MaxTokens = min(defaultMaxTokens, limit)
	}
	rank, err := c.resolveRank(r, "")
	if err != nil {
		return err
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKeyBytes {
		return invalidField("Idempotency-Key", "bad_value", "must have at most "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	decoded.request.Organisation, decoded.request.Rank, decoded.request.IdempotencyKey = c.organisation, rank, key
	return nil
}

// maxStreamIDBytes limits stream identifiers in paths and headers.
const maxStreamIDBytes = 256

// parseEventID parses an event identifier of the form "<stream>.<position>".
func parseEventID(id string) (streamID string, position int, err error) {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 || dot > maxStreamIDBytes {
		return "", 0, invalidField("Last-Event-ID", "bad_value", "must be <stream>.<position>")
	}
	digits := id[dot+1:]
	n, convErr := strconv.ParseUint(digits, 10, 31)
	if convErr != nil || strconv.FormatUint(n, 10) != digits || !isValidID(id[:dot]) {
		return "", 0, invalidField("Last-Event-ID", "bad_value", "must be <stream>.<position>")
	}
	return id[:dot], int(n), nil
}

// isValidID reports whether id consists of visible ASCII characters, which are
// safe in a header and in an SSE line, and is at most maxStreamIDBytes long.
func isValidID(id string) bool {
	if id == "" || len(id) > maxStreamIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
