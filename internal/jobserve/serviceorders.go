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
	// instanceListInterval is the time between two reads of the instance list while a maintenance wave is open.
	instanceListInterval = 700 * time.Millisecond
)

// requestPermits asks the placement advisor which of the candidate workers may run a step.
func (o *Owner) requestPermits(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, advisorTimeout)
	defer cancel()
	l, until, err := o.Advisor.Advise(c, dispatch.StepRef{Job: x.Job, Occurrence: x.Occurrence, Step: x.Step}, x.Candidates)
	if err != nil && ctx.Err() == nil {
		o.Logger.Warn().Err(err).Str("Task", x.String()).Str("Decision", "AdviceFailed").Msg("placement advisor did not respond")
	}
	o.mu.Lock()
	o.planner.HandleAdvice(x, l, until, err == nil, time.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// orderMaintenance orders the maintenance of an instance.
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
		o.Logger.Warn().Err(err).Int("Wave", x.Wave).Str("State", x.State).Msg("state of the maintenance wave was not stored")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.HandleWaveReportResult(x, r)
}

// pollInstances reads the instance list while a maintenance wave is open.
func (o *Owner) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, instanceListInterval)
		o.mu.Lock()
		open := o.planner.HasMaintenance()
		o.mu.Unlock()
		if !open {
			continue
		}
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
		o.planner.SetInstances(l, time.Now())
		o.mu.Unlock()
		o.requestPlan()
	}
}
