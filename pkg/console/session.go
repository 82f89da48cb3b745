package console

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"
)

const (
	cookieName = "gp_console"
	// sessionIdleTimeout is the time without a request after which a session expires.
	sessionIdleTimeout = 8 * time.Hour
	// maxSessions bounds the sessions of one control instance. The least recently used session is
	// evicted to open another one.
	maxSessions = 200
)

// session is the session of a signed-in operator. mu guards draft and notice, sessions.mu guards
// lastUsedAt, and the other fields do not change.
type session struct {
	mu       sync.Mutex
	operator string
	// csrfToken is part of every form. Forms that other sites make cannot contain it.
	csrfToken  string
	draft      *draft
	notice     string
	lastUsedAt time.Time
}

// sessions holds the sessions and their drafts in memory; they are lost when the process ends.
type sessions struct {
	mu   sync.Mutex
	byID map[string]*session
	now  func() time.Time
}

// create starts a session and sets its cookie.
func (s *sessions) create(w http.ResponseWriter, r *http.Request, operator string) {
	id := rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.byID[id] = &session{operator: operator, csrfToken: rand.Text(), lastUsedAt: s.now()}
	http.SetCookie(w, &http.Cookie{
		Name: cookieName, Value: id, Path: basePath, HttpOnly: true, Secure: r.TLS != nil, SameSite: http.SameSiteStrictMode,
	})
}

// expire removes idle sessions, and the least recently used one if maxSessions is reached.
func (s *sessions) expire() {
	oldest := ""
	for id, candidate := range s.byID {
		if s.now().Sub(candidate.lastUsedAt) > sessionIdleTimeout {
			delete(s.byID, id)
		} else if oldest == "" || candidate.lastUsedAt.Before(s.byID[oldest].lastUsedAt) {
			oldest = id
		}
	}
	if len(s.byID) >= maxSessions {
		delete(s.byID, oldest)
	}
}

// find returns the session of a request, or nil if there is none or it has expired.
func (s *sessions) find(r *http.Request) *session {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byID[cookie.Value]
	if found == nil || s.now().Sub(found.lastUsedAt) > sessionIdleTimeout {
		return nil
	}
	found.lastUsedAt = s.now()
	return found
}

// remove ends the session of a request.
func (s *sessions) remove(r *http.Request) {
	if cookie, err := r.Cookie(cookieName); err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byID, cookie.Value)
	}
}

// hasValidToken reports whether a form carries the session's token.
func (s *session) hasValidToken(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(s.csrfToken), []byte(r.PostFormValue("token"))) == 1
}
