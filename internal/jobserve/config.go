package jobserve

import (
	"strings"
	"sync/atomic"
	"time"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

// Route maps requests by host and path prefix to a queue.
type Route struct {
	jobs.Queue
	Host       string
	PathPrefix string
	// Public means that callers need no key, and that the jobs belong to no client account.
	Public bool
	// Timeout is the time for a response; 0 means the default of the handler.
	Timeout time.Duration
}

// Limits bounds the size and duration of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the settings made by operators; it is immutable once published.
type Configuration struct {
	Version int64
	Routes  []Route
	// Accounts are the client accounts, without their keys.
	Accounts []account.Account
	// Keys holds the keys of the accounts, nil if callers need no keys.
	Keys *account.Keyring
	Limits
}

// OperatorState holds the newest configuration, the drained failure domains, and the maintenance waves, each of which requests
// the maintenance of a set of the platform's instances (machines).
type OperatorState struct {
	configuration atomic.Pointer[Configuration]
	drained       atomic.Pointer[map[string]bool]
	waves         atomic.Pointer[[]dispatch.Wave]
	currentAt     atomic.Pointer[bootclock.Instant]
	malformed     atomic.Int64
	// read is the read of operators' changes in progress.
	read pendingRead
}

// SetCurrentAt sets the beginning of the latest read that reached the end of what operators had written.
func (s *OperatorState) SetCurrentAt(t bootclock.Instant) { s.currentAt.Store(&t) }

// CurrentAt returns as of when the state is known, the zero Instant before the first read. Later changes may be missing.
func (s *OperatorState) CurrentAt() bootclock.Instant {
	t := s.currentAt.Load()
	if t == nil {
		return bootclock.Instant{}
	}
	return *t
}

// Configuration returns the newest configuration, or nil before the first.
func (s *OperatorState) Configuration() *Configuration { return s.configuration.Load() }

// SetConfiguration replaces the configuration unless the current one is at least as new, and reports whether it did.
func (s *OperatorState) SetConfiguration(c *Configuration) bool {
	o := s.configuration.Load()
	if o != nil && o.Version >= c.Version {
		return false
	}
	s.configuration.Store(c)
	return true
}

// DrainedDomains returns the drained failure domains.
func (s *OperatorState) DrainedDomains() map[string]bool {
	m := s.drained.Load()
	if m == nil {
		return nil
	}
	return *m
}

// SetDrainedDomains replaces the drained failure domains.
func (s *OperatorState) SetDrainedDomains(m map[string]bool) { s.drained.Store(&m) }

// SetWaves replaces the maintenance waves that operators requested.
func (s *OperatorState) SetWaves(l []dispatch.Wave) { s.waves.Store(&l) }

// Waves returns the maintenance waves that operators requested.
func (s *OperatorState) Waves() []dispatch.Wave {
	l := s.waves.Load()
	if l == nil {
		return nil
	}
	return *l
}

// SetMalformed sets the number of operators' records that are ignored, since another writer made them.
func (s *OperatorState) SetMalformed(n int) { s.malformed.Store(int64(n)) }

// Malformed returns the number of operators' records that are ignored.
func (s *OperatorState) Malformed() int { return int(s.malformed.Load()) }

// RequiresKeys reports whether calls to routes that are not public need a key.
func (c *Configuration) RequiresKeys() bool { return c.Keys != nil || len(c.Accounts) > 0 }

// Route returns the host's route with the longest prefix of the path, or nil if no route matches.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}
