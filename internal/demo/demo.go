package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/internal/platform/standin"
	"currantknot.dev/currantknot/internal/serve"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/pkg/document"
)

//go:embed fleet.yaml
var fleet []byte

const (
	instanceCount = 3
	// drainBound is the guaranteed maximum time from the acceptance of a drain to the last start of a task in the failure
	// domain.
	drainBound = 3 * time.Second
	// startTimeout bounds each of two waits: for the document to be accepted, and then for the services to start.
	startTimeout = 10 * time.Second
	// finishTimeout bounds the wait for the jobs to finish after the load.
	finishTimeout = 12 * time.Second
	// minSeconds is the minimum duration of the load, into which all faults fit.
	minSeconds = 20
)

// Config holds the settings of a demonstration.
type Config struct {
	// Seconds is the duration of the load.
	Seconds int
	Logger  zerolog.Logger
}

// ViolationError reports guarantees of the system that were violated.
type ViolationError struct {
	Violations []string
}

// Error lists the violations.
func (e *ViolationError) Error() string {
	return "guarantees violated:\n  " + strings.Join(e.Violations, "\n  ")
}

// TooShortError reports a duration of the load below the minimum.
type TooShortError struct {
	Seconds int
}

// Error names the given and the minimum duration.
func (e *TooShortError) Error() string {
	return fmt.Sprintf("a load of %d seconds is too short, the minimum is %d seconds", e.Seconds, minSeconds)
}

// demo is a running demonstration.
type demo struct {
	Config

	out         io.Writer
	startedAt   time.Time
	platform    *standin.Platform
	platformURL string
	members     [instanceCount]*member
	wg          sync.WaitGroup

	// mu guards drains and the fields of the members. Only the goroutine that called Run writes them, so that goroutine may
	// read them without mu.
	mu     sync.Mutex
	drains []drain
}

// drain is a period during which a failure domain was out of service.
type drain struct {
	domain string
	// start is the time at which the drain was accepted, and end the time of the request to restore the failure domain.
	start, end time.Time
}

// member is one of the instances. A killed instance is replaced by one with the same name and addresses.
type member struct {
	name            string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	instance        *serve.Instance
	stop            context.CancelFunc
	// done receives the result of the instance's Run.
	done chan error
	// up is false before the first start, and from the kill until the replacement.
	up bool
}

// Run runs the demonstration and returns a *ViolationError if a guarantee was violated.
func Run(ctx context.Context, out io.Writer, c Config) error {
	if c.Seconds < minSeconds {
		return &TooShortError{Seconds: c.Seconds}
	}
	d := &demo{Config: c, out: out, startedAt: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer d.wg.Wait()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.platform.Close()
	defer d.killMembers()
	l := &Load{Addresses: d.callerAddresses, Paths: []string{"/judgments", "/badges"}, Clients: 24, ThinkTime: 5 * time.Millisecond, Seed: 1}
	loadCtx, stop := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second)
	defer stop()
	r := make(chan LoadResult, 1)
	go func() { r <- l.Run(loadCtx) }()
	if err := d.injectFaults(loadCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	res := <-r
	d.printf("load finished, waiting for the jobs to finish")
	d.waitForJobs(ctx)
	return d.report(l, res)
}

// printf prints a progress line that begins with the seconds since the start of the demonstration.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) error {
	ss, err := document.Parse(fleet)
	if err != nil {
		return err
	}
	d.platform = standin.New(standin.Config{
		Workers: standin.WorkersOf(ss), AppendsPerSecond: 400, Retention: time.Hour,
		ListLag: 500 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Seed: 1, Logger: d.Logger,
	})
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("open a listener for the stand-in platform: %w", err)
	}
	d.platformURL = "http://" + l.Addr().String()
	d.wg.Go(func() { _ = d.platform.Serve(ctx, l) })
	if err := d.startMembers(ctx); err != nil {
		return err
	}
	return d.applyFleet(ctx, ss)
}

