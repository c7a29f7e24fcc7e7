package routing

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantknot.dev/currantknot/pkg/document"
)

const (
	// extraSlots is the number of slots that are granted in addition to those of an upstream if there is more than one
	// instance: instances rarely use all of their slots at the same time.
	extraSlots = 1
	// maxEjectedFraction bounds the fraction of a service's upstreams that is ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// demandTimeConstant is the time constant of the moving average of this instance's demand.
	demandTimeConstant = 2 * time.Second
	// minRetryAfter is the minimum time after which a refused caller is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	// minServiceFraction is the minimum time left until the deadline of a waiting request that is still bound to an
	// upstream, as a fraction of the service's mean latency.
	minServiceFraction = 0.25
	// slowResponseDeviations is the number of mean absolute deviations by which a slow response is assumed to exceed the
	// mean latency.
	slowResponseDeviations = 4
	// minWaitDivisor sets the lower bound of maxWait: 1/minWaitDivisor of the time left, even if responses are slow.
	minWaitDivisor = 8
	// limitBurstDuration sets the burst size of the rate limit: the number of requests that the limit allows in this time.
	limitBurstDuration = 500 * time.Millisecond
)

// Router binds the requests that one instance receives to upstreams, or refuses them.
type Router struct {
	// Instance is the name of the instance that runs the router.
	Instance string
	random   *rand.Rand

	// mu guards the fields below.
	mu       sync.Mutex
	policy   policy
	services map[string]*service
}

// service holds the router's state of one service.
type service struct {
	document.Service

	// upstreams holds the upstreams by name, and sortedUpstreams lists them in the order of their names.
	upstreams       map[string]*upstream
	sortedUpstreams []*upstream
	queue           *fairQueue
	// limiters holds the rate limiters of the client accounts.
	limiters map[string]*rate.Limiter
	// latencySeconds is the moving average of the latency, 0 before the first sample. deviationSeconds is the moving
	// average of the absolute deviation of the samples from latencySeconds.
	latencySeconds   float64
	deviationSeconds float64
	// demand is a moving average of the number of requests in flight and waiting, last updated at demandUpdatedAt.
	demand          float64
	demandUpdatedAt time.Time
	// peerDemands holds the demands for slots of the service that the other instances last published.
	peerDemands []Demand
}

// NewRouter returns a router without services, or a *PolicyError if the policy is unknown.
func NewRouter(instance, policyName string, r *rand.Rand) (*Router, error) {
	p, err := newPolicy(policyName, r)
	if err != nil {
		return nil, err
	}
	return &Router{Instance: instance, random: r, policy: p, services: make(map[string]*service)}, nil
}

// SetServices replaces the services with those of the document.
func (r *Router) SetServices(ss []document.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.services
	r.services = make(map[string]*service, len(ss))
	for _, s := range ss {
		x := old[s.Name]
		if x == nil {
			x = &service{upstreams: make(map[string]*upstream), queue: newFairQueue(), limiters: make(map[string]*rate.Limiter)}
		}
		if x.RequestsPerSecond != s.RequestsPerSecond {
			clear(x.limiters)
		}
		x.Service = s
		r.services[s.Name] = x
	}
}

// SetUpstreams replaces the upstreams of all services and returns the resulting decisions on waiting requests.
func (r *Router) SetUpstreams(us []Upstream, now time.Time) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool, len(us))
	for _, u := range us {
		s := r.services[u.Service]
		if s == nil {
			continue
		}
		seen[u.Name] = true
		x := s.upstreams[u.Name]
		if x == nil {
			x = &upstream{}
			s.upstreams[u.Name] = x
		}
		x.Upstream = u
	}
	var ds []Decision
	for _, s := range r.services {
		for n, u := range s.upstreams {
			if !seen[n] && u.inFlight == 0 {
				delete(s.upstreams, n)
			} else if !seen[n] {
				u.Draining = true
			}
		}
		s.sortUpstreams()
		r.assignSlots(s)
		ds = append(ds, r.bindQueued(s, now)...)
	}
	return ds
}

func (s *service) sortUpstreams() {
	s.sortedUpstreams = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
}

// SetDemands replaces the demands that the other instances published, by service, and their number of requests in
// flight, by upstream. It returns the resulting decisions on waiting requests.
func (r *Router) SetDemands(demands map[string][]Demand, inFlight map[string]int, now time.Time) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ds []Decision
	for n, s := range r.services {
		s.peerDemands = demands[n]
		for _, u := range s.upstreams {
			u.peerInFlight = inFlight[u.Name]
		}
		r.assignSlots(s)
		ds = append(ds, r.bindQueued(s, now)...)
	}
	return ds
}

// Demands returns the demand that this instance publishes, by service.
func (r *Router) Demands(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := make(map[string]float64, len(r.services))
	for n, s := range r.services {
		s.updateDemand(now)
		d[n] = s.demand
	}
	return d
}

