package jobserve

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

const (
	// advisorTimeout bounds a call to the placement advisor, which handles one call at a time.
	advisorTimeout = 3 * time.Second
	// maintenanceTimeout bounds a call to the maintenance service.
	maintenanceTimeout = 2 * time.Second
	// instanceListInterval is the time between two reads of the list of the platform's instances (machines) while a
	// maintenance wave, an operator's request to maintain some of them, is not completed.
	instanceListInterval = 700 * time.Millisecond
)

// requestPermits requests permits from the placement advisor, which decides which candidate workers may run a step.
func (o *Owner) requestPermits(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, advisorTimeout)
	defer cancel()
	l, until, err := o.Advisor.Advise(c, dispatch.StepRef{Job: x.Job, Occurrence: x.Occurrence, Step: x.Step}, x.Candidates)
	if err != nil && ctx.Err() == nil {
		o.Logger.Warn().Err(err).Str("Task", x.String()).Str("Decision", "AdviceFailed").Msg("call to the placement advisor failed")
	}
	o.mu.Lock()
	o.planner.HandleAdvice(x, l, until, err == nil, time.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// orderMaintenance orders the maintenance of one of the platform's instances.
func (o *Owner) orderMaintenance(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	r, err := o.Maintenance.Maintain(c, x.Instance, x.Wave, o.epoch)
	if err != nil && ctx.Err() == nil {
		o.Logger.Warn().Err(err).Str("WorkerInstance", x.Instance).Int("Wave", x.Wave).Str("Decision", "MaintainFailed").Msg("maintenance order failed")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.HandleMaintenanceResult(x, r, time.Now())
}

// reportWave publishes the state of a maintenance wave to operators.
func (o *Owner) reportWave(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	r := dispatch.ResultAccepted
	if err := o.Maintenance.Report(c, x.Wave, x.State); err != nil {
		r = dispatch.ResultUnknown
		o.Logger.Warn().Err(err).Int("Wave", x.Wave).Str("State", x.State).Msg("publication of the state of the maintenance wave failed")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.HandleWaveReportResult(x, r)
}

// pollInstances reads the list of the platform's instances at intervals while a maintenance wave is not completed.
func (o *Owner) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, instanceListInterval)
		o.mu.Lock()
		open := o.planner.HasUnfinishedWave()
		o.mu.Unlock()
		if !open {
			continue
		}
		requestedAt := time.Now()
		c, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		l, err := o.Maintenance.List(c)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				o.Logger.Warn().Err(err).Msg("instance list was not read")
			}
			continue
		}
		o.mu.Lock()
		o.planner.SetInstances(l, requestedAt)
		o.mu.Unlock()
		o.requestPlan()
	}
}
