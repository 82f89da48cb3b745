// Package console serves the operators' forms. An operator signs in with a key,
// collects edits in a draft and sends them as one change. Sessions and drafts
// are kept in the memory of one control instance.
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
	prefix = "/console"
	// maxFormBytes bounds a posted form.
	maxFormBytes = 1 << 20
	// pageItems is the number of items on one page of a section.
	pageItems = 100
)

//go:embed pages.html
var files embed.FS

var pages = template.Must(template.ParseFS(files, "pages.html"))

// Control is the part of the control instance that the console uses.
type Control interface {
	Propose(ctx context.Context, c *document.Change) control.Result
	Read(ctx context.Context) (*document.Document, error)
}

// Console serves the forms.
type Console struct {
	control  Control
	auth     func(key string) (operator string, ok bool)
	sessions sessions
}

// New returns a console; auth tells the operator of a key.
func New(c Control, auth func(key string) (string, bool)) *Console {
	return &Console{control: c, auth: auth, sessions: sessions{all: map[string]*session{}, now: time.Now}}
}

// Prefix is the path under which Handler expects its requests.
const Prefix = prefix + "/"

// Handler serves all pages under Prefix.
func (c *Console) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(harden)
	r.Route(prefix, func(r chi.Router) {
		r.Get("/sign-in", func(w http.ResponseWriter, _ *http.Request) { render(w, http.StatusOK, "sign-in", nil) })
		r.Post("/sign-in", c.signIn)
		r.Get("/", c.with(c.overview))
		r.Get("/items/{section}", c.with(c.list))
		r.Get("/items/{section}/{name}", c.with(c.item))
		r.Post("/items/{section}", c.with(c.edit))
		r.Get("/draft", c.with(c.draft))
		r.Post("/draft/send", c.with(c.send))
		r.Post("/draft/rebase", c.with(c.rebase))
		r.Post("/draft/drop", c.with(c.drop))
		r.Post("/draft/discard", c.with(c.discard))
		r.Post("/sign-out", c.with(c.signOut))
	})
	return r
}