func (d *demo) startMembers(ctx context.Context) error {
	for i := range d.members {
		m := &member{name: fmt.Sprintf("entry-%d", i+1)}
		for _, a := range []*string{&m.callerAddress, &m.operatorAddress, &m.peerAddress} {
			var err error
			if *a, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		d.members[i] = m
	}
	d.registerMembers()
	for _, m := range d.members {
		if err := d.startMember(ctx, m); err != nil {
			return err
		}
	}
	d.printf("stand-in platform and %d instances started", instanceCount)
	return nil
}

func freeAddress(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// registerMembers sets the platform's list of instances.
func (d *demo) registerMembers() {
	var instances []platform.Instance
	for _, m := range d.members {
		instances = append(instances, platform.Instance{Name: m.name, PeerAddress: m.peerAddress})
	}
	d.platform.SetInstances(instances)
}

func (d *demo) startMember(ctx context.Context, m *member) error {
	s := settings.Serve{
		Name: m.name, FailureDomain: "thamel", CallerListen: m.callerAddress, OperatorListen: m.operatorAddress, PeerListen: m.peerAddress,
		Platform: d.platformURL, PlatformTimeout: time.Second, ListEvery: 500 * time.Millisecond,
		HeartbeatEvery: 250 * time.Millisecond, SyncEvery: 500 * time.Millisecond, Lease: 30 * time.Second,
		DrainDelay: time.Second, RoutingPolicy: "slots", PlacementPolicy: "colocated", Insecure: true,
	}
	s.LogLevel = "error"
	if err := s.Check(); err != nil {
		return err
	}
	i, err := serve.New(s, d.Logger)
	if err != nil {
		return err
	}
	instanceCtx, stop := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	m.instance, m.stop, m.done, m.up = i, stop, make(chan error, 1), true
	done := m.done
	d.wg.Go(func() { done <- i.Run(instanceCtx) })
	return nil
}

func (d *demo) killMembers() {
	for _, m := range d.members {
		if m.stop != nil {
			m.instance.Kill()
			m.stop()
		}
	}
}

// callerAddresses returns the addresses for callers of the instances that are up, as a load balancer would use them.
func (d *demo) callerAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var a []string
	for _, m := range d.members {
		if m.up {
			a = append(a, m.callerAddress)
		}
	}
	return a
}

// operatorClient returns a client for the operator API of the first instance that is up, nil if none is up.
func (d *demo) operatorClient() *operator.Client {
	for _, m := range d.members {
		if m.up {
			return &operator.Client{BaseURL: "http://" + m.operatorAddress, Timeout: 10 * time.Second}
		}
	}
	return nil
}

// applyFleet writes the sections to the document. It then waits until as many tasks have started as the services have
// replicas, at most for startTimeout, and for another second.
func (d *demo) applyFleet(ctx context.Context, ss []*document.Section) error {
	q := operator.EditRequest{Author: "demo", Reason: "first fleet"}
	for _, s := range ss {
		q.Sections = append(q.Sections, operator.SectionEdit{Section: s.Section, Text: string(document.Render(s))})
	}
	for deadline := time.Now().Add(startTimeout); ; {
		_, err := d.operatorClient().Edit(ctx, q)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.printf("document accepted")
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		// The two services of fleet.yaml have six replicas each.
		if len(d.platform.Audit().Starts) >= 12 {
			break
		}
	}
	time.Sleep(time.Second)
	d.printf("%d tasks started", len(d.platform.Audit().Starts))
	return nil
}

// injectFaults injects all faults of the demonstration, each at a fixed fraction of the load's duration.
func (d *demo) injectFaults(ctx context.Context) error {
	steps := []struct {
		fraction    float64
		description string
		inject      func(context.Context) error
	}{
		{0.10, "failure domain lalitpur is drained", func(ctx context.Context) error { return d.setDomain(ctx, "lalitpur", true) }},
		{0.30, "failure domain lalitpur is restored", func(ctx context.Context) error { return d.setDomain(ctx, "lalitpur", false) }},
		{0.40, "the log becomes unavailable", func(context.Context) error { d.platform.SetFaults(standin.Faults{LogDown: true}); return nil }},
		{0.55, "the log is available again, but a fifth of the responses to appends and a twentieth of those to orders are lost", func(context.Context) error {
			d.platform.SetFaults(standin.Faults{LoseAppendReplies: 0.2, LoseOrderReplies: 0.05})
			return nil
		}},
		{0.65, "an instance is killed", d.killOwner},
		{0.80, "the killed instance is replaced", d.replaceKilled},
		{0.90, "no more responses are lost", func(context.Context) error { d.platform.SetFaults(standin.Faults{}); return nil }},
	}
	loadStart := time.Now()
	for _, s := range steps {
		t := time.NewTimer(time.Until(loadStart.Add(time.Duration(s.fraction * float64(d.Seconds) * float64(time.Second)))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		d.printf("%s", s.description)
		if err := s.inject(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.description, err)
		}
	}
	return nil
}

func (d *demo) setDomain(ctx context.Context, name string, outOfService bool) error {
	if !outOfService {
		d.mu.Lock()
		d.drains[len(d.drains)-1].end = time.Now()
		d.mu.Unlock()
	}
	r, err := d.operatorClient().SetDomain(ctx, operator.DomainRequest{Name: name, OutOfService: outOfService, Author: "demo"})
	if err != nil {
		return err
	}
	if outOfService {
		d.mu.Lock()
		d.drains = append(d.drains, drain{domain: name, start: time.Now()})
		d.mu.Unlock()
	}
	d.printf("change accepted, in force on %d of %d instances so far", len(r.InForce), r.Instances)
	return nil
}

// killOwner kills the instance that owns the only shard, so that another instance has to take over the shard. If the status
// shows no owner, it kills the first instance.
func (d *demo) killOwner(ctx context.Context) error {
	s, err := d.operatorClient().Status(ctx)
	if err != nil {
		return err
	}
	owner := d.members[0]
	for _, i := range s.Instances {
		for _, m := range d.members {
			if m.name == i.Name && len(i.Shards) > 0 {
				owner = m
			}
		}
	}
	d.mu.Lock()
	owner.up = false
	d.mu.Unlock()
	owner.instance.Kill()
	return nil
}

// replaceKilled waits until the killed instance has returned and starts its replacement.
func (d *demo) replaceKilled(ctx context.Context) error {
	for _, m := range d.members {
		if m.up {
			continue
		}
		if err := <-m.done; err != nil {
			d.printf("the killed instance returned an error: %v", err)
		}
		return d.startMember(ctx, m)
	}
	return nil
}

// totalTasks returns the number of batch tasks of all jobs in fleet.yaml.
func totalTasks() int {
	ss, _ := document.Parse(fleet)
	n := 0
	for _, s := range ss {
		for _, j := range s.Jobs {
			n += j.Tasks
		}
	}
	return n
}

func (d *demo) waitForJobs(ctx context.Context) {
	n := totalTasks()
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if d.platform.Audit().Finished >= n {
			return
		}
	}
}

// report prints the results as a table and returns a *ViolationError if a guarantee was violated.
func (d *demo) report(l *Load, r LoadResult) error {
	a := d.platform.Audit()
	violations := append(slices.Clone(a.Violations), l.Check(a)...)
	violations = append(violations, r.Failures...)
	late := d.lateStarts(a)
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	fmt.Fprintln(w)
	row("requests", r.Requests)
	row("answered", r.Succeeded)
	row("p50, p99, p99.9 latency including client retries", fmt.Sprint(r.P50, ", ", r.P99, ", ", r.P999))
	row("attempts rejected without running", r.NotRun)
	row("attempts with an unknown outcome", r.Unknown)
	row("attempts with a broken connection", r.BrokenConnections)
	row("lost requests", r.Lost)
	row("truncated responses", r.Truncated)
	row("finished tasks", fmt.Sprintf("%d of %d", a.Finished, totalTasks()))
	row("starts", len(a.Starts))
	row("starts in a drained failure domain after "+drainBound.String(), late)
	row("appends to the log", a.Appends)
	row("violations of guarantees", len(violations))
	_ = w.Flush()
	if r.Lost > 0 || r.Truncated > 0 || late > 0 || a.Finished != totalTasks() {
		violations = append(violations, "the table shows lost requests, truncated responses, late starts or unfinished tasks")
	}
	if len(violations) > 0 {
		return &ViolationError{Violations: violations}
	}
	return nil
}

// lateStarts counts the starts of tasks in a failure domain that had been out of service for more than drainBound. Drains
// that have not ended are ignored.
func (d *demo) lateStarts(a standin.Audit) int {
	n := 0
	for _, s := range a.Starts {
		for _, p := range d.drains {
			if s.FailureDomain == p.domain && s.At.After(p.start.Add(drainBound)) && s.At.Before(p.end) {
				n++
			}
		}
	}
	return n
}
