package jobserve

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

const (
	// adviseTimeout bounds a call to the adviser, which answers one call after the other.
	adviseTimeout = 3 * time.Second
	// maintainTimeout bounds a call to the service for instances.
	maintainTimeout = 2 * time.Second
	// instancesEvery is the time between two reads of the list of instances while a wave is open.
	instancesEvery = 700 * time.Millisecond
)

// advise asks which workers may run a step.
func (o *Owner) advise(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, adviseTimeout)
	defer cancel()
	l, until, err := o.Adviser.Advise(c, dispatch.StepRef{Job: x.Job, Occurrence: x.Occurrence, Step: x.Step}, x.Candidates)
	if err != nil && ctx.Err() == nil {
		o.Logger.Warn().Err(err).Str("Task", x.String()).Str("Decision", "AdviceFailed").Msg("adviser did not answer")
	}
	o.mu.Lock()
	o.planner.HandleAdvice(x, l, until, err == nil, time.Now())
	o.mu.Unlock()
	o.notify()
}

// maintain orders the maintenance of an instance.
func (o *Owner) maintain(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, maintainTimeout)
	defer cancel()
	a, err := o.Maintenance.Maintain(c, x.Instance, x.Wave, o.epoch)
	if err != nil && ctx.Err() == nil {
		o.Logger.Warn().Err(err).Str("WorkerInstance", x.Instance).Int("Wave", x.Wave).Str("Decision", "MaintainFailed").Msg("maintenance was not ordered")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.HandleMaintenanceResult(x, a, time.Now())
}

// reportWave tells operators the state of a wave.
func (o *Owner) reportWave(ctx context.Context, x dispatch.Order) {
	c, cancel := context.WithTimeout(ctx, maintainTimeout)
	defer cancel()
	a := dispatch.ResultAccepted
	if err := o.Maintenance.Report(c, x.Wave, x.State); err != nil {
		a = dispatch.ResultUnknown
		o.Logger.Warn().Err(err).Int("Wave", x.Wave).Str("State", x.State).Msg("state of a wave was not written")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.HandleWaveReportResult(x, a)
}

// followInstances reads the list of instances while a wave is open.
func (o *Owner) followInstances(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, instancesEvery)
		o.mu.Lock()
		open := o.planner.HasMaintenance()
		o.mu.Unlock()
		if !open {
			continue
		}
		c, cancel := context.WithTimeout(ctx, maintainTimeout)
		l, err := o.Maintenance.List(c)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				o.Logger.Warn().Err(err).Msg("instances are not listed")
			}
			continue
		}
		o.mu.Lock()
		o.planner.SetInstances(l, time.Now())
		o.mu.Unlock()
		o.notify()
	}
}
