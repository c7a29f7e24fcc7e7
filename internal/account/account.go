package account

import "currantknot.dev/currantknot/internal/jobs"

// Account is a client account as operators configure it.
type Account struct {
	Name string
	// Keys are the secrets with which callers act for the account.
	Keys []string
	// Weight is the account's share of full workers relative to other accounts, and the number of jobs that it may submit in a
	// second. A negative weight, which Check reports, counts as the smallest weight.
	Weight float64
	// Cap bounds what the tasks of the account may use at a time on all workers; a resource of which it is 0 is not bounded. A
	// cap with a negative resource, which Check reports, is one under which nothing starts.
	Cap jobs.Resources
}

// HasValidCap reports whether no resource of the cap is negative.
func (a *Account) HasValidCap() bool {
	return a.Cap.MilliCPU >= 0 && a.Cap.MemoryMB >= 0 && a.Cap.Accelerators >= 0
}

// Caller is the account on whose behalf a call is made.
type Caller struct {
	// Account is the name of the account, empty for a caller without one.
	Account string
	// Unchecked means that the configuration has no accounts, so that every caller may read and cancel every job.
	Unchecked bool
	// Cap is the cap of the account.
	Cap jobs.Resources
}

// MayAccess reports whether the caller may read and cancel the jobs of an account.
func (c *Caller) MayAccess(account string) bool { return c.Unchecked || c.Account == account }
