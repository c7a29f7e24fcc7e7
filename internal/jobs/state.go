package jobs

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StatePending   State = "Pending"
	StateRunning   State = "Running"
	StateCompleted State = "Completed"
	StateFailed    State = "Failed"
	StateCancelled State = "Cancelled"
)

// rank orders the states: a later state of a job has a higher rank. Completed and failed rank above cancelled, so that a
// cancellation that came too late does not count.
func (s State) rank() int {
	switch s {
	case StatePending:
		return 0
	case StateRunning:
		return 1
	case StateCancelled:
		return 2
	case StateFailed:
		return 3
	case StateCompleted:
		return 4
	}
	return -1
}

// Later returns the later of two states of the same job.
func (s State) Later(o State) State {
	if o.rank() > s.rank() {
		return o
	}
	return s
}

// IsTerminal reports whether no task of a job in this state may start.
func (s State) IsTerminal() bool { return s.rank() > StateRunning.rank() }
