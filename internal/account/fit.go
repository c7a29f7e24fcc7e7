package account

import (
	"fmt"

	"currantknot.dev/currantknot/internal/jobs"
)

// CheckFit returns a *jobs.SpecError with the steps of a job of which a task, or the gang, never fits a cap, nil if all fit.
//
// An invalid cap is a mistake that operators will correct, so that the job waits
// for it instead of being rejected for good.
func CheckFit(capacity jobs.Resources, s *jobs.Spec) error {
	if a := (Account{Cap: capacity}); !a.HasValidCap() {
		return nil
	}
	var e jobs.SpecError
	for i := range s.Steps {
		if f := fitFault(capacity, &s.Steps[i]); f != "" {
			e.Add(fmt.Sprintf("Steps[%d]", i), "%s", f)
		}
	}
	if len(e.Findings) > 0 {
		return &e
	}
	return nil
}

// fitFault returns why a step never fits a cap, empty if it does.
func fitFault(capacity jobs.Resources, s *jobs.Step) string {
	what, n := "a task", 1
	if s.Gang {
		what, n = "the gang", max(s.Tasks, 1)
	}
	for _, x := range []struct {
		name      string
		size, cap int
	}{
		{"CPU", s.Size.MilliCPU, capacity.MilliCPU},
		{"memory", s.Size.MemoryMB, capacity.MemoryMB},
		{"accelerators", s.Size.Accelerators, capacity.Accelerators},
	} {
		// The quotient is compared, since the product could overflow.
		if x.cap > 0 && x.size > x.cap/n {
			return fmt.Sprintf("%s needs more %s than the cap of the account, %d", what, x.name, x.cap)
		}
	}
	return ""
}
