// Package console serves HTML forms for editing the document, the whole configuration of a
// deployment. The version in force is the newest version that the control instances accepted. An
// operator signs in with a key, collects edits of a base version in a draft and sends them as one
// change. Sessions and drafts are kept in the memory of one control instance.
package console

import (
	"context"
	"crypto/rand"
	"embed"
	"html/template"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

const (
	basePath = "/console"
	// maxFormBytes bounds the body of a posted form.
	maxFormBytes = 1 << 20
	// itemsPerPage is the number of items on one page of a section.
	itemsPerPage = 100
)

//go:embed pages.html
var templateFiles embed.FS

var pageTemplates = template.Must(template.ParseFS(templateFiles, "pages.html"))

// Control reads the version in force and proposes changes to it. The control instance implements it.
type Control interface {
	Propose(ctx context.Context, c *document.Change) control.Result
	Read(ctx context.Context) (*document.Document, error)
}

// Console serves the forms of one control instance.
type Console struct {
	control      Control
	authenticate func(key string) (operator string, ok bool)
	sessions     sessions
}

// New returns a console for a control instance. authenticate returns the operator that a key belongs
// to, and reports whether there is one.
func New(controlInstance Control, authenticate func(key string) (string, bool)) *Console {
	return &Console{control: controlInstance, authenticate: authenticate, sessions: sessions{byID: map[string]*session{}, now: time.Now}}
}

// Prefix is the path prefix of all requests that Handler serves.
const Prefix = basePath + "/"

// Handler returns the HTTP handler for all pages under Prefix.
func (c *Console) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(withSecurityHeaders)
	r.Route(basePath, func(r chi.Router) {
		r.Get("/sign-in", func(w http.ResponseWriter, _ *http.Request) { render(w, http.StatusOK, "sign-in", nil) })
		r.Post("/sign-in", c.signIn)
		r.Get("/", c.withSession(c.overview))
		r.Get("/items/{section}", c.withSession(c.list))
		r.Get("/items/{section}/{name}", c.withSession(c.item))
		r.Post("/items/{section}", c.withSession(c.edit))
		r.Get("/draft", c.withSession(c.showDraft))
		r.Post("/draft/send", c.withSession(c.send))
		r.Post("/draft/rebase", c.withSession(c.rebase))
		r.Post("/draft/drop", c.withSession(c.drop))
		r.Post("/draft/discard", c.withSession(c.discard))
		r.Post("/sign-out", c.withSession(c.signOut))
	})
	return r
}

// withSecurityHeaders sets headers that forbid scripts, framing, caching and forms that post to
// other sites. It also bounds the request body.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy",
			"default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// pageData is the data of the page templates.
type pageData struct {
	Title    string
	Operator string
	Token    string
	Notice   string
	Sections []section
	// Version is the version in force, Base the base version of the draft, 0 without a draft.
	Version uint64
	Base    uint64
	Edits   int
	Body    any
}

// pageRequest is a request of a signed-in operator. session is locked while the request is handled,
// and current is the version in force.
type pageRequest struct {
	w       http.ResponseWriter
	r       *http.Request
	session *session
	current *document.Document
}