// updateDemand adds the current number of requests in flight and waiting to the moving average.
func (s *service) updateDemand(now time.Time) {
	n := float64(s.queue.size)
	for _, u := range s.upstreams {
		n += float64(u.inFlight)
	}
	w := 1.0
	if !s.demandUpdatedAt.IsZero() {
		w = min(1, float64(now.Sub(s.demandUpdatedAt))/float64(demandTimeConstant))
	}
	s.demand += w * (n - s.demand)
	s.demandUpdatedAt = now
}

// assignSlots recomputes the slots that this instance holds at each upstream of the service.
func (r *Router) assignSlots(s *service) {
	ds := append([]Demand{{Instance: r.Instance, Slots: s.demand}}, s.peerDemands...)
	n := slotsPerUpstream
	if len(ds) > 1 {
		n += extraSlots
	}
	t := 0
	for _, u := range s.sortedUpstreams {
		u.grantedSlots = divideSlots(u.Name, n, ds)[r.Instance]
		if !u.Draining {
			t += u.grantedSlots
		}
	}
	if t > 0 {
		return
	}
	// Without any slot, this instance could not serve a request. An excess request waits briefly at the upstream.
	for _, u := range s.sortedUpstreams {
		u.grantedSlots = 1
	}
}

// Route decides on a new request. It returns nil if the request waits. A later call of another method then returns the
// decision on the request.
func (r *Router) Route(q *Request, now time.Time) *Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[q.Service]
	if s == nil {
		return refuse(q, RefusedUnknownService, now.Add(minRetryAfter))
	}
	if len(q.Tried) == 0 && !q.NoWait && !s.allowRequest(q.ClientAccount, now) {
		return refuse(q, RefusedLimit, now.Add(limitBurstDuration))
	}
	if u := r.choose(s, q, now); u != nil {
		return bind(q, u)
	}
	if q.NoWait {
		return refuse(q, RefusedBusy, now.Add(minRetryAfter))
	}
	if !s.hasAvailableUpstream(now) {
		return refuse(q, RefusedNoUpstream, now.Add(time.Second))
	}
	w := s.expectedWait(q.ClientAccount, now)
	if w > s.maxWait(q.Deadline.Sub(now)) {
		return refuse(q, RefusedOverload, now.Add(max(w, minRetryAfter)))
	}
	s.queue.push(q)
	return nil
}

func refuse(q *Request, reason RefusalReason, retryAt time.Time) *Decision {
	return &Decision{Request: q, Refusal: &RefusalError{Reason: reason, RetryAt: retryAt}}
}

func bind(q *Request, u *upstream) *Decision {
	u.inFlight++
	return &Decision{Request: q, Upstream: &Target{Name: u.Name, Address: u.Address, Reason: u.routeReason()}}
}

func (u *upstream) routeReason() string {
	if u.latencySeconds == 0 {
		return "free slot, no latency known"
	}
	return "free slot with latency " + time.Duration(u.latencySeconds*float64(time.Second)).Round(time.Microsecond).String()
}

// allowRequest counts a request against the rate limit of its account and reports whether it is within the limit.
func (s *service) allowRequest(account string, now time.Time) bool {
	if s.RequestsPerSecond == 0 {
		return true
	}
	l := s.limiters[account]
	if l == nil {
		// The load balancer spreads requests evenly, so each instance enforces an equal fraction of the limit.
		p := float64(s.RequestsPerSecond) / float64(1+len(s.peerDemands))
		l = rate.NewLimiter(rate.Limit(p), max(1, int(p*limitBurstDuration.Seconds())))
		s.limiters[account] = l
	}
	return l.AllowN(now, 1)
}

func (s *service) hasAvailableUpstream(now time.Time) bool {
	return slices.ContainsFunc(s.sortedUpstreams, func(u *upstream) bool { return u.isAvailable(now) })
}

// choose returns the upstream to bind the request to, or nil if the request has to wait.
func (r *Router) choose(s *service, q *Request, now time.Time) *upstream {
	var us []*upstream
	for _, u := range s.sortedUpstreams {
		if u.isAvailable(now) && !slices.Contains(q.Tried, u.Name) {
			us = append(us, u)
		}
	}
	if len(us) == 0 {
		return nil
	}
	return r.policy.choose(us, now)
}

// expectedWait returns the time that a new request of the account is expected to wait for a slot.
func (s *service) expectedWait(account string, now time.Time) time.Duration {
	n := 0
	for _, u := range s.sortedUpstreams {
		if u.isAvailable(now) {
			n += u.concurrencyLimit(now)
		}
	}
	a := float64(s.queue.requestsAhead(account) + 1)
	return time.Duration(a * s.latencySeconds / float64(max(n, 1)) * float64(time.Second))
}

