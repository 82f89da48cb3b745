package control

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

const (
	// maxDocumentBytes bounds the body of a whole document: three times the
	// size of a document with 35,000 organisations.
	maxDocumentBytes = 32 << 20
	// auditPage is the largest number of audit entries in one answer.
	auditPage = 1000
)

// ErrorBody is the error part of an answer to an operator.
type ErrorBody struct {
	// Outcome is "not_run" or "unknown".
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the input at fault.
	Field string `json:"field,omitempty"`
	// Version is the version in force, set on a conflict.
	Version uint64 `json:"version,omitempty"`
}

// ErrorAnswer is the body of every answer with a 4xx or 5xx status.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
	// Result is set when a change was decided.
	Result *Result `json:"result,omitempty"`
}

// StatusAnswer is the body of GET /v1/status.
type StatusAnswer struct {
	ID      string            `json:"id"`
	Role    string            `json:"role"`
	Term    uint64            `json:"term"`
	Leader  string            `json:"leader"`
	Commit  uint64            `json:"commit"`
	Last    uint64            `json:"last"`
	Version uint64            `json:"version"`
	Members map[string]string `json:"members"`
	Lease   Lease             `json:"lease"`
}

// Auth tells operators by their keys.
type Auth struct {
	names  []string
	hashes [][]byte
}

// NewAuth returns the operators of the settings, which map names to SHA-256
// hashes in hex. Hashes that do not decode are refused, and a key of two
// operators, because it would not tell whose a change is.
func NewAuth(operators map[string]string) (*Auth, error) {
	a := &Auth{}
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(operators)) {
		hash, err := hex.DecodeString(operators[name])
		if err != nil || len(hash) != sha256.Size {
			return nil, eris.Errorf("operators.%s: must be a SHA-256 hash in hex", name)
		}
		if other, taken := owners[string(hash)]; taken {
			return nil, eris.Errorf("operators.%s: is also the key of %q", name, other)
		}
		owners[string(hash)] = name
		a.names, a.hashes = append(a.names, name), append(a.hashes, hash)
	}
	return a, nil
}

// Operator returns the name of the operator with the given key. It compares
// with all operators, in constant time.
func (a *Auth) Operator(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i, hash := range a.hashes {
		if subtle.ConstantTimeCompare(hash, sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return a.names[found], true
}

type operatorKey struct{}

// OperatorOf returns the operator of an authenticated request.
func OperatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// api serves operators over HTTP.
type api struct {
	id       string
	node     *Node
	router   *router
	auth     *Auth
	metrics  http.Handler
	results  metric.Int64Counter
	draining *atomic.Bool
}

func (a *api) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", a.health)
	r.Get("/readyz", a.ready)
	r.Handle("/metrics", a.metrics)
	r.Group(func(r chi.Router) {
		r.Use(a.authenticate)
		r.Get("/v1/config", a.getConfig)
		r.Post("/v1/config/changes", a.postChange)
		r.Put("/v1/config", a.putConfig)
		r.Get("/v1/audit", a.getAudit)
		r.Get("/v1/status", a.getStatus)
	})
	return r
}

func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := a.auth.Operator(key)
		if !found || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, "unauthorised", "Authorization", "the key is of no operator")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func (a *api) health(w http.ResponseWriter, _ *http.Request) {
	if err := a.node.failure(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if a.draining.Load() || !a.node.inTouch() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (a *api) getConfig(w http.ResponseWriter, r *http.Request) {
	var d *document.Document
	switch stale := r.URL.Query().Get("stale"); stale {
	case "1":
		d = a.node.Document()
	case "", "0":
		var err error
		if d, err = a.router.Read(r.Context()); err != nil {
			unavailable(w, err.Error())
			return
		}
	default:
		fail(w, http.StatusBadRequest, "bad_request", "stale", "must be 0 or 1")
		return
	}
	answerJSON(w, http.StatusOK, d)
}

func (a *api) postChange(w http.ResponseWriter, r *http.Request) {
	var c document.Change
	if !readJSON(w, r, &c) {
		return
	}
	operator := OperatorOf(r.Context())
	if c.Operator != "" && c.Operator != operator {
		fail(w, http.StatusBadRequest, "bad_request", "operator", "is not the operator of the key")
		return
	}
	c.Operator = operator
	a.submit(w, r, &c)
}

// submit checks and proposes a change and writes the answer.
func (a *api) submit(w http.ResponseWriter, r *http.Request, c *document.Change) {
	if faults := CheckChange(c); len(faults) > 0 {
		fail(w, http.StatusBadRequest, "bad_request", faults[0].Path, faults[0].Message)
		return
	}
	if data, err := json.Marshal(c); err != nil || len(data) > MaxChangeBytes {
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "ops",
			fmt.Sprintf("the change has more than %d bytes; split it", MaxChangeBytes))
		return
	}
	a.answerResult(w, a.router.Propose(r.Context(), c))
}

func (a *api) answerResult(w http.ResponseWriter, result Result) {
	a.results.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(result.Outcome))))
	switch result.Outcome {
	case Accepted:
		answerJSON(w, http.StatusOK, result)
	case Conflict:
		body := ErrorBody{Outcome: "not_run", Code: "conflict", Message: result.Message, Field: "base", Version: result.Version}
		answerJSON(w, http.StatusConflict, ErrorAnswer{Error: body, Result: &result})
	case Invalid:
		body := ErrorBody{Outcome: "not_run", Code: "invalid", Message: result.Message}
		if len(result.Faults) > 0 {
			body.Field, body.Message = result.Faults[0].Path, result.Faults[0].Message
		}
		answerJSON(w, http.StatusUnprocessableEntity, ErrorAnswer{Error: body, Result: &result})
	case Unavailable:
		unavailable(w, "no leader took the change; nothing was proposed")
	default:
		body := ErrorBody{
			Outcome: "unknown", Code: "unknown",
			Message: "the change may still be accepted; resend it under the same id to learn its result",
		}
		answerJSON(w, http.StatusGatewayTimeout, ErrorAnswer{Error: body})
	}
}

