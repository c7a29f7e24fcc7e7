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
	// extraSlots is dealt out beyond the slots of an upstream: entries rarely use all of their slots at the same time.
	extraSlots = 1
	// maxEjectedShare bounds the part of a service's upstreams that is ejected at a time.
	maxEjectedShare = 1.0 / 3
	// demandMemory is the time constant of the published demand.
	demandMemory = 2 * time.Second
	// minRetryAfter is the least time after which a refused caller is asked to come back.
	minRetryAfter = 100 * time.Millisecond
	// leastServiceShare is the part of the mean latency that a request must have left to be bound.
	leastServiceShare = 0.25
	// slowSpreads is the number of spreads above the mean that a slow answer takes.
	slowSpreads = 4
	// leastWaitPart is the part of its time that a request may wait even where answers are slow.
	leastWaitPart = 8
	// limitBurst is the time for which an account may use its limit at once.
	limitBurst = 500 * time.Millisecond
)

// Router decides on the requests of one entry.
type Router struct {
	Self   string
	random *rand.Rand

	// mu guards the fields below.
	mu       sync.Mutex
	policy   policy
	services map[string]*service
}

// service is the router's knowledge of one service.
type service struct {
	document.Service

	upstreams map[string]*upstream
	sorted    []*upstream
	queue     *fairQueue
	limits    map[string]*rate.Limiter
	// latency is a moving average of all answers in seconds, 0 before the first, and spread that of their distance to it.
	latency float64
	spread  float64
	// busy is a moving average of requests in flight and waiting, and busyAt its time.
	busy   float64
	busyAt time.Time
	// demands holds what the other entries last published.
	demands []Demand
}

// NewRouter returns a router without services, or a *PolicyError.
func NewRouter(self, policyName string, r *rand.Rand) (*Router, error) {
	p, err := newPolicy(policyName, r)
	if err != nil {
		return nil, err
	}
	return &Router{Self: self, random: r, policy: p, services: make(map[string]*service)}, nil
}

// SetServices takes over the services of the document.
func (r *Router) SetServices(ss []document.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.services
	r.services = make(map[string]*service, len(ss))
	for _, s := range ss {
		x := old[s.Name]
		if x == nil {
			x = &service{upstreams: make(map[string]*upstream), queue: newFairQueue(), limits: make(map[string]*rate.Limiter)}
		}
		if x.RequestsPerSecond != s.RequestsPerSecond {
			clear(x.limits)
		}
		x.Service = s
		r.services[s.Name] = x
	}
}

// SetUpstreams takes over the upstreams of all services; requests may be bound as a result.
func (r *Router) SetUpstreams(us []Upstream, now time.Time) []Verdict {
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
	var vs []Verdict
	for _, s := range r.services {
		for n, u := range s.upstreams {
			if !seen[n] && u.inFlight == 0 {
				delete(s.upstreams, n)
			} else if !seen[n] {
				u.Closed = true
			}
		}
		s.sort()
		r.regrant(s)
		vs = append(vs, r.drain(s, now)...)
	}
	return vs
}

func (s *service) sort() {
	s.sorted = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
}

// SetDemands takes over what the other entries published, and how many requests they have at each upstream.
func (r *Router) SetDemands(ds map[string][]Demand, remote map[string]int, now time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var vs []Verdict
	for n, s := range r.services {
		s.demands = ds[n]
		for _, u := range s.upstreams {
			u.remote = remote[u.Name]
		}
		r.regrant(s)
		vs = append(vs, r.drain(s, now)...)
	}
	return vs
}

// Demands returns what this entry publishes, by service.
func (r *Router) Demands(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := make(map[string]float64, len(r.services))
	for n, s := range r.services {
		s.sample(now)
		d[n] = s.busy
	}
	return d
}

