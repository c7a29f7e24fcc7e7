package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// state describes all of a planner that answers might change.
func (p *Planner) state(t *testing.T) string {
	t.Helper()
	s := fmt.Sprint(p.interference.sensitivities, len(p.interference.loads), p.advice, p.waits, p.overdue, len(p.racks.waits), len(p.racks.forecasts), p.racks.factorLogged,
		p.counts, p.orders, p.dirty, p.jobs, p.active, p.aside, p.unplaceable, p.reserve, p.reservations, p.progressRates, p.runTimes, len(p.schedulable), p.waiting)
	for _, m := range p.interference.sensitivities {
		s += fmt.Sprint(len(m.pairs))
	}
	for _, w := range p.workerList {
		s += fmt.Sprint(w.ID, w.free(), w.isolated, len(w.attempts))
	}
	waits := make(map[string]rackWait)
	for r, x := range p.racks.waits {
		waits[r.String()] = *x
	}
	return s + fmt.Sprint(waits)
}

// whereCases are jobs for which the planner looks at all kinds of things.
func whereCases() map[string]jobs.Spec {
	permit := testQueue()
	permit.NeedsPermit = true
	bestEffort := jobs.Step{Tasks: 2, Size: jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, Estimate: time.Second, BestEffort: true, Image: "new"}
	service := jobs.Step{Tasks: 2, Size: jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, LongRunning: true, TailBound: testTailBound, Image: "other"}
	return map[string]jobs.Spec{
		"plain":       {Queue: testQueue(), Steps: []jobs.Step{plainStep(3)}},
		"permit":      {Queue: permit, Steps: []jobs.Step{plainStep(3)}},
		"best effort": {Queue: testQueue(), Steps: []jobs.Step{bestEffort}},
		"service":     {Queue: testQueue(), Steps: []jobs.Step{service}},
		"rack":        {Queue: testQueue(), Steps: []jobs.Step{dataStep(2, 2*time.Second)}},
		"gang":        {Queue: testQueue(), Steps: []jobs.Step{rackGang(6, time.Second)}},
		"two steps":   {Queue: testQueue(), Steps: []jobs.Step{plainStep(1), {Tasks: 1, Size: jobs.Resources{MilliCPU: 1}, After: []int{0}}}},
	}
}

// newWhereReplay returns a replay with services, a full rack and a task that waits for it.
func newWhereReplay(t *testing.T) *rackReplay {
	t.Helper()
	r := newRackReplay(t, 16, testOffRack)
	r.fill(600 * time.Millisecond)
	r.p.AddJob(testJob(testID(5), r.now, jobs.Step{
		Tasks: 6, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 1000}, LongRunning: true, TailBound: testTailBound, Image: "service", Label: "rack-1",
	}), r.now)
	r.add(2, dataStep(4, 2*time.Second))
	r.step()
	require.NotEmpty(t, r.p.racks.waits)
	return r
}

// An operator's question must have no effect: no estimates, waits, requests for advice, counts or log lines.
func TestWhereChangesNothing(t *testing.T) {
	for name, s := range whereCases() {
		t.Run(name, func(t *testing.T) {
			r := newWhereReplay(t)
			r.log.Reset()
			r.advance(10 * time.Millisecond)
			before := r.p.state(t)
			b, err := r.p.PrepareSnapshot(r.now)
			require.NoError(t, err)
			s.ID, s.SubmittedAt = testID(99), r.now
			require.NotEmpty(t, r.p.Where(s, r.now).Steps)
			_, ok := r.p.WhereJob(testID(2), r.now)
			require.True(t, ok)
			require.Equal(t, before, r.p.state(t))
			c, err := r.p.PrepareSnapshot(r.now)
			require.NoError(t, err)
			require.Equal(t, len(b), len(c))
			require.Empty(t, r.log.String())
		})
	}
}

