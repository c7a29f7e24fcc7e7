package placement

import "time"

// The prior of a worker's failure rate: it counts as one failure in four attempts.
const (
	priorFailures = 1.0
	priorAttempts = 4.0
)

// quarantineRate is the failure rate beyond which a worker gets no tasks but probes.
const quarantineRate = 0.6

// healthMemory bounds the attempts that a failure rate is based on.
const healthMemory = 40.0

// probeEvery is the time between two probes of a quarantined worker.
const probeEvery = 20 * time.Second

// health estimates the share of a worker's attempts that fail.
type health struct {
	failures float64
	attempts float64
	probeAt  time.Time
}

func newHealth() health {
	return health{failures: priorFailures, attempts: priorAttempts}
}

func (h *health) onFinished() { h.add(0, 1) }

// onFailed counts a failure; a task that has failed before says less about the worker.
func (h *health) onFailed(failures int) {
	h.add(1/float64(1+failures), 1)
}

func (h *health) add(failures, attempts float64) {
	h.failures += failures
	h.attempts += attempts
	if h.attempts > healthMemory {
		h.failures *= healthMemory / h.attempts
		h.attempts = healthMemory
	}
}

func (h *health) rate() float64 { return h.failures / h.attempts }

func (h *health) isQuarantined() bool { return h.rate() > quarantineRate }

// mayProbe reports whether a quarantined worker is due for one task.
func (h *health) mayProbe(now time.Time) bool { return !now.Before(h.probeAt) }
