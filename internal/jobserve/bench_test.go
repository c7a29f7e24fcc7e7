package jobserve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

// benchFleet is workers, a store and a directory in memory, so that only the owner's own work is measured.
type benchFleet struct {
	mu      sync.Mutex
	workers map[string]*benchWorker
	members []dispatch.WorkerInfo
	appends int
	records int
}

// benchWorker runs what it is told for half a second, or until it is stopped.
type benchWorker struct {
	running map[jobs.Ref]dispatch.RunningAttempt
	ended   []dispatch.FinishedAttempt
	number  int64
	changed chan struct{}
}

const (
	benchLife     = 1000
	benchTaskTime = 500 * time.Millisecond
)

func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{workers: make(map[string]*benchWorker)}
	for i := range n {
		id := fmt.Sprintf("i-%08x", i)
		f.members = append(f.members, dispatch.WorkerInfo{
			ID: id, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Pool: "pool", FailureDomain: fmt.Sprintf("domain-%d", i%5),
			Capacity: jobs.Resources{MilliCPU: 64000, MemoryMB: 250000}, Incarnation: benchLife,
		})
		f.workers[id] = &benchWorker{running: make(map[jobs.Ref]dispatch.RunningAttempt), changed: make(chan struct{}, 1)}
	}
	return f
}

func (f *benchFleet) ListWorkers(context.Context) ([]dispatch.WorkerInfo, error) {
	return f.members, nil
}

func (f *benchFleet) Forget(string) {}

func (f *benchFleet) SetWorkerCount(int) {}

func (f *benchFleet) Sync(ctx context.Context, s Sync) (dispatch.Report, error) {
	w := f.workers[s.Worker]
	f.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].Number <= s.Acknowledged {
		w.ended = w.ended[1:]
	}
	none := len(w.ended) == 0
	f.mu.Unlock()
	asked := time.Now()
	if d := time.Until(s.LongPollUntil); none && d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-w.changed:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := dispatch.Report{Worker: s.Worker, Incarnation: benchLife, RequestedAt: asked, Finished: append([]dispatch.FinishedAttempt(nil), w.ended...)}
	for _, x := range w.running {
		r.Running = append(r.Running, x)
	}
	return r, nil
}

func (f *benchFleet) Execute(_ context.Context, s FencedOrder) (dispatch.OrderResult, error) {
	w := f.workers[s.Worker]
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s.Kind {
	case dispatch.OrderStart:
		load := 2000.0
		lasts := s.Payload == "lasts"
		if lasts {
			load = 20
		}
		w.running[s.Ref] = dispatch.RunningAttempt{Ref: s.Ref, Run: s.Run, ProgressPercent: 50, Sample: load}
		if !lasts {
			time.AfterFunc(benchTaskTime, func() { f.end(w, s, jobs.OutcomeDone) })
		}
	case dispatch.OrderStop:
		go f.end(w, s, jobs.OutcomeStopped)
	case dispatch.OrderThrottle, dispatch.OrderAdvise, dispatch.OrderMaintain, dispatch.OrderReport:
	}
	return dispatch.ResultAccepted, nil
}

func (f *benchFleet) end(w *benchWorker, s FencedOrder, how jobs.AttemptOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := w.running[s.Ref]; !ok {
		return
	}
	delete(w.running, s.Ref)
	w.number++
	w.ended = append(w.ended, dispatch.FinishedAttempt{Ref: s.Ref, Number: w.number, Run: s.Run, Outcome: how})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (f *benchFleet) Append(_ context.Context, _ Partition, r []Record, _ *Writer) (int64, error) {
	time.Sleep(6 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	f.records += len(r)
	return int64(f.records), nil
}

func (f *benchFleet) Read(_ context.Context, _ Partition, from int64, until time.Time) (Page, error) {
	time.Sleep(time.Until(until))
	return Page{Next: from, EndOffset: from}, nil
}

func (f *benchFleet) Newest(context.Context, Partition, string) (Newest, error) { return Newest{}, nil }

func (f *benchFleet) Join(context.Context, int64, time.Duration) (Membership, error) {
	return Membership{}, nil
}

func (f *benchFleet) Leave(context.Context) error { return nil }

// benchStore is the fleet as a store.
type benchStore struct{ *benchFleet }

func (s benchStore) Members(context.Context) ([]string, error) { return nil, nil }

// BenchmarkOwner runs an owner at the size of the grown deployments, and reports processor time and starts a second.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{66, 490} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				runOwnerBench(b, workers)
			}
		})
	}
}

const benchLength = 6 * time.Second

func runOwnerBench(b *testing.B, workers int) {
	f := newBenchFleet(workers)
	r := NewReplica(benchStore{f}, zerolog.Nop())
	ctx, cancel := context.WithCancel(b.Context())
	begun := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	hand := func(n int, payload string, step jobs.Step) {
		q := jobs.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
		x, err := jobs.EncodeSpec(&jobs.Spec{ID: fmt.Sprintf("%016x", n), Queue: q, Payload: payload, SubmittedAt: time.Now(), Steps: []jobs.Step{step}})
		if err != nil {
			b.Fatal(err)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.putSpec(fmt.Sprintf("%016x", n), x)
	}
	for n := range workers / 3 {
		hand(1_000_000+n, "lasts", jobs.Step{Tasks: 12, Size: jobs.Resources{MilliCPU: 12000, MemoryMB: 25000}, LongRunning: true, Image: fmt.Sprintf("s-%d", n%5), TailBound: 45 * time.Millisecond})
	}
	done := make(chan struct{})
	m := NewMetrics()
	go func() {
		defer close(done)
		RunOwner(ctx, OwnerConfig{
			Store: benchStore{f}, Replica: r, Workers: f, Directory: f, State: &State{}, RenewedAt: time.Now,
			Lease: 6 * time.Second, StoreLossGrace: 3 * time.Second, Metrics: m, Logger: zerolog.Nop(),
		})
	}()
	time.Sleep(2 * time.Second)
	used := processorTime(b)
	for n := 0; time.Since(begun) < benchLength; n++ {
		hand(n, "ends", jobs.Step{Tasks: 20, Size: jobs.Resources{MilliCPU: 2000 + random.IntN(5000), MemoryMB: 2000}, BestEffort: n%2 == 0, Image: fmt.Sprintf("b-%d", n%9), Estimate: time.Second})
		time.Sleep(time.Second * 11 / time.Duration(workers))
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(benchLength-2*time.Second), "cores")
	b.ReportMetric(float64(f.records)/benchLength.Seconds(), "records/s")
	cancel()
	<-done
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
