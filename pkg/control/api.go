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
	// maxAuditPageEntries is the maximum number of audit entries in one response.
	maxAuditPageEntries = 1000
)

// ErrorBody describes the error in a response of the operators' API.
type ErrorBody struct {
	// Outcome is "not_run" if nothing was applied and "unknown" if the change may still be applied.
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the invalid input.
	Field string `json:"field,omitempty"`
	// Version is the version in force, set on a conflict.
	Version uint64 `json:"version,omitempty"`
}

// ErrorResponse is the body of every response with a 4xx or 5xx status.
type ErrorResponse struct {
	Error ErrorBody `json:"error"`
	// Result is set when the state machine rejected the change.
	Result *Result `json:"result,omitempty"`
}

// StatusResponse is the response body of GET /v1/status.
type StatusResponse struct {
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

// Auth authenticates operators by their API keys.
type Auth struct {
	names  []string
	hashes [][]byte
}

// NewAuth returns an Auth for the operators in the settings, which map names to
// hex-encoded SHA-256 hashes of keys. It fails if a hash is malformed or if two
// operators share a key, since a change could not be attributed to one of them.
func NewAuth(operators map[string]string) (*Auth, error) {
	a := &Auth{}
	nameByHash := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(operators)) {
		hash, err := hex.DecodeString(operators[name])
		if err != nil || len(hash) != sha256.Size {
			return nil, eris.Errorf("operators.%s: must be a SHA-256 hash in hex", name)
		}
		if firstName, duplicate := nameByHash[string(hash)]; duplicate {
			return nil, eris.Errorf("operators.%s: is also the key of %q", name, firstName)
		}
		nameByHash[string(hash)] = name
		a.names, a.hashes = append(a.names, name), append(a.hashes, hash)
	}
	return a, nil
}

// Operator returns the name of the operator with the given key. It compares the
// key with those of all operators in constant time, so that the response time
// reveals nothing about the keys.
func (a *Auth) Operator(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	match := -1
	for i, hash := range a.hashes {
		if subtle.ConstantTimeCompare(hash, sum[:]) == 1 {
			match = i
		}
	}
	if match < 0 {
		return "", false
	}
	return a.names[match], true
}

type operatorContextKey struct{}

// OperatorFromContext returns the operator that authenticated the request.
func OperatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// api is the HTTP API for operators.
type api struct {
	id            string
	node          *Node
	router        *router
	auth          *Auth
	metrics       http.Handler
	changeCounter metric.Int64Counter
	draining      *atomic.Bool
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
		key, hasBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, authenticated := a.auth.Operator(key)
		if !hasBearer || !authenticated {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "unauthorised", "Authorization", "the key belongs to no operator")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	})
}

func (a *api) health(w http.ResponseWriter, _ *http.Request) {
	if err := a.node.loopError(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if a.draining.Load() || !a.node.hasLeader() {
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
			writeUnavailable(w, err.Error())
			return
		}
	default:
		writeError(w, http.StatusBadRequest, "bad_request", "stale", "must be 0 or 1")
		return
	}
	writeJSON(w, http.StatusOK, d)
}

func (a *api) postChange(w http.ResponseWriter, r *http.Request) {
	var c document.Change
	if !readJSON(w, r, &c) {
		return
	}
	operator := OperatorFromContext(r.Context())
	if c.Operator != "" && c.Operator != operator {
		writeError(w, http.StatusBadRequest, "bad_request", "operator", "does not match the operator of the key")
		return
	}
	c.Operator = operator
	a.submit(w, r, &c)
}

// submit validates and proposes a change and writes the response.
func (a *api) submit(w http.ResponseWriter, r *http.Request, c *document.Change) {
	if faults := CheckChange(c); len(faults) > 0 {
		writeError(w, http.StatusBadRequest, "bad_request", faults[0].Path, faults[0].Message)
		return
	}
	if data, err := json.Marshal(c); err != nil || len(data) > MaxChangeBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "ops",
			fmt.Sprintf("the change has more than %d bytes; split it", MaxChangeBytes))
		return
	}
	a.writeResult(w, a.router.Propose(r.Context(), c))
}

func (a *api) writeResult(w http.ResponseWriter, result Result) {
	a.changeCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(result.Outcome))))
	switch result.Outcome {
	case Accepted:
		writeJSON(w, http.StatusOK, result)
	case Conflict:
		body := ErrorBody{Outcome: "not_run", Code: "conflict", Message: result.Message, Field: "base", Version: result.Version}
		writeJSON(w, http.StatusConflict, ErrorResponse{Error: body, Result: &result})
	case Invalid:
		body := ErrorBody{Outcome: "not_run", Code: "invalid", Message: result.Message}
		if len(result.Faults) > 0 {
			body.Field, body.Message = result.Faults[0].Path, result.Faults[0].Message
		}
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: body, Result: &result})
	case Unavailable:
		writeUnavailable(w, "no leader received the change; nothing was proposed")
	default:
		body := ErrorBody{
			Outcome: "unknown", Code: "unknown",
			Message: "the change may still be accepted; resend it with the same id to learn its result",
		}
		writeJSON(w, http.StatusGatewayTimeout, ErrorResponse{Error: body})
	}
}

