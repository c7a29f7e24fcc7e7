package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/quota"
)

// accounts holds what the planner knows of client accounts.
//
// The full size of each attempt that a worker may run counts, from its plan until it is known not to run, and so do orphans of
// known jobs. Workers report both as they change.
type accounts struct {
	// configured holds the accounts of the newest configuration.
	configured []account.Account
	// hasJobs means that a job belongs to an account.
	hasJobs bool
	ledger  *quota.Ledger
	rates   *quota.Rates
	shares  *quota.Shares
	// cappedSince holds, by job ID, when a step of the job was first passed over since its account was at its cap. A start of a
	// task of the job ends it.
	cappedSince map[string]time.Time
	// underSince holds since when accounts use less than half of their shares and have waiting work.
	underSince map[poolAccount]time.Time
	// waiting holds the number of tasks of each account that the latest plan left waiting, and capped the accounts of which it passed
	// over a step since they were at their caps.
	waiting map[string]int
	capped  map[string]bool
}

// poolAccount is an account in a pool.
type poolAccount struct{ pool, account string }

func poolAccountOf(j *jobs.Job) poolAccount { return poolAccount{j.Queue.Pool, j.Account} }

func newAccounts() *accounts {
	return &accounts{ledger: quota.NewLedger(), rates: quota.NewRates(), shares: quota.NewShares(), cappedSince: make(map[string]time.Time), waiting: make(map[string]int), capped: make(map[string]bool)}
}

// SetAccounts sets the accounts of the newest configuration, which the planner keeps and the caller must not change. It costs
// nothing if they are those of the previous call.
func (p *Planner) SetAccounts(l []account.Account) {
	a := p.accounts
	if a.ledger.IsKnown() && isSameList(a.configured, l) {
		return
	}
	a.configured = l
	a.ledger.SetCaps(l)
	w := quota.NewWeights(l)
	a.rates.SetWeights(w)
	a.shares.SetWeights(w)
	p.Logger.Info().Int("Accounts", len(l)).Str("Decision", "AccountsSet").Msg("caps and weights of a new configuration are in force")
}

// isSameList reports whether both slices are the same part of the same array.
func isSameList(a, b []account.Account) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// inUse reports whether the configuration has accounts or a job belongs to one.
func (a *accounts) inUse() bool { return a.hasJobs || len(a.configured) > 0 }

// addJob records that the planner holds a job.
func (a *accounts) addJob(j *jobs.Job) {
	a.hasJobs = a.hasJobs || j.Account != ""
	a.rates.Add(j.Account, j.ID, j.SubmittedAt)
}

// finishJob drops the waits of a finished job, which still counts against the rate of its account.
func (a *accounts) finishJob(j *jobs.Job) { delete(a.cappedSince, j.ID) }

// removeJob drops a job whose record is removed.
func (a *accounts) removeJob(id string) { a.rates.Remove(id) }

// add adds an attempt or an orphan of a job.
func (a *accounts) add(j *jobs.Job, s *jobs.Step) {
	a.ledger.Add(j.Account, s.Size)
	a.shares.Add(j.Queue.Pool, j.Account, s.Size)
}

// remove removes an attempt or an orphan that was added.
func (a *accounts) remove(j *jobs.Job, s *jobs.Step) {
	a.ledger.Remove(j.Account, s.Size)
	a.shares.Remove(j.Queue.Pool, j.Account, s.Size)
}

// level returns how much the account of a job uses of its share of the pool.
func (a *accounts) level(j *jobs.Job) quota.Level { return a.shares.Level(j.Queue.Pool, j.Account) }

// isOverShare reports whether the account of a job uses more than its share of the pool.
func (a *accounts) isOverShare(j *jobs.Job) bool {
	return j.Account != "" && a.shares.IsOver(j.Queue.Pool, j.Account)
}

// fits reports whether the account of a step's job may start another task of the step, or the whole step if it is a gang.
func (a *accounts) fits(c *candidateStep) bool {
	if c.job.Account == "" {
		return true
	}
	size := c.step.Size
	if c.step.Gang {
		size = times(size, c.step.Tasks)
	}
	return a.ledger.Fits(c.job.Account, size)
}

// fitsTask reports whether the account of a job may start another task of the step.
func (a *accounts) fitsTask(j *jobs.Job, s *jobs.Step) bool { return a.ledger.Fits(j.Account, s.Size) }

// isOverCap reports whether the account of a job uses more than its cap, so that none of its tasks could start again once stopped.
func (a *accounts) isOverCap(j *jobs.Job) bool { return !a.ledger.Fits(j.Account, jobs.Resources{}) }