// sample adds the present need for slots to its moving average.
func (s *service) sample(now time.Time) {
	n := float64(s.queue.size)
	for _, u := range s.upstreams {
		n += float64(u.inFlight)
	}
	w := 1.0
	if !s.busyAt.IsZero() {
		w = min(1, float64(now.Sub(s.busyAt))/float64(demandMemory))
	}
	s.busy += w * (n - s.busy)
	s.busyAt = now
}

// regrant divides the slots of the service's open upstreams anew.
func (r *Router) regrant(s *service) {
	ds := append([]Demand{{Entry: r.Self, Slots: s.busy}}, s.demands...)
	n := slotsPerUpstream
	if len(ds) > 1 {
		n += extraSlots
	}
	t := 0
	for _, u := range s.sorted {
		u.granted = divide(u.Name, n, ds)[r.Self]
		if !u.Closed {
			t += u.granted
		}
	}
	if t > 0 {
		return
	}
	// An entry without any slot would answer nothing; one slot too many waits at the upstream for a moment.
	for _, u := range s.sorted {
		u.granted = 1
	}
}

// Offer decides on a new request; nil means that it waits for a verdict of a later event.
func (r *Router) Offer(q *Request, now time.Time) *Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[q.Service]
	if s == nil {
		return refuse(q, RefusedUnknownService, now.Add(minRetryAfter))
	}
	if len(q.Tried) == 0 && !q.NoWait && !s.admits(q.ClientAccount, now) {
		return refuse(q, RefusedLimit, now.Add(limitBurst))
	}
	if u := r.choose(s, q, now); u != nil {
		return bind(q, u)
	}
	if q.NoWait {
		return refuse(q, RefusedBusy, now.Add(minRetryAfter))
	}
	if !s.hasOpen(now) {
		return refuse(q, RefusedNoUpstream, now.Add(time.Second))
	}
	w := s.expectedWait(q.ClientAccount, now)
	if w > s.longestWait(q.Deadline.Sub(now)) {
		return refuse(q, RefusedOverload, now.Add(max(w, minRetryAfter)))
	}
	s.queue.push(q)
	return nil
}

func refuse(q *Request, why RefusalReason, retryAt time.Time) *Verdict {
	return &Verdict{Request: q, Refusal: &RefusalError{Reason: why, RetryAt: retryAt}}
}

func bind(q *Request, u *upstream) *Verdict {
	u.inFlight++
	return &Verdict{Request: q, Upstream: &Target{Name: u.Name, Address: u.Address, Reason: u.reason()}}
}

func (u *upstream) reason() string {
	if u.latency == 0 {
		return "free slot, no latency known"
	}
	return "free slot with latency " + time.Duration(u.latency*float64(time.Second)).Round(time.Microsecond).String()
}

// admits counts a request against its account's limit.
func (s *service) admits(account string, now time.Time) bool {
	if s.RequestsPerSecond == 0 {
		return true
	}
	l := s.limits[account]
	if l == nil {
		// Each entry enforces its part of the limit, which the balancer spreads evenly.
		p := float64(s.RequestsPerSecond) / float64(1+len(s.demands))
		l = rate.NewLimiter(rate.Limit(p), max(1, int(p*limitBurst.Seconds())))
		s.limits[account] = l
	}
	return l.AllowN(now, 1)
}

func (s *service) hasOpen(now time.Time) bool {
	return slices.ContainsFunc(s.sorted, func(u *upstream) bool { return u.isOpen(now) })
}

// choose returns the upstream that the request is bound to now, nil where it has to wait.
func (r *Router) choose(s *service, q *Request, now time.Time) *upstream {
	var us []*upstream
	for _, u := range s.sorted {
		if u.isOpen(now) && !slices.Contains(q.Tried, u.Name) {
			us = append(us, u)
		}
	}
	if len(us) == 0 {
		return nil
	}
	return r.policy.choose(us, now)
}

// expectedWait returns the time that a new request of the account will wait for a slot.
func (s *service) expectedWait(account string, now time.Time) time.Duration {
	n := 0
	for _, u := range s.sorted {
		if u.isOpen(now) {
			n += u.allowed(now)
		}
	}
	a := float64(s.queue.ahead(account) + 1)
	return time.Duration(a * s.latency / float64(max(n, 1)) * float64(time.Second))
}