// putConfig receives a whole document and proposes its difference from the
// document in force.
func (a *api) putConfig(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "base", "must be the version that the change is based on")
		return
	}
	change := document.Change{ID: r.URL.Query().Get("change_id"), Operator: OperatorFromContext(r.Context()), Base: base}
	if change.ID == "" || len(change.ID) > maxChangeIDBytes {
		writeError(w, http.StatusBadRequest, "bad_request", "change_id", fmt.Sprintf("must have 1 to %d bytes", maxChangeIDBytes))
		return
	}
	target, ok := readDocument(w, r, base)
	if !ok {
		return
	}
	current, err := a.router.Read(r.Context())
	if err != nil {
		writeUnavailable(w, err.Error())
		return
	}
	if original, ok := a.node.decidedPut(&change, target); ok {
		a.writeResult(w, original)
		return
	}
	a.proposeDifference(w, r, &change, current, target)
}

// proposeDifference proposes the ops that turn the document in force into the
// target. A base older than the document in force is left to the state machine
// to reject, so that the attempt is recorded in the audit trail.
func (a *api) proposeDifference(w http.ResponseWriter, r *http.Request, c *document.Change, current, target *document.Document) {
	if c.Base > current.Version {
		writeError(w, http.StatusBadRequest, "bad_request", "base", fmt.Sprintf("is newer than version %d in force", current.Version))
		return
	}
	ops, err := document.Diff(current, target)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "", err.Error())
		return
	}
	if len(ops) == 0 {
		a.writeResult(w, unchangedResult(c, current))
		return
	}
	c.Ops = ops
	a.submit(w, r, c)
}

// unchangedResult returns the result for a target that equals the document in
// force. Nothing is proposed in this case.
func unchangedResult(c *document.Change, current *document.Document) Result {
	result := Result{ChangeID: c.ID, Outcome: Accepted, Version: current.Version, Message: "there is no difference"}
	if c.Base != current.Version {
		result.Outcome = Conflict
		result.Message = fmt.Sprintf("the base is version %d, in force is version %d", c.Base, current.Version)
	}
	return result
}

// decidedPut returns the recorded result if an identical PUT of a whole document
// was already accepted. The document its ops were computed against may no longer
// be available, so a resend is recognised by the change identifier, the operator,
// the base and the values of the items that were set.
func (n *Node) decidedPut(c *document.Change, target *document.Document) (Result, bool) {
	n.mu.RLock()
	entry, ok := n.state.decidedEntry(c.ID)
	n.mu.RUnlock()
	if !ok || entry.Result.Outcome != Accepted || entry.Operator != c.Operator || entry.Base != c.Base {
		return Result{}, false
	}
	items, err := document.Diff(document.Empty(), target)
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
	target := document.Empty()
	if err := settings.Decode("body", raw, target); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", fieldFromDecodeError(err), err.Error())
		return nil, false
	}
	if target.Version != 0 && target.Version != base {
		writeError(w, http.StatusBadRequest, "bad_request", "version", "must be omitted or equal to the base")
		return nil, false
	}
	return target, true
}

func (a *api) getAudit(w http.ResponseWriter, r *http.Request) {
	after, ok := queryNumber(w, r, "after", 0)
	if !ok {
		return
	}
	limit, ok := queryNumber(w, r, "limit", maxAuditPageEntries)
	if !ok {
		return
	}
	entries, err := a.node.Audit(after, int(min(limit, maxAuditPageEntries)))
	if err != nil {
		writeError(w, http.StatusInternalServerError, "internal", "", err.Error())
		return
	}
	if entries == nil {
		entries = []AuditEntry{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries})
}

func (a *api) getStatus(w http.ResponseWriter, _ *http.Request) {
	s := a.node.Status()
	response := StatusResponse{
		ID: a.id, Role: roleName(s.Role), Term: s.Term, Leader: string(s.Leader), Commit: s.Commit, Last: s.LastIndex,
		Version: a.node.Document().Version, Members: map[string]string{}, Lease: a.node.Lease(),
	}
	for id, disk := range s.Members {
		response.Members[string(id)] = string(disk)
	}
	writeJSON(w, http.StatusOK, response)
}

func queryNumber(w http.ResponseWriter, r *http.Request, name string, defaultValue uint64) (uint64, bool) {
	raw := r.URL.Query().Get(name)
	if raw == "" {
		return defaultValue, true
	}
	value, err := strconv.ParseUint(raw, 10, 32)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", name, "must be a whole number")
	}
	return value, err == nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "body", fmt.Sprintf("has more than %d bytes", limit))
	case err != nil:
		writeError(w, http.StatusBadRequest, "bad_request", "body", err.Error())
	}
	return raw, err == nil
}

// readJSON decodes the request body into target and reports whether it
// succeeded. On failure it has written the error response.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	raw, ok := readBody(w, r, MaxChangeBytes)
	if !ok {
		return false
	}
	if err := settings.Decode("body", raw, target); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", fieldFromDecodeError(err), err.Error())
		return false
	}
	return true
}

// fieldFromDecodeError returns the field named in a decoding error, or "body".
func fieldFromDecodeError(err error) string {
	message := err.Error()
	if _, after, found := strings.Cut(message, `unknown field "`); found {
		name, _, _ := strings.Cut(after, `"`)
		return name
	}
	if _, after, found := strings.Cut(message, "Go struct field "); found {
		name, _, _ := strings.Cut(after, " ")
		_, path, _ := strings.Cut(name, ".")
		return path
	}
	return "body"
}

func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "unavailable", "", message)
}

func writeError(w http.ResponseWriter, status int, code, field, message string) {
	writeJSON(w, status, ErrorResponse{Error: ErrorBody{Outcome: "not_run", Code: code, Message: message, Field: field}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