// times returns n times the resources.
func times(r jobs.Resources, n int) jobs.Resources {
	return jobs.Resources{MilliCPU: n * r.MilliCPU, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// beginShares begins a plan with the given candidates. The capacity of a pool is that of the workers that are there to stay, also
// while they do not respond for a moment, but not before they are confirmed.
func (p *Planner) beginShares(l []candidateStep, now time.Time) {
	if !p.accounts.inUse() {
		return
	}
	clear(p.accounts.capped)
	m := make(map[string]jobs.Resources)
	for _, w := range p.workerList {
		if w.isConfirmed() && p.departureExclusion(w) == notExcluded {
			m[w.Pool] = m[w.Pool].Plus(w.Capacity)
		}
	}
	p.accounts.shares.Begin(m)
	for i := range l {
		p.accounts.shares.Wait(l[i].job.Queue.Pool, l[i].job.Account, times(l[i].step.Size, len(l[i].tasks)))
	}
	p.accounts.updateUnder(l, now)
}

// updateUnder records since when accounts use less than half of their shares and have waiting work.
func (a *accounts) updateUnder(l []candidateStep, now time.Time) {
	m := make(map[poolAccount]time.Time, len(a.underSince))
	for i := range l {
		k := poolAccountOf(l[i].job)
		if _, ok := m[k]; ok || a.level(l[i].job) != quota.Under {
			continue
		}
		m[k] = now
		if t, ok := a.underSince[k]; ok {
			m[k] = t
		}
	}
	a.underSince = m
}

// starvedAfter is how long an account with waiting work uses less than half of its share before it goes first.
const starvedAfter = 3 * time.Second

// isStarved reports whether the account of a job goes first, since it has used less than half of its share for long.
func (a *accounts) isStarved(j *jobs.Job, now time.Time) bool {
	return a.level(j) == quota.Under && now.Sub(a.underFrom(j)) >= starvedAfter
}

// underFrom returns since when the account of a job uses less than half of its share and has waiting work.
func (a *accounts) underFrom(j *jobs.Job) time.Time { return a.underSince[poolAccountOf(j)] }

// withinCaps returns the steps whose accounts may start another task of theirs.
func (p *Planner) withinCaps(l []candidateStep) []candidateStep {
	if !p.accounts.inUse() {
		return l
	}
	r := make([]candidateStep, 0, len(l))
	for _, c := range l {
		if p.accounts.fits(&c) {
			r = append(r, c)
		}
	}
	return r
}

// passOverAtCap reports whether a step may not start another task because of its account's cap, and records its wait if so. The
// time does not count as a wait for a worker, after which tasks get workers that are not meant for them.
func (p *Planner) passOverAtCap(c *candidateStep, now time.Time) bool {
	if p.accounts.fits(c) {
		return false
	}
	p.accounts.capped[c.job.Account] = true
	if p.waits.skips {
		p.logCapWait(c, now)
	}
	return true
}

// logCapWait logs that a job waits since its account is at its cap, at most once per skippedWaitLogInterval and job.
func (p *Planner) logCapWait(c *candidateStep, now time.Time) {
	a, id := p.accounts, c.job.ID
	since, ok := a.cappedSince[id]
	if !ok {
		a.cappedSince[id] = now
		return
	}
	if now.Sub(since) < waitLogInterval || now.Sub(p.waits.loggedAt[id]) < skippedWaitLogInterval {
		return
	}
	p.waits.loggedAt[id] = now
	t := c.tasks[0]
	e := p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Dur("Waited", now.Sub(since)).Dur("Slack", c.slack).Float64("Left", c.remainingFraction).Int("OpenWorkers", len(p.schedulable)).
		Int("NeedsMilliCPU", c.step.Size.MilliCPU).Int("NeedsMemoryMB", c.step.Size.MemoryMB).Int("Members", gangSize(c.step)).Int(excludedCap.String(), len(p.workerList))
	p.logUse(e, c.job.Account).Bool("BeyondRate", c.beyondRate).Bool("OverShare", p.accounts.isOverShare(c.job)).Str("Decision", "Wait").Msg("task waits since its account is at its cap")
}

// gangSize returns the number of tasks of a step that start together.
func gangSize(s *jobs.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 1
}

// logUse adds an account with its use and its cap to a log line.
func (p *Planner) logUse(e *zerolog.Event, account string) *zerolog.Event {
	u, c := p.accounts.ledger.Used(account), p.accounts.ledger.Cap(account)
	return e.Str("Account", account).Bool("CapsKnown", p.accounts.ledger.IsKnown()).Float64("DominantShare", p.accounts.shares.Dominant(account)).
		Int("UsedMilliCPU", u.MilliCPU).Int("UsedMemoryMB", u.MemoryMB).Int("UsedAccelerators", u.Accelerators).
		Int("CapMilliCPU", c.MilliCPU).Int("CapMemoryMB", c.MemoryMB).Int("CapAccelerators", c.Accelerators)
}