// putConfig takes a whole document and proposes its difference from the base.
func (a *api) putConfig(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", "base", "must be the version that the change starts from")
		return
	}
	change := document.Change{ID: r.URL.Query().Get("change_id"), Operator: OperatorOf(r.Context()), Base: base}
	if change.ID == "" || len(change.ID) > maxIDBytes {
		fail(w, http.StatusBadRequest, "bad_request", "change_id", fmt.Sprintf("must have 1 to %d bytes", maxIDBytes))
		return
	}
	wanted, ok := readDocument(w, r, base)
	if !ok {
		return
	}
	current, err := a.router.Read(r.Context())
	if err != nil {
		unavailable(w, err.Error())
		return
	}
	if first, ok := a.node.decidedDocument(&change, wanted); ok {
		a.answerResult(w, first)
		return
	}
	a.putDifference(w, r, &change, current, wanted)
}

// putDifference proposes what leads from the document in force to the wanted
// one. If the base is older than the document in force, the state machine
// refuses the change, so that the attempt is in the audit trail.
func (a *api) putDifference(w http.ResponseWriter, r *http.Request, c *document.Change, current, wanted *document.Document) {
	if c.Base > current.Version {
		fail(w, http.StatusBadRequest, "bad_request", "base", fmt.Sprintf("in force is version %d", current.Version))
		return
	}
	ops, err := document.Diff(current, wanted)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", "", err.Error())
		return
	}
	if len(ops) == 0 {
		a.answerResult(w, unchanged(c, current))
		return
	}
	c.Ops = ops
	a.submit(w, r, c)
}

// unchanged is the result of a document that is already in force; it is not proposed.
func unchanged(c *document.Change, current *document.Document) Result {
	result := Result{ChangeID: c.ID, Outcome: Accepted, Version: current.Version, Message: "there is no difference"}
	if c.Base != current.Version {
		result.Outcome = Conflict
		result.Message = fmt.Sprintf("the base is version %d, in force is version %d", c.Base, current.Version)
	}
	return result
}

