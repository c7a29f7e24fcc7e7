package jobserve

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// WherePath is the path at the metrics address at which an instance tells where a job would go.
	WherePath = "/where"
	// maxWhereBytes bounds the job in a request.
	maxWhereBytes = 1 << 20
	// claimReadTimeout bounds the read by which an instance learns who owns the jobs.
	claimReadTimeout = time.Second
	// whereID is the identity of a job that was not submitted.
	whereID = "0000000000000000"
)

// JobDecoder decodes a job as callers submit it.
type JobDecoder func(id string, body []byte, q jobs.Queue, now time.Time) (*jobs.Spec, error)

// WhereResponse tells where the tasks of a job would go now.
type WhereResponse struct {
	// Instance is the name of the instance that responds, and At the time as of which it does.
	Instance string
	At       time.Time
	// Owner is the name of the instance that owns the jobs, if this one does not and knows it. Error is why there is no answer.
	Owner string `json:",omitempty"`
	Error string `json:",omitempty"`
	// Job is the identity of a submitted job; Queue and Pool are those of the job.
	Job   string `json:",omitempty"`
	Queue string `json:",omitempty"`
	Pool  string `json:",omitempty"`
	// Account is the client account in the request, nil if there is none.
	Account *WhereAccount          `json:",omitempty"`
	Answer  *dispatch.JobPlacement `json:",omitempty"`
}

// WhereAccount is a client account as the newest configuration of the instance has it.
type WhereAccount struct {
	Name string
	// Known means that the configuration has the account.
	Known  bool
	Weight float64
	Cap    jobs.Resources
}

// whereHandler tells where a job would go, without a change. It handles one request at a time, since the owner can't plan
// meanwhile.
type whereHandler struct {
	instance string
	state    *OperatorState
	replica  *Replica
	decode   JobDecoder
	owner    *atomic.Pointer[Owner]
	busy     atomic.Bool
}

// ServeHTTP implements http.Handler. A GET request names a submitted job by the parameter job; a POST request has a job as its
// body, and names its queue by the parameter queue, or by host and path.
func (h *whereHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := WhereResponse{Instance: h.instance, At: time.Now()}
	// A client that sends its body slowly does not keep others waiting.
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxWhereBytes))
	if err != nil {
		x.Error = err.Error()
		writeWhere(w, whereStatus(err), &x)
		return
	}
	if !h.busy.CompareAndSwap(false, true) {
		x.Error = "another request is in progress"
		writeWhere(w, http.StatusServiceUnavailable, &x)
		return
	}
	defer h.busy.Store(false)
	o := h.owner.Load()
	if o == nil {
		x.Owner = h.ownerName(r.Context())
		x.Error = "this instance does not own the jobs"
		writeWhere(w, http.StatusMisdirectedRequest, &x)
		return
	}
	switch r.Method {
	case http.MethodGet:
		writeWhere(w, h.whereJob(o, r, &x), &x)
	case http.MethodPost:
		writeWhere(w, h.where(o, r, body, &x), &x)
	default:
		x.Error = "no such method"
		writeWhere(w, http.StatusMethodNotAllowed, &x)
	}
}

// ownerName returns the name of the instance that owns the jobs by the newest claim, empty if it cannot be read.
func (h *whereHandler) ownerName(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	c, err := h.replica.RefreshClaim(ctx)
	if err != nil || c.Identity == "" {
		return ""
	}
	return parseIdentity(c.Identity).Name
}

// whereJob answers for a submitted job and returns the status.
func (h *whereHandler) whereJob(o *Owner, r *http.Request, x *WhereResponse) int {
	x.Job = r.URL.Query().Get("job")
	a, q, account, ok := o.whereJob(x.Job, x.At)
	if !ok {
		x.Error = "the owner knows no such job"
		return http.StatusNotFound
	}
	x.Queue, x.Pool, x.Answer = q.Name, q.Pool, &a
	x.Account = h.account(account)
	return http.StatusOK
}

// whereStatus returns the status for a body that was not read.
func whereStatus(err error) int {
	if inbound.IsRefused(err) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// where answers for a job that was not submitted and returns the status.
func (h *whereHandler) where(o *Owner, r *http.Request, body []byte, x *WhereResponse) int {
	q := h.queue(r)
	if q == nil {
		x.Error = "no such queue"
		return http.StatusNotFound
	}
	s, err := h.decode(whereID, body, q.Queue, x.At)
	if err != nil {
		x.Error = err.Error()
		return http.StatusBadRequest
	}
	s.Account = r.URL.Query().Get("account")
	a := o.where(*s, x.At)
	x.Queue, x.Pool, x.Answer = q.Name, q.Pool, &a
	x.Account = h.account(s.Account)
	return http.StatusOK
}

// queue returns the route that a request names, nil if the configuration has none.
func (h *whereHandler) queue(r *http.Request) *Route {
	c := h.state.Configuration()
	if c == nil {
		return nil
	}
	v := r.URL.Query()
	if v.Get("queue") == "" {
		return c.Route(v.Get("host"), v.Get("path"))
	}
	for i := range c.Routes {
		if c.Routes[i].Name == v.Get("queue") {
			return &c.Routes[i]
		}
	}
	return nil
}

// account returns what the configuration says of an account, nil for the empty name.
func (h *whereHandler) account(name string) *WhereAccount {
	if name == "" {
		return nil
	}
	x := &WhereAccount{Name: name}
	c := h.state.Configuration()
	if c == nil {
		return x
	}
	for _, a := range c.Accounts {
		if a.Name == name {
			x.Known, x.Weight, x.Cap = true, a.Weight, a.Cap
		}
	}
	return x
}

func writeWhere(w http.ResponseWriter, status int, x *WhereResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(x)
}

// where tells where the tasks of a job that was not submitted would go.
func (o *Owner) where(s jobs.Spec, now time.Time) dispatch.JobPlacement {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.Where(s, now)
}

// whereJob tells where the tasks of a job would go, with its queue and account, and whether the owner knows the job.
func (o *Owner) whereJob(id string, now time.Time) (a dispatch.JobPlacement, q jobs.Queue, account string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok = o.planner.WhereJob(id, now)
	if ok {
		j := o.planner.Job(id)
		q, account = j.Queue, j.Account
	}
	return a, q, account, ok
}

// metricsHandler serves metrics, and where jobs would go.
func (i *Instance) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", i.Metrics)
	if i.DecodeJob != nil {
		m.Handle(WherePath, &whereHandler{instance: i.Name, state: i.State, replica: i.Replica, decode: i.DecodeJob, owner: &i.owner})
	}
	return m
}
