package account

import "currantknot.dev/currantknot/internal/jobs"

// Account is a client account as operators configure it.
type Account struct {
	Name string
	// Keys are the secrets with which callers act for the account.
	Keys []string
	// Weight is the account's share of full workers relative to other accounts, and the number of jobs that it may submit in a
	// second.
	Weight float64
	// Cap bounds what the tasks of the account may use at a time on all workers; a resource of which it is 0 is not bounded.
	Cap jobs.Resources
}
