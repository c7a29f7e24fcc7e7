package placement

import "time"

// The prior of a worker's failure rate: each worker starts with one failure in four attempts.
const (
	priorFailures = 1.0
	priorAttempts = 4.0
)

// quarantineRate is the failure rate above which a worker is quarantined: it then gets only one task per probeInterval,
// the probe task.
const quarantineRate = 0.6

// maxHealthAttempts bounds the number of attempts that a failure rate is based on. Once there are more,
// older attempts lose weight.
const maxHealthAttempts = 40.0

// probeInterval is the minimum time between two probe tasks on a quarantined worker.
const probeInterval = 20 * time.Second

// health estimates the fraction of a worker's attempts that fail.
type health struct {
	// failures and attempts are weighted numbers that include the prior.
	failures float64
	attempts float64
	// nextProbeAt is the earliest time of the next probe task.
	nextProbeAt time.Time
}

func newHealth() health {
	return health{failures: priorFailures, attempts: priorAttempts}
}

func (h *health) onFinished() { h.add(0, 1) }

// onFailed counts a failed attempt of a task that had failed the given number of times before. The more often the task
// failed before, the less the failure says about the worker.
func (h *health) onFailed(failures int) {
	h.add(1/float64(1+failures), 1)
}

func (h *health) add(failures, attempts float64) {
	h.failures += failures
	h.attempts += attempts
	if h.attempts > maxHealthAttempts {
		h.failures *= maxHealthAttempts / h.attempts
		h.attempts = maxHealthAttempts
	}
}

func (h *health) failureRate() float64 { return h.failures / h.attempts }

func (h *health) isQuarantined() bool { return h.failureRate() > quarantineRate }

// isProbeDue reports whether a quarantined worker may get its next probe task.
func (h *health) isProbeDue(now time.Time) bool { return !now.Before(h.nextProbeAt) }