// maxWait returns how long a request may wait if the given time is left until its deadline.
//
// It reserves time for a slow response and not only for the mean latency: a queue
// sized for the mean keeps the slots busy with responses that miss their deadline.
func (s *service) maxWait(left time.Duration) time.Duration {
	slow := time.Duration((s.latencySeconds + slowResponseDeviations*s.deviationSeconds) * float64(time.Second))
	return max(left-slow, left/minWaitDivisor)
}

// minServiceTime returns the time left below which a response within the deadline is unlikely.
func (s *service) minServiceTime() time.Duration {
	return time.Duration(minServiceFraction * s.latencySeconds * float64(time.Second))
}

// Result is the outcome of a request at its upstream.
type Result struct {
	Upstream string
	Service  string
	// Failed means that the request got no complete response, or an error response.
	Failed bool
	// NotMeasured means that the statistics skip the result, because it is not due to the upstream. The slot is freed all the
	// same.
	NotMeasured bool
	Latency     time.Duration
}

// HandleResult frees the slot of a request, updates the statistics, and returns the resulting decisions on waiting
// requests.
func (r *Router) HandleResult(res Result, now time.Time) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[res.Service]
	if s == nil || s.upstreams[res.Upstream] == nil {
		return nil
	}
	u := s.upstreams[res.Upstream]
	u.inFlight--
	if !res.NotMeasured {
		s.recordResult(u, res, now)
	}
	return r.bindQueued(s, now)
}

func (s *service) recordResult(u *upstream, res Result, now time.Time) {
	u.recordResult(res.Failed, res.Latency)
	// A response would have taken at least as long as the failure. A failure slower than the mean is thus a sample of the
	// latency too.
	if !res.Failed || res.Latency.Seconds() > s.latencySeconds {
		s.deviationSeconds += smoothingFactor * (math.Abs(res.Latency.Seconds()-s.latencySeconds) - s.deviationSeconds)
		s.latencySeconds = movingAverage(s.latencySeconds, res.Latency.Seconds())
	}
	if u.isOutlier(s.latencySeconds) && s.mayEject(now) && !u.isEjected(now) {
		u.eject(now)
	}
}

// mayEject reports whether one more ejection stays within maxEjectedFraction.
func (s *service) mayEject(now time.Time) bool {
	n, e := 0, 1
	for _, u := range s.sortedUpstreams {
		if u.Draining {
			continue
		}
		n++
		if u.isEjected(now) {
			e++
		}
	}
	return float64(e) <= maxEjectedFraction*float64(n)
}

// bindQueued refuses the waiting requests that have too little time left, and binds others as long as slots are free.
func (r *Router) bindQueued(s *service, now time.Time) []Decision {
	var ds []Decision
	for _, q := range s.queue.removeExpired(now.Add(s.minServiceTime())) {
		ds = append(ds, *refuse(q, RefusedDeadline, now.Add(minRetryAfter)))
	}
	for s.queue.size > 0 {
		var u *upstream
		q := s.queue.pop(func(q *Request) bool {
			u = r.choose(s, q, now)
			return u != nil
		})
		if q == nil {
			break
		}
		ds = append(ds, *bind(q, u))
	}
	return ds
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (r *Router) Cancel(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[q.Service]
	return s != nil && s.queue.remove(q)
}

// Expire returns the decisions on waiting requests that are due at the given time: refusals of expired requests and
// bindings to upstreams that are available again.
func (r *Router) Expire(now time.Time) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ds []Decision
	for _, s := range r.services {
		ds = append(ds, r.bindQueued(s, now)...)
	}
	return ds
}

// UpstreamStatus describes the state of one upstream.
type UpstreamStatus struct {
	Name          string
	Service       string
	FailureDomain string
	Draining      bool
	Ejected       bool
	GrantedSlots  int
	InFlight      int
	// Latency is the moving average of the latency of responses, 0 if there is no sample.
	Latency time.Duration
}

// Status returns the state of all upstreams, sorted by name.
func (r *Router) Status(now time.Time) []UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a []UpstreamStatus
	for _, s := range r.services {
		for _, u := range s.sortedUpstreams {
			a = append(a, UpstreamStatus{
				u.Name, s.Name, u.FailureDomain, u.Draining, u.isEjected(now), u.grantedSlots, u.inFlight,
				time.Duration(u.latencySeconds * float64(time.Second)),
			})
		}
	}
	slices.SortFunc(a, func(x, y UpstreamStatus) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// InFlight returns the number of this instance's requests in flight, by upstream.
func (r *Router) InFlight() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]int)
	for _, s := range r.services {
		for n, u := range s.upstreams {
			if u.inFlight > 0 {
				m[n] = u.inFlight
			}
		}
	}
	return m
}