// harden bounds bodies and forbids scripts, frames and foreign forms.
func harden(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy",
			"default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// page is what every page shows.
type page struct {
	Title    string
	Operator string
	Token    string
	Notice   string
	Sections []section
	// Version is in force; Base is the base of the draft, if there is one.
	Version uint64
	Base    uint64
	Edits   int
	Body    any
}

// request is one request of a signed-in operator. The session is locked.
type request struct {
	w       http.ResponseWriter
	r       *http.Request
	session *session
	current *document.Document
}

// with finds the session, checks posted forms and reads what is in force.
func (c *Console) with(handle func(*request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := c.sessions.find(r)
		if s == nil {
			http.Redirect(w, r, prefix+"/sign-in", http.StatusSeeOther)
			return
		}
		if r.Method == http.MethodPost && (r.ParseForm() != nil || !s.checks(r)) {
			http.Error(w, "the form is not one of this session", http.StatusForbidden)
			return
		}
		current, err := c.control.Read(r.Context())
		if err != nil {
			http.Error(w, "the version in force is not known: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		handle(&request{w, r, s, current})
	}
}

// show renders a page with what all pages have in common.
func (q *request) show(status int, name, title string, body any) {
	p := page{
		Title: title, Operator: q.session.operator, Token: q.session.token, Notice: q.session.notice,
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
	_ = pages.ExecuteTemplate(w, name, data)
}

// redirect goes to a page that shows a notice.
func (q *request) redirect(path, notice string) {
	q.session.notice = notice
	http.Redirect(q.w, q.r, prefix+path, http.StatusSeeOther)
}

// document returns the draft, or what is in force without one.
func (q *request) document() *document.Document {
	if q.session.draft != nil {
		return q.session.draft.wanted
	}
	return q.current
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	operator, ok := c.auth(strings.TrimSpace(r.PostFormValue("key")))
	if !ok {
		render(w, http.StatusUnauthorized, "sign-in", "The key is of no operator.")
		return
	}
	c.sessions.open(w, r, operator)
	http.Redirect(w, r, prefix+"/", http.StatusSeeOther)
}

func (c *Console) signOut(q *request) {
	c.sessions.close(q.r)
	http.Redirect(q.w, q.r, prefix+"/sign-in", http.StatusSeeOther)
}

func (c *Console) overview(q *request) {
	d := q.document()
	q.show(http.StatusOK, "overview", "Configuration", map[string]int{
		document.SectionServices: len(d.Services), document.SectionOrganisations: len(d.Organisations),
		document.SectionRanks: len(d.Ranks), document.SectionPlacements: len(d.Placements),
	})
}

// listBody is one page of the items of a section.
type listBody struct {
	Section section
	Names   []string
	Query   string
	Total   int
	// Next is the number of the next page, 0 if there is none.
	Next int
}

func (c *Console) list(q *request) {
	s, ok := sectionOf(chi.URLParam(q.r, "section"))
	if !ok {
		http.NotFound(q.w, q.r)
		return
	}
	if q.r.URL.Query().Has("new") {
		q.showItem(http.StatusOK, itemBody{Section: s, New: true, Inputs: inputsOf(s, nil)})
		return
	}
	body := listBody{Section: s, Query: q.r.URL.Query().Get("q")}
	names := slices.DeleteFunc(namesOf(q.document(), s.Name), func(name string) bool {
		return !strings.Contains(name, body.Query)
	})
	number, _ := strconv.Atoi(q.r.URL.Query().Get("page"))
	number = max(0, min(number, len(names)/pageItems))
	body.Total, body.Names = len(names), names[number*pageItems:min(len(names), (number+1)*pageItems)]
	if (number+1)*pageItems < len(names) {
		body.Next = number + 1
	}
	q.show(http.StatusOK, "list", s.Title, body)
}

func namesOf(d *document.Document, section string) []string {
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

// itemBody is the form of one item.
type itemBody struct {
	Section section
	Name    string
	New     bool
	Inputs  []input
	Faults  []document.Fault
}

func (q *request) showItem(status int, body itemBody) {
	q.show(status, "item", body.Section.Title+" "+body.Name, body)
}

func (c *Console) item(q *request) {
	s, ok := sectionOf(chi.URLParam(q.r, "section"))
	key := itemKey{s.Name, chi.URLParam(q.r, "name")}
	value := itemJSON(q.document(), key)
	if !ok || value == nil {
		http.NotFound(q.w, q.r)
		return
	}
	q.showItem(http.StatusOK, itemBody{Section: s, Name: key.Name, Inputs: inputsOf(s, value)})
}

// edit puts a posted item into the draft, or deletes it there.
func (c *Console) edit(q *request) {
	s, ok := sectionOf(chi.URLParam(q.r, "section"))
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
		body.Faults = q.check(op, body, ok)
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

// check returns the faults of an item that is to be put into the draft; faults
// of single fields are put beside them.
func (q *request) check(op document.Op, body itemBody, parsed bool) []document.Fault {
	if body.New && itemJSON(q.session.draft.wanted, itemKey{op.Section, op.Name}) != nil {
		return []document.Fault{{Path: op.Section + "/" + op.Name, Message: "exists already"}}
	}
	if !parsed {
		return nil
	}
	next, err := q.session.draft.wanted.Apply([]document.Op{op})
	if err != nil {
		return []document.Fault{{Path: op.Section + "/" + op.Name, Message: err.Error()}}
	}
	path := op.Section + "/" + op.Name
	var faults []document.Fault
	for _, f := range next.Validate() {
		if f.Path == path || strings.HasPrefix(f.Path, path+".") {
			faults = append(faults, f)
		}
	}
	return assign(body.Inputs, path, faults)
}

func (b itemBody) hasFaults() bool {
	return len(b.Faults) > 0 || slices.ContainsFunc(b.Inputs, func(in input) bool { return len(in.Faults) > 0 })
}

// draftBody shows the draft against what is in force.
type draftBody struct {
	Rows []row
	// Others are the changes in force since the base.
	Others []row
	Faults []document.Fault
	Behind bool
}

func (c *Console) draft(q *request) {
	d := q.session.draft
	if d == nil {
		q.show(http.StatusOK, "draft", "Draft", draftBody{})
		return
	}
	others, err := d.others(q.current)
	if err != nil {
		http.Error(q.w, err.Error(), http.StatusInternalServerError)
		return
	}
	q.show(http.StatusOK, "draft", "Draft", draftBody{
		Rows: d.rows(q.current), Others: others, Behind: d.base.Version != q.current.Version, Faults: d.wanted.Validate(),
	})
}

// send proposes the draft as one change.
func (c *Console) send(q *request) {
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
		q.redirect("/draft", "Another change came first; compare it with the draft, then rebase.")
	case control.Invalid:
		d.changeID = ""
		q.redirect("/draft", "The change is refused: "+result.Message)
	case control.Unavailable:
		q.redirect("/draft", "No leader took the change. Nothing was proposed; send it again.")
	default:
		q.redirect("/draft", "The result is not known yet; send the draft again, unchanged, to learn it.")
	}
}

// rebase moves the draft onto the version in force.
func (c *Console) rebase(q *request) {
	notice := ""
	if d := q.session.draft; d != nil {
		if err := d.rebase(q.current); err != nil {
			notice = "Not rebased: " + err.Error()
		}
	}
	q.redirect("/draft", notice)
}

// drop takes one item out of the draft.
func (c *Console) drop(q *request) {
	notice := ""
	if d := q.session.draft; d != nil {
		if err := d.drop(itemKey{q.r.PostForm.Get("section"), q.r.PostForm.Get("item")}); err != nil {
			notice = "Not dropped: " + err.Error()
		}
	}
	q.redirect("/draft", notice)
}

func (c *Console) discard(q *request) {
	q.session.draft = nil
	q.redirect("/", "The draft is discarded.")
}