// The answer is that of the next plan: its first worker gets the first task, and without takers nothing starts.
func TestWhereTellsWhatTheNextPlanDoes(t *testing.T) {
	for name, s := range whereCases() {
		t.Run(name, func(t *testing.T) {
			r := newWhereReplay(t)
			s.ID, s.SubmittedAt = testID(99), r.now
			a := r.p.Where(s, r.now)
			x := a.Steps[0]
			require.True(t, x.Ready)
			j := jobs.New(s)
			r.p.AddJob(j, r.now)
			r.p.Plan(r.now)
			first := j.Tasks[0][0][0]
			switch {
			case x.Gang != nil:
				for i, k := range j.Tasks[0][0] {
					require.Equal(t, x.Gang[i], k.Worker)
				}
			case x.Takers == 0, x.Rack != nil && x.Rack.Waits:
				require.Equal(t, jobs.TaskWaiting, first.State)
			default:
				require.Equal(t, x.Workers[0].Worker, first.Worker)
			}
			n := 0
			for _, k := range x.Excluded {
				n += k
			}
			require.Equal(t, 16, x.Takers+n)
			require.Len(t, x.Workers, 16)
		})
	}
}

func TestWhereTellsAboutTheRack(t *testing.T) {
	r := newWhereReplay(t)
	s := jobs.Spec{ID: testID(99), Queue: testQueue(), Steps: []jobs.Step{dataStep(2, 2*time.Second)}, SubmittedAt: r.now}
	s.Queue.TargetLatency = 10 * time.Second
	x := r.p.Where(s, r.now).Steps[0]
	require.NotNil(t, x.Rack)
	require.True(t, x.Rack.Waits)
	require.True(t, x.Rack.Deadline.After(r.now))
	require.Equal(t, 4, x.Rack.Workers)
	require.Equal(t, map[string]int{"NoCapacity": 5}, x.Excluded, "a worker in rack-1 is full of services")
	require.Equal(t, 11, x.Takers)
	s.Steps[0].DataRack = "rack-99"
	x = r.p.Where(s, r.now).Steps[0]
	require.Equal(t, &RackPlacement{Rack: "rack-99", EndElsewhere: r.now.Add(4 * time.Second)}, x.Rack)
	r.p.OffRackFactor = locality.Factor(0)
	s.Steps[0].DataRack = "rack-0"
	require.False(t, r.p.Where(s, r.now).Steps[0].Rack.Waits)
}

func TestWhereTellsForWhichRackAGangWaits(t *testing.T) {
	r := newRackReplay(t, 8, testOffRack)
	r.fillRack(1, "rack-0", 12, 600*time.Millisecond)
	r.fillRack(2, "rack-1", 12, time.Minute)
	r.step()
	s := jobs.Spec{ID: testID(99), Queue: testQueue(), Steps: []jobs.Step{rackGang(8, 2*time.Second)}, SubmittedAt: r.now}
	s.Queue.TargetLatency = 10 * time.Second
	x := r.p.Where(s, r.now).Steps[0]
	require.Len(t, x.Gang, 8)
	require.Equal(t, "a", x.GangLabel)
	require.Equal(t, "rack-0", x.Rack.Rack)
	require.True(t, x.Rack.Waits)
}

func TestWhereOfManyOccurrencesIsBounded(t *testing.T) {
	r := newWhereReplay(t)
	s := jobs.Spec{ID: testID(99), Queue: testQueue(), Steps: []jobs.Step{plainStep(1)}, Times: 1000, Period: time.Second, StartAt: r.now, SubmittedAt: r.now}
	a := r.p.Where(s, r.now)
	require.Len(t, a.Steps, maxWhereSteps)
	require.True(t, a.Truncated)
	require.True(t, a.Steps[0].Ready)
	require.False(t, a.Steps[1].Ready)
}

func TestWhereOfAJobThatTheOwnerDoesNotHold(t *testing.T) {
	r := newWhereReplay(t)
	_, ok := r.p.WhereJob(testID(98), r.now)
	require.False(t, ok)
	r.p.Cancel(testID(2), r.now)
	a, ok := r.p.WhereJob(testID(2), r.now)
	require.True(t, ok)
	require.Equal(t, JobPlacement{State: jobs.StateCancelled}, a)
}