// longestWait returns how long a request may wait that has the given time left.
//
// It leaves room for a slow answer and not only for the mean: a queue that is
// filled up to the mean keeps the slots busy with answers that come too late.
func (s *service) longestWait(left time.Duration) time.Duration {
	slow := time.Duration((s.latency + slowSpreads*s.spread) * float64(time.Second))
	return max(left-slow, left/leastWaitPart)
}

// leastService is the time below which a request has little chance to be answered.
func (s *service) leastService() time.Duration {
	return time.Duration(leastServiceShare * s.latency * float64(time.Second))
}

// Result is what became of a request at its upstream.
type Result struct {
	Upstream string
	Service  string
	// Failed tells that the upstream is to blame.
	Failed bool
	// Ignored tells that the result says nothing about the upstream.
	Ignored bool
	Took    time.Duration
}

// Done frees the slot of a request, learns from its result, and returns verdicts on waiting requests.
func (r *Router) Done(d Result, now time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[d.Service]
	if s == nil || s.upstreams[d.Upstream] == nil {
		return nil
	}
	u := s.upstreams[d.Upstream]
	u.inFlight--
	if !d.Ignored {
		s.learn(u, d, now)
	}
	return r.drain(s, now)
}

func (s *service) learn(u *upstream, d Result, now time.Time) {
	u.onResult(d.Failed, d.Took)
	// A failure that took longer than an answer shows that answers take at least as long now.
	if !d.Failed || d.Took.Seconds() > s.latency {
		s.spread += smoothing * (math.Abs(d.Took.Seconds()-s.latency) - s.spread)
		s.latency = average(s.latency, d.Took.Seconds())
	}
	if u.isOutlier(s.latency) && s.mayEject(now) && !u.isEjected(now) {
		u.eject(now)
	}
}

// mayEject reports whether one more ejection keeps enough upstreams open.
func (s *service) mayEject(now time.Time) bool {
	n, e := 0, 1
	for _, u := range s.sorted {
		if u.Closed {
			continue
		}
		n++
		if u.isEjected(now) {
			e++
		}
	}
	return float64(e) <= maxEjectedShare*float64(n)
}

// drain binds waiting requests to free slots.
func (r *Router) drain(s *service, now time.Time) []Verdict {
	var vs []Verdict
	for _, q := range s.queue.expired(now.Add(s.leastService())) {
		vs = append(vs, *refuse(q, RefusedDeadline, now.Add(minRetryAfter)))
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
		vs = append(vs, *bind(q, u))
	}
	return vs
}

// Cancel drops a waiting request and reports whether it was still waiting.
func (r *Router) Cancel(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[q.Service]
	return s != nil && s.queue.remove(q)
}

// Expire returns verdicts that are due to the passing of time alone.
func (r *Router) Expire(now time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var vs []Verdict
	for _, s := range r.services {
		vs = append(vs, r.drain(s, now)...)
	}
	return vs
}

// UpstreamStatus is what status shows of one upstream.
type UpstreamStatus struct {
	Name     string
	Service  string
	Domain   string
	Closed   bool
	Ejected  bool
	Granted  int
	InFlight int
	Latency  time.Duration
}

// Status returns the state of all upstreams in the order of their names.
func (r *Router) Status(now time.Time) []UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a []UpstreamStatus
	for _, s := range r.services {
		for _, u := range s.sorted {
			a = append(a, UpstreamStatus{
				u.Name, s.Name, u.FailureDomain, u.Closed, u.isEjected(now), u.granted, u.inFlight,
				time.Duration(u.latency * float64(time.Second)),
			})
		}
	}
	slices.SortFunc(a, func(x, y UpstreamStatus) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// InFlight returns the number of this entry's requests at each upstream.
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
