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
	// sessionIdle ends a session that was not used for this long.
	sessionIdle = 8 * time.Hour
	// maxSessions bounds the sessions of one control instance; the one unused
	// for longest ends first.
	maxSessions = 200
)

// session is one signed-in operator. Its fields are used under mu.
type session struct {
	mu       sync.Mutex
	operator string
	// token is part of every form, so that other sites cannot post.
	token  string
	draft  *draft
	notice string
	used   time.Time
}

// sessions are kept in memory: they, and their drafts, end with the process.
type sessions struct {
	mu  sync.Mutex
	all map[string]*session
	now func() time.Time
}

// open starts a session and sets its cookie.
func (s *sessions) open(w http.ResponseWriter, r *http.Request, operator string) {
	id := rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.all[id] = &session{operator: operator, token: rand.Text(), used: s.now()}
	http.SetCookie(w, &http.Cookie{
		Name: cookieName, Value: id, Path: prefix, HttpOnly: true, Secure: r.TLS != nil, SameSite: http.SameSiteStrictMode,
	})
}

// expire ends idle sessions, and the oldest one when there are too many.
func (s *sessions) expire() {
	oldest := ""
	for id, one := range s.all {
		if s.now().Sub(one.used) > sessionIdle {
			delete(s.all, id)
		} else if oldest == "" || one.used.Before(s.all[oldest].used) {
			oldest = id
		}
	}
	if len(s.all) >= maxSessions {
		delete(s.all, oldest)
	}
}

// find returns the session of a request, or nil.
func (s *sessions) find(r *http.Request) *session {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.all[cookie.Value]
	if one == nil || s.now().Sub(one.used) > sessionIdle {
		return nil
	}
	one.used = s.now()
	return one
}

// close ends the session of a request.
func (s *sessions) close(r *http.Request) {
	if cookie, err := r.Cookie(cookieName); err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, cookie.Value)
	}
}

// checks reports whether a form carries the token of the session.
func (s *session) checks(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(s.token), []byte(r.PostFormValue("token"))) == 1
}