// decidedDocument returns the first result of an accepted change that came as a
// whole document. Its ops were computed against a document that may be gone, so
// a resend is told by the operator, the base and the items that were set.
func (n *Node) decidedDocument(c *document.Change, wanted *document.Document) (Result, bool) {
	n.mu.RLock()
	entry, ok := n.state.lookup(c.ID)
	n.mu.RUnlock()
	if !ok || entry.Result.Outcome != Accepted || entry.Operator != c.Operator || entry.Base != c.Base {
		return Result{}, false
	}
	items, err := document.Diff(document.Empty(), wanted)
	if err != nil {
		return Result{}, false
	}
	values := map[[2]string]json.RawMessage{}
	for _, item := range items {
		values[[2]string{item.Section, item.Name}] = item.Value
	}
	for _, op := range entry.Ops {
		if !bytes.Equal(values[[2]string{op.Section, op.Name}], op.Value) {
			return Result{}, false
		}
	}
	return entry.Result, true
}

func readDocument(w http.ResponseWriter, r *http.Request, base uint64) (*document.Document, bool) {
	raw, ok := readBody(w, r, maxDocumentBytes)
	if !ok {
		return nil, false
	}
	wanted := document.Empty()
	if err := settings.Decode("body", raw, wanted); err != nil {
		fail(w, http.StatusBadRequest, "bad_request", fieldOf(err), err.Error())
		return nil, false
	}
	if wanted.Version != 0 && wanted.Version != base {
		fail(w, http.StatusBadRequest, "bad_request", "version", "is neither left out nor the base")
		return nil, false
	}
	return wanted, true
}

func (a *api) getAudit(w http.ResponseWriter, r *http.Request) {
	after, ok := queryNumber(w, r, "after", 0)
	if !ok {
		return
	}
	limit, ok := queryNumber(w, r, "limit", auditPage)
	if !ok {
		return
	}
	entries, err := a.node.Audit(after, int(min(limit, auditPage)))
	if err != nil {
		fail(w, http.StatusInternalServerError, "internal", "", err.Error())
		return
	}
	if entries == nil {
		entries = []AuditEntry{}
	}
	answerJSON(w, http.StatusOK, map[string]any{"entries": entries})
}

func (a *api) getStatus(w http.ResponseWriter, _ *http.Request) {
	s := a.node.Status()
	answer := StatusAnswer{
		ID: a.id, Role: roleName(s.Role), Term: s.Term, Leader: string(s.Leader), Commit: s.Commit, Last: s.Last,
		Version: a.node.Document().Version, Members: map[string]string{}, Lease: a.node.Lease(),
	}
	for id, disk := range s.Members {
		answer.Members[string(id)] = string(disk)
	}
	answerJSON(w, http.StatusOK, answer)
}

func queryNumber(w http.ResponseWriter, r *http.Request, name string, otherwise uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, true
	}
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", name, "must be a whole number")
	}
	return value, err == nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "body", fmt.Sprintf("has more than %d bytes", limit))
	case err != nil:
		fail(w, http.StatusBadRequest, "bad_request", "body", err.Error())
	}
	return raw, err == nil
}

// readJSON decodes a body and answers malformed ones itself.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, ok := readBody(w, r, MaxChangeBytes)
	if !ok {
		return false
	}
	if err := settings.Decode("body", raw, into); err != nil {
		fail(w, http.StatusBadRequest, "bad_request", fieldOf(err), err.Error())
		return false
	}
	return true
}

// fieldOf returns the field that a decoding error names, or "body".
func fieldOf(err error) string {
	text := err.Error()
	if _, after, found := strings.Cut(text, `unknown field "`); found {
		name, _, _ := strings.Cut(after, `"`)
		return name
	}
	if _, after, found := strings.Cut(text, "Go struct field "); found {
		name, _, _ := strings.Cut(after, " ")
		_, path, _ := strings.Cut(name, ".")
		return path
	}
	return "body"
}

func unavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, "unavailable", "", message)
}

func fail(w http.ResponseWriter, status int, code, field, message string) {
	answerJSON(w, status, ErrorAnswer{Error: ErrorBody{Outcome: "not_run", Code: code, Message: message, Field: field}})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