// withSession locks the session of a request, reads the version in force and calls handle. It
// redirects requests without a session to the sign-in page and refuses forms without a valid token.
func (c *Console) withSession(handle func(*pageRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		session := c.sessions.find(r)
		if session == nil {
			http.Redirect(w, r, basePath+"/sign-in", http.StatusSeeOther)
			return
		}
		if r.Method == http.MethodPost && (r.ParseForm() != nil || !session.hasValidToken(r)) {
			http.Error(w, "the form does not belong to this session", http.StatusForbidden)
			return
		}
		current, err := c.control.Read(r.Context())
		if err != nil {
			http.Error(w, "cannot read the version in force: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		session.mu.Lock()
		defer session.mu.Unlock()
		handle(&pageRequest{w, r, session, current})
	}
}

// renderPage renders a page and clears the notice, which is shown once.
func (q *pageRequest) renderPage(status int, name, title string, body any) {
	p := pageData{
		Title: title, Operator: q.session.operator, Token: q.session.csrfToken, Notice: q.session.notice,
		Sections: formSections, Version: q.current.Version, Body: body,
	}
	if d := q.session.draft; d != nil {
		p.Base, p.Edits = d.base.Version, len(d.ops())
	}
	q.session.notice = ""
	render(q.w, status, name, p)
}

func render(w http.ResponseWriter, status int, name string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_ = pageTemplates.ExecuteTemplate(w, name, data)
}

// redirect redirects to a page under basePath, which shows the notice.
func (q *pageRequest) redirect(path, notice string) {
	q.session.notice = notice
	http.Redirect(q.w, q.r, basePath+path, http.StatusSeeOther)
}

// shownDocument returns the draft, or the version in force if there is no draft.
func (q *pageRequest) shownDocument() *document.Document {
	if q.session.draft != nil {
		return q.session.draft.edited
	}
	return q.current
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	operator, ok := c.authenticate(strings.TrimSpace(r.PostFormValue("key")))
	if !ok {
		render(w, http.StatusUnauthorized, "sign-in", "No operator has this key.")
		return
	}
	c.sessions.create(w, r, operator)
	http.Redirect(w, r, basePath+"/", http.StatusSeeOther)
}

func (c *Console) signOut(q *pageRequest) {
	c.sessions.remove(q.r)
	http.Redirect(q.w, q.r, basePath+"/sign-in", http.StatusSeeOther)
}

func (c *Console) overview(q *pageRequest) {
	d := q.shownDocument()
	q.renderPage(http.StatusOK, "overview", "Configuration", map[string]int{
		document.SectionServices: len(d.Services), document.SectionOrganisations: len(d.Organisations),
		document.SectionRanks: len(d.Ranks), document.SectionPlacements: len(d.Placements),
	})
}

// listBody is the data of a page of the list of items in a section.
type listBody struct {
	Section section
	Names   []string
	Query   string
	Total   int
	// Next is the number of the next page, 0 on the last page.
	Next int
}

func (c *Console) list(q *pageRequest) {
	s, ok := sectionByName(chi.URLParam(q.r, "section"))
	if !ok {
		http.NotFound(q.w, q.r)
		return
	}
	if q.r.URL.Query().Has("new") {
		q.showItem(http.StatusOK, itemBody{Section: s, New: true, Inputs: formInputs(s, nil)})
		return
	}
	body := listBody{Section: s, Query: q.r.URL.Query().Get("q")}
	names := slices.DeleteFunc(itemNames(q.shownDocument(), s.Name), func(name string) bool {
		return !strings.Contains(name, body.Query)
	})
	pageNumber, _ := strconv.Atoi(q.r.URL.Query().Get("page"))
	pageNumber = max(0, min(pageNumber, len(names)/itemsPerPage))
	body.Total, body.Names = len(names), names[pageNumber*itemsPerPage:min(len(names), (pageNumber+1)*itemsPerPage)]
	if (pageNumber+1)*itemsPerPage < len(names) {
		body.Next = pageNumber + 1
	}
	q.renderPage(http.StatusOK, "list", s.Title, body)
}

func itemNames(d *document.Document, section string) []string {
	switch section {
	case document.SectionServices:
		return slices.Sorted(maps.Keys(d.Services))
	case document.SectionOrganisations:
		return slices.Sorted(maps.Keys(d.Organisations))
	case document.SectionRanks:
		return slices.Sorted(maps.Keys(d.Ranks))
	}
	return slices.Sorted(maps.Keys(d.Placements))
}

// itemBody is the data of the form of one item.
type itemBody struct {
	Section section
	Name    string
	New     bool
	Inputs  []input
	Faults  []document.Fault
}

func (q *pageRequest) showItem(status int, body itemBody) {
	q.renderPage(status, "item", body.Section.Title+" "+body.Name, body)
}

func (c *Console) item(q *pageRequest) {
	s, ok := sectionByName(chi.URLParam(q.r, "section"))
	key := itemKey{s.Name, chi.URLParam(q.r, "name")}
	value := itemJSON(q.shownDocument(), key)
	if !ok || value == nil {
		http.NotFound(q.w, q.r)
		return
	}
	q.showItem(http.StatusOK, itemBody{Section: s, Name: key.Name, Inputs: formInputs(s, value)})
}

// edit stores a posted item in the draft, or deletes the item from the draft.
func (c *Console) edit(q *pageRequest) {
	s, ok := sectionByName(chi.URLParam(q.r, "section"))
	if !ok {
		http.NotFound(q.w, q.r)
		return
	}
	key := itemKey{s.Name, strings.TrimSpace(q.r.PostForm.Get("item"))}
	if q.session.draft == nil {
		q.session.draft = newDraft(q.current)
	}
	op := document.Op{Section: key.Section, Name: key.Name}
	body := itemBody{Section: s, Name: key.Name, New: q.r.PostForm.Get("new") != ""}
	if q.r.PostForm.Get("delete") == "" {
		op.Value, body.Inputs, ok = parseForm(s, q.r.PostForm)
		body.Faults = q.validateItem(op, body, ok)
		if !ok || body.hasFaults() {
			q.showItem(http.StatusUnprocessableEntity, body)
			return
		}
	}
	if err := q.session.draft.edit(op); err != nil {
		q.redirect("/draft", "Not edited: "+err.Error())
		return
	}
	q.redirect("/draft", "")
}

// validateItem validates an edit against the draft. It adds the faults of single fields to
// body.Inputs and returns the other faults of the item.
func (q *pageRequest) validateItem(op document.Op, body itemBody, parsed bool) []document.Fault {
	if body.New && itemJSON(q.session.draft.edited, itemKey{op.Section, op.Name}) != nil {
		return []document.Fault{{Path: op.Section + "/" + op.Name, Message: "exists already"}}
	}
	if !parsed {
		return nil
	}
	edited, err := q.session.draft.edited.Apply([]document.Op{op})
	if err != nil {
		return []document.Fault{{Path: op.Section + "/" + op.Name, Message: err.Error()}}
	}
	path := op.Section + "/" + op.Name
	var faults []document.Fault
	for _, fault := range edited.Validate() {
		if fault.Path == path || strings.HasPrefix(fault.Path, path+".") {
			faults = append(faults, fault)
		}
	}
	return assignFaults(body.Inputs, path, faults)
}

func (b itemBody) hasFaults() bool {
	return len(b.Faults) > 0 || slices.ContainsFunc(b.Inputs, func(in input) bool { return len(in.Faults) > 0 })
}

// draftBody is the data of the page that compares the draft with the version in force.
type draftBody struct {
	Rows []row
	// ChangedSinceBase lists the items that changed between the base of the draft and the version in
	// force.
	ChangedSinceBase []row
	Faults           []document.Fault
	// Outdated is set if the base of the draft is not the version in force any more.
	Outdated bool
}

func (c *Console) showDraft(q *pageRequest) {
	d := q.session.draft
	if d == nil {
		q.renderPage(http.StatusOK, "draft", "Draft", draftBody{})
		return
	}
	changed, err := d.changesSinceBase(q.current)
	if err != nil {
		http.Error(q.w, err.Error(), http.StatusInternalServerError)
		return
	}
	q.renderPage(http.StatusOK, "draft", "Draft", draftBody{
		Rows: d.editRows(q.current), ChangedSinceBase: changed, Outdated: d.base.Version != q.current.Version, Faults: d.edited.Validate(),
	})
}

// send proposes the draft as one change.
func (c *Console) send(q *pageRequest) {
	d := q.session.draft
	if d == nil || len(d.ops()) == 0 {
		q.redirect("/draft", "There is nothing to send.")
		return
	}
	if d.changeID == "" {
		d.changeID = "console-" + rand.Text()
	}
	result := c.control.Propose(q.r.Context(), &document.Change{
		ID: d.changeID, Operator: q.session.operator, Base: d.base.Version, Ops: d.ops(),
	})
	switch result.Outcome {
	case control.Accepted:
		q.session.draft = nil
		q.redirect("/", "The change is in force as version "+strconv.FormatUint(result.Version, 10)+".")
	case control.Conflict:
		d.changeID = ""
		q.redirect("/draft", "Another change was accepted first; compare it with the draft, then rebase.")
	case control.Invalid:
		d.changeID = ""
		q.redirect("/draft", "The change is refused: "+result.Message)
	case control.Unavailable:
		q.redirect("/draft", "No leader received the change. Nothing was proposed; send the draft again.")
	default:
		q.redirect("/draft", "The result is not known yet; send the draft again, unchanged, to get it.")
	}
}

// rebase applies the edits of the draft to the version in force.
func (c *Console) rebase(q *pageRequest) {
	notice := ""
	if d := q.session.draft; d != nil {
		if err := d.rebase(q.current); err != nil {
			notice = "Not rebased: " + err.Error()
		}
	}
	q.redirect("/draft", notice)
}

// drop removes the edit of one item from the draft.
func (c *Console) drop(q *pageRequest) {
	notice := ""
	if d := q.session.draft; d != nil {
		if err := d.drop(itemKey{q.r.PostForm.Get("section"), q.r.PostForm.Get("item")}); err != nil {
			notice = "Not dropped: " + err.Error()
		}
	}
	q.redirect("/draft", notice)
}

func (c *Console) discard(q *pageRequest) {
	q.session.draft = nil
	q.redirect("/", "The draft is discarded.")
}
