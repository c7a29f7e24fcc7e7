package jobserve

import (
	"strings"
	"sync/atomic"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

// Route maps requests of callers to a queue.
type Route struct {
	jobs.Queue
	Host       string
	PathPrefix string
	Timeout    time.Duration
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators decided; it is not changed after its publication.
type Configuration struct {
	Version int64
	Routes  []Route
	Limits
}

// State holds the newest configuration and the failure domains that are out of service.
type State struct {
	configuration atomic.Pointer[Configuration]
	unavailable   atomic.Pointer[map[string]bool]
	waves         atomic.Pointer[[]dispatch.Wave]
}

// Configuration returns the newest configuration, nil before the first.
func (s *State) Configuration() *Configuration { return s.configuration.Load() }

// SetConfiguration takes a configuration unless a newer one is in force, and tells whether it did.
func (s *State) SetConfiguration(c *Configuration) bool {
	o := s.configuration.Load()
	if o != nil && o.Version >= c.Version {
		return false
	}
	s.configuration.Store(c)
	return true
}

// DrainedDomains returns the failure domains that are out of service.
func (s *State) DrainedDomains() map[string]bool {
	m := s.unavailable.Load()
	if m == nil {
		return nil
	}
	return *m
}

// SetDrainedDomains replaces the failure domains that are out of service.
func (s *State) SetDrainedDomains(m map[string]bool) { s.unavailable.Store(&m) }

// SetWaves replaces the waves of maintenance that operators ask for.
func (s *State) SetWaves(l []dispatch.Wave) { s.waves.Store(&l) }

// Waves returns the waves of maintenance that operators ask for.
func (s *State) Waves() []dispatch.Wave {
	l := s.waves.Load()
	if l == nil {
		return nil
	}
	return *l
}

// Route returns the route with the longest path prefix of a host, nil where there is none.
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
