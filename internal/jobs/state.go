package jobs

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	StatePending   State = "Pending"
	StateRunning   State = "Running"
	StateCompleted State = "Completed"
	StateFailed    State = "Failed"
	StateCancelled State = "Cancelled"
)

// order is how far a state is from the first; a job never goes back, and its completion outlasts a late cancellation.
func (s State) order() int {
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

// Later returns the one of two states of the same job that was reached later.
func (s State) Later(o State) State {
	if o.order() > s.order() {
		return o
	}
	return s
}

// IsTerminal tells whether a job in this state stays in it.
func (s State) IsTerminal() bool { return s.order() > StateRunning.order() }
