package settings

import (
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

// Plan returns the limits of all listeners on a machine, with those that are set in place of the defaults.
func (l *Limits) Plan(m limits.Machine) limits.Plan {
	p := limits.NewPlan(m)
	setPositive(&p.Callers.Connections, l.MaxCallerConnections)
	setPositive(&p.Callers.Bytes, l.RequestMemoryMB<<20)
	for _, x := range []*limits.Limits{&p.Callers, &p.Operators} {
		setPositive(&x.HeadBytes, l.MaxHeadBytes)
		setPositive(&x.HeadTimeout, l.HeadTimeout)
		setPositive(&x.IdleTimeout, l.IdleTimeout)
		setPositive(&x.StallTimeout, l.BodyStallTimeout)
		setPositive(&x.MinBytesPerSecond, l.MinBodyRate)
		setPositive(&x.AnswerTimeout, l.AnswerTimeout)
	}
	return p
}

// Plan returns the limits of all listeners of the instance on its machine.
func (s *Serve) Plan() limits.Plan {
	p := s.Limits.Plan(limits.Machine{MemoryBytes: s.MemoryMB << 20, Descriptors: s.MaxDescriptors})
	// Bodies are passed on as they arrive, and may be of any size.
	p.Callers.BodyTimeout = 0
	setPositive(&p.KeyBytes, s.KeyMemoryMB<<20)
	return p
}

// Plan returns the limits of all listeners of the instance on a machine.
func (s *Jobs) Plan(m limits.Machine) limits.Plan {
	p := s.Limits.Plan(m)
	setPositive(&p.Callers.BodyTimeout, s.BodyTimeout)
	setPositive(&p.JobBytes, s.JobMemoryMB<<20)
	return p
}

// setPositive sets a limit unless the value is 0, which stands for the default.
func setPositive[T int | time.Duration](limit *T, v T) {
	if v > 0 {
		*limit = v
	}
}
