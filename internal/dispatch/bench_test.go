package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// BenchmarkPlan measures a plan for 66 and 490 workers, the sizes of the two deployments after their growth, with a
// backlog that exceeds their capacity.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{66, 490} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, now)
			var l []WorkerInfo
			for i := range workers {
				l = append(l, testWorker(i))
			}
			p.SetWorkers(l, now)
			for n := range workers / 3 {
				p.AddJob(testJob(testID(10000+n), now, jobs.Step{
					Tasks: 12, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 8000}, LongRunning: true, Image: fmt.Sprintf("s-%d", n%5), TailBound: testTailBound,
				}), now)
			}
			for n := range 2 * workers {
				p.AddJob(testJob(testID(n), now, jobs.Step{
					Tasks: 20, Size: jobs.Resources{MilliCPU: 3500, MemoryMB: 4000}, BestEffort: true, Image: fmt.Sprintf("b-%d", n%9), Estimate: time.Second,
				}), now)
			}
			report := func() {
				for _, info := range l {
					r := Report{Worker: info.ID, Incarnation: testIncarnation, RequestedAt: now}
					for ref, a := range p.workers[info.ID].attempts {
						r.Running = append(r.Running, RunningAttempt{Ref: ref, Run: a.run, ProgressPercent: 50, Sample: 20})
					}
					p.HandleReport(r, now)
				}
			}
			report()
			p.Plan(now)
			_, o := p.TakeChanges()
			for _, x := range p.OrdersCommitted(o, now) {
				p.HandleStartResult(x, ResultAccepted, now)
			}
			now = now.Add(50 * time.Millisecond)
			report()
			b.ResetTimer()
			for range b.N {
				p.Plan(now)
				p.TakeChanges()
			}
		})
	}
}

// BenchmarkPlanWithFullRacks measures a plan for 490 workers on which steps wait for full racks while others have capacity.
func BenchmarkPlanWithFullRacks(b *testing.B) {
	for _, factor := range []locality.Factor{0, 2} {
		b.Run(fmt.Sprint(factor), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, OffRackFactor: factor, Logger: zerolog.Nop()}, now)
			var l []WorkerInfo
			for i := range 490 {
				l = append(l, testWorker(i))
			}
			p.SetWorkers(l, now)
			for _, info := range l {
				p.HandleReport(Report{Worker: info.ID, Incarnation: testIncarnation, RequestedAt: now}, now)
			}
			// Half of the racks are full of tasks of 700 ms.
			for n := range 60 {
				p.AddJob(testJob(testID(n), now, jobs.Step{
					Tasks: 32, Size: jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, Estimate: 700 * time.Millisecond, Label: fmt.Sprintf("rack-%d", n),
				}), now)
			}
			p.Plan(now)
			p.TakeChanges()
			for n := range 40 {
				j := testJob(testID(1000+n), now, jobs.Step{
					Tasks: 20, Size: jobs.Resources{MilliCPU: 7000, MemoryMB: 1000}, Estimate: 2 * time.Second, DataRack: fmt.Sprintf("rack-%d", n%60),
				})
				j.Queue.TargetLatency = time.Minute
				p.AddJob(j, now)
			}
			b.ResetTimer()
			for range b.N {
				p.Plan(now)
				p.TakeChanges()
			}
			b.ReportMetric(float64(p.waiting), "waiting")
		})
	}
}

// BenchmarkPlanWithGangs measures a plan for 490 workers with rack-sensitive gangs that fit nowhere.
func BenchmarkPlanWithGangs(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, OffRackFactor: 2, Logger: zerolog.Nop()}, now)
	var l []WorkerInfo
	for i := range 490 {
		l = append(l, testWorker(i))
	}
	p.SetWorkers(l, now)
	for _, info := range l {
		p.HandleReport(Report{Worker: info.ID, Incarnation: testIncarnation, RequestedAt: now}, now)
	}
	for n := range 20 {
		p.AddJob(testJob(testID(n), now, jobs.Step{
			Tasks: 20, Size: jobs.Resources{MilliCPU: 33000, MemoryMB: 1000}, Estimate: time.Second, Gang: true, RackSensitive: true,
		}), now)
	}
	b.ResetTimer()
	for range b.N {
		p.Plan(now)
		p.TakeChanges()
	}
}
