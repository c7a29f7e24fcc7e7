package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"currantknot.dev/currantknot/platform/standin"
)

// usualAnswer is how long an answer of the store takes.
const usualAnswer = 4 * time.Millisecond

// store is the platform's store: the project's stand-in of the log, behind an address for each instance, with answers that take time.
type store struct {
	log *standin.Log

	mu sync.Mutex
	// answer is how long each answer takes, from its execution on.
	answer time.Duration
	// down means that the store refuses all calls.
	down bool
	// leader is the instance that last wrote under a condition, -1 if none did.
	leader  int
	servers []*http.Server
}

func newStore() *store { return &store{log: standin.NewLog(1), answer: usualAnswer, leader: -1} }

// listen serves the store for an instance and returns the address.
func (s *store) listen(instance int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	srv := &http.Server{Handler: s.handler(instance), ReadHeaderTimeout: 5 * time.Second}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// handler executes each call at once and holds its answer back for as long as an answer takes.
func (s *store) handler(instance int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conditional := r.URL.Query().Has("producer") || r.URL.Query().Has("at") && r.URL.Query().Get("part") != "0"
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b := httptest.NewRecorder()
		s.log.ServeHTTP(b, r)
		s.mu.Lock()
		if conditional && b.Code == http.StatusOK {
			s.leader = instance
		}
		d := s.answer
		s.mu.Unlock()
		time.Sleep(d)
		for k, v := range b.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(b.Code)
		_, _ = w.Write(b.Body.Bytes())
	})
}

func (s *store) setAnswer(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = d
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) lastWriter() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		_ = x.Close()
	}
}
