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
	instances = 3
	// drainBound is the promised time after which no task starts in a drained failure domain.
	drainBound = 3 * time.Second
	// startWait bounds the wait for the services to run.
	startWait = 10 * time.Second
	// finishWait bounds the wait for the jobs after the load.
	finishWait = 12 * time.Second
	// minSeconds is the least time in which all faults fit.
	minSeconds = 20
)

// Config holds the settings of a demonstration.
type Config struct {
	Seconds int
	Logger  zerolog.Logger
}

// BrokenError reports broken promises.
type BrokenError struct {
	Promises []string
}

// Error lists the promises.
func (e *BrokenError) Error() string {
	return "promises broken:\n  " + strings.Join(e.Promises, "\n  ")
}

// SecondsError reports a demonstration that is too short.
type SecondsError struct {
	Seconds int
}

// Error names the least length.
func (e *SecondsError) Error() string {
	return fmt.Sprintf("%d seconds are too short, at least %d are needed", e.Seconds, minSeconds)
}

// demo is one running demonstration.
type demo struct {
	Config

	out     io.Writer
	began   time.Time
	stand   *standin.Platform
	base    string
	members [instances]*member
	wait    sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	drains []drain
}

// drain is a time in which a failure domain was out of service.
type drain struct {
	domain   string
	from, to time.Time
}

// member is one instance, replaced after it was killed.
type member struct {
	name     string
	caller   string
	operator string
	peer     string
	instance *serve.Instance
	stop     context.CancelFunc
	done     chan error
	up       bool
}

// Run runs the demonstration and returns a *BrokenError if a promise was broken.
func Run(ctx context.Context, out io.Writer, c Config) error {
	if c.Seconds < minSeconds {
		return &SecondsError{Seconds: c.Seconds}
	}
	d := &demo{Config: c, out: out, began: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer d.wait.Wait()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.stand.Close()
	defer d.stopAll()
	l := &Load{Entries: d.entries, Paths: []string{"/judgments", "/badges"}, Clients: 24, Pause: 5 * time.Millisecond, Seed: 1}
	x, end := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second)
	defer end()
	r := make(chan LoadResult, 1)
	go func() { r <- l.Run(x) }()
	if err := d.faults(x); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	res := <-r
	d.say("load ended, waiting for the jobs")
	d.awaitJobs(ctx)
	return d.report(l, res)
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) error {
	ss, err := document.Parse(fleet)
	if err != nil {
		return err
	}
	d.stand = standin.New(standin.Config{
		Workers: standin.WorkersOf(ss), AppendsPerSecond: 400, Retention: time.Hour,
		ListLag: 500 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Seed: 1, Logger: d.Logger,
	})
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the stand-in: %w", err)
	}
	d.base = "http://" + l.Addr().String()
	d.wait.Go(func() { _ = d.stand.Serve(ctx, l) })
	if err := d.startMembers(ctx); err != nil {
		return err
	}
	return d.applyFleet(ctx, ss)
}

func (d *demo) startMembers(ctx context.Context) error {
	for i := range d.members {
		m := &member{name: fmt.Sprintf("entry-%d", i+1)}
		for _, a := range []*string{&m.caller, &m.operator, &m.peer} {
			var err error
			if *a, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		d.members[i] = m
	}
	d.list()
	for _, m := range d.members {
		if err := d.startMember(ctx, m); err != nil {
			return err
		}
	}
	d.say("stand-in platform and %d instances started", instances)
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

// list tells the platform which instances exist.
func (d *demo) list() {
	var es []platform.Entry
	for _, m := range d.members {
		es = append(es, platform.Entry{Name: m.name, PeerAddress: m.peer})
	}
	d.stand.SetEntries(es)
}

func (d *demo) startMember(ctx context.Context, m *member) error {
	s := settings.Serve{
		Name: m.name, FailureDomain: "thamel", CallerListen: m.caller, OperatorListen: m.operator, PeerListen: m.peer,
		Platform: d.base, PlatformTimeout: time.Second, ListEvery: 500 * time.Millisecond,
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
	x, stop := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	m.instance, m.stop, m.done, m.up = i, stop, make(chan error, 1), true
	done := m.done
	d.wait.Go(func() { done <- i.Run(x) })
	return nil
}

func (d *demo) stopAll() {
	for _, m := range d.members {
		if m.stop != nil {
			m.instance.Kill()
			m.stop()
		}
	}
}

// entries returns the addresses that the balancer uses: those of instances that are up.
func (d *demo) entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var a []string
	for _, m := range d.members {
		if m.up {
			a = append(a, m.caller)
		}
	}
	return a
}

func (d *demo) client() *operator.Client {
	for _, m := range d.members {
		if m.up {
			return &operator.Client{Base: "http://" + m.operator, Timeout: 10 * time.Second}
		}
	}
	return nil
}

func (d *demo) applyFleet(ctx context.Context, ss []*document.Section) error {
	q := operator.EditRequest{Author: "demo", Reason: "first fleet"}
	for _, s := range ss {
		q.Sections = append(q.Sections, operator.SectionEdit{Section: s.Section, Text: string(document.Render(s))})
	}
	for end := time.Now().Add(startWait); ; {
		_, err := d.client().Edit(ctx, q)
		if err == nil {
			break
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.say("document accepted")
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(d.stand.Audit().Starts) >= 12 {
			break
		}
	}
	time.Sleep(time.Second)
	d.say("%d tasks started", len(d.stand.Audit().Starts))
	return nil
}

// faults brings about all faults of the demonstration, one after the other.
func (d *demo) faults(ctx context.Context) error {
	steps := []struct {
		share float64
		what  string
		do    func(context.Context) error
	}{
		{0.10, "failure domain lalitpur is taken out", func(ctx context.Context) error { return d.setDomain(ctx, "lalitpur", true) }},
		{0.30, "failure domain lalitpur comes back", func(ctx context.Context) error { return d.setDomain(ctx, "lalitpur", false) }},
		{0.40, "the log goes down", func(context.Context) error { d.stand.SetFaults(standin.Faults{LogDown: true}); return nil }},
		{0.55, "the log comes back and loses a fifth of its replies", func(context.Context) error {
			d.stand.SetFaults(standin.Faults{LoseAppendReplies: 0.2, LoseOrderReplies: 0.05})
			return nil
		}},
		{0.65, "an instance is killed", d.kill},
		{0.80, "the killed instance is replaced", d.replace},
		{0.90, "all replies arrive again", func(context.Context) error { d.stand.SetFaults(standin.Faults{}); return nil }},
	}
	began := time.Now()
	for _, s := range steps {
		t := time.NewTimer(time.Until(began.Add(time.Duration(s.share * float64(d.Seconds) * float64(time.Second)))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		d.say("%s", s.what)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.what, err)
		}
	}
	return nil
}

func (d *demo) setDomain(ctx context.Context, name string, out bool) error {
	if !out {
		d.mu.Lock()
		d.drains[len(d.drains)-1].to = time.Now()
		d.mu.Unlock()
	}
	a, err := d.client().SetDomain(ctx, operator.DomainRequest{Name: name, OutOfService: out, Author: "demo"})
	if err != nil {
		return err
	}
	if out {
		d.mu.Lock()
		d.drains = append(d.drains, drain{domain: name, from: time.Now()})
		d.mu.Unlock()
	}
	d.say("in force on %d of %d instances at the answer", len(a.InForce), a.Instances)
	return nil
}

// kill kills the instance that owns a shard, so that the shard has to be taken over.
func (d *demo) kill(ctx context.Context) error {
	s, err := d.client().Status(ctx)
	if err != nil {
		return err
	}
	v := d.members[0]
	for _, i := range s.Instances {
		for _, m := range d.members {
			if m.name == i.Name && len(i.Shards) > 0 {
				v = m
			}
		}
	}
	d.mu.Lock()
	v.up = false
	d.mu.Unlock()
	v.instance.Kill()
	return nil
}

func (d *demo) replace(ctx context.Context) error {
	for _, m := range d.members {
		if m.up {
			continue
		}
		if err := <-m.done; err != nil {
			d.say("the killed instance ended: %v", err)
		}
		return d.startMember(ctx, m)
	}
	return nil
}

// wanted returns the number of batch tasks of the fleet.
func wanted() int {
	ss, _ := document.Parse(fleet)
	n := 0
	for _, s := range ss {
		for _, j := range s.Jobs {
			n += j.Tasks
		}
	}
	return n
}

func (d *demo) awaitJobs(ctx context.Context) {
	n := wanted()
	for end := time.Now().Add(finishWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if d.stand.Audit().Finished >= n {
			return
		}
	}
}

// report prints the closing table and returns a *BrokenError if a promise was broken.
func (d *demo) report(l *Load, r LoadResult) error {
	a := d.stand.Audit()
	broken := append(slices.Clone(a.Violations), l.Check(a)...)
	broken = append(broken, r.Faults...)
	late := d.lateStarts(a)
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	fmt.Fprintln(w)
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("p50, p99, p99.9 with the clients' repeats", fmt.Sprint(r.P50, ", ", r.P99, ", ", r.P999))
	row("tries refused as not run", r.NotRun)
	row("tries with an unknown outcome", r.Unknown)
	row("tries with a broken connection", r.Broken)
	row("requests lost", r.Lost)
	row("answers cut short", r.CutShort)
	row("tasks finished", fmt.Sprintf("%d of %d", a.Finished, wanted()))
	row("starts", len(a.Starts))
	row("starts in a drained failure domain after "+drainBound.String(), late)
	row("appends to the log", a.Appends)
	row("promises broken", len(broken))
	_ = w.Flush()
	if r.Lost > 0 || r.CutShort > 0 || late > 0 || a.Finished != wanted() {
		broken = append(broken, "see the table")
	}
	if len(broken) > 0 {
		return &BrokenError{Promises: broken}
	}
	return nil
}

func (d *demo) lateStarts(a standin.Audit) int {
	n := 0
	for _, s := range a.Starts {
		for _, x := range d.drains {
			if s.FailureDomain == x.domain && s.At.After(x.from.Add(drainBound)) && s.At.Before(x.to) {
				n++
			}
		}
	}
	return n
}
