package quota

import (
	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// Ledger holds what the attempts of each account use, and the caps of the accounts.
//
// Until SetCaps is called for the first time the caps are not known, and no task of an account fits. A job without an account
// always fits.
type Ledger struct {
	used map[string]jobs.Resources
	caps map[string]jobs.Resources
	// known means that SetCaps was called.
	known bool
}

// NewLedger returns a ledger without attempts whose caps are not known.
func NewLedger() *Ledger {
	return &Ledger{used: make(map[string]jobs.Resources)}
}

// startsNothing is the cap of an account of which a part is negative, which operators must have written by mistake.
var startsNothing = jobs.Resources{MilliCPU: -1, MemoryMB: -1, Accelerators: -1}

// SetCaps replaces the caps by those of the accounts. An account that is not among them has no cap. If accounts have the same
// name, the smallest of their caps holds for each resource.
func (l *Ledger) SetCaps(a []account.Account) {
	l.known = true
	l.caps = make(map[string]jobs.Resources, len(a))
	for i := range a {
		n, c := a[i].Name, checkedCap(a[i].Cap)
		if o, ok := l.caps[n]; ok {
			c = jobs.Resources{
				MilliCPU: smallerCap(o.MilliCPU, c.MilliCPU), MemoryMB: smallerCap(o.MemoryMB, c.MemoryMB), Accelerators: smallerCap(o.Accelerators, c.Accelerators),
			}
		}
		l.caps[n] = c
	}
}

// checkedCap returns the cap, or startsNothing if a part of it is negative.
func checkedCap(c jobs.Resources) jobs.Resources {
	if min(c.MilliCPU, c.MemoryMB, c.Accelerators) < 0 {
		return startsNothing
	}
	return c
}

// smallerCap returns the smaller of two caps of a resource, of which 0 is no limit.
func smallerCap(a, b int) int {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// IsKnown reports whether the caps are known.
func (l *Ledger) IsKnown() bool { return l.known }

// Add adds an attempt of an account.
func (l *Ledger) Add(account string, r jobs.Resources) {
	if account != "" {
		l.used[account] = l.used[account].Plus(r)
	}
}

// Remove removes an attempt that was added.
func (l *Ledger) Remove(account string, r jobs.Resources) {
	if account == "" {
		return
	}
	u := l.used[account].Minus(r)
	if u == (jobs.Resources{}) {
		delete(l.used, account)
		return
	}
	l.used[account] = u
}

// Fits reports whether the account stays within its cap if it uses r in addition. Once an account uses more than its cap, also
// of a resource of which r has nothing, nothing fits.
func (l *Ledger) Fits(account string, r jobs.Resources) bool {
	if account == "" {
		return true
	}
	if !l.known {
		return false
	}
	c, ok := l.caps[account]
	if !ok || c == (jobs.Resources{}) {
		return true
	}
	u := l.used[account].Plus(r)
	return isWithin(u.MilliCPU, c.MilliCPU) && isWithin(u.MemoryMB, c.MemoryMB) && isWithin(u.Accelerators, c.Accelerators)
}

func isWithin(used, limit int) bool { return limit == 0 || used <= limit }

// ForEach calls f with each account that has attempts and what they use.
func (l *Ledger) ForEach(f func(account string, used jobs.Resources)) {
	for n, u := range l.used {
		f(n, u)
	}
}

// Used returns what the attempts of an account use.
func (l *Ledger) Used(account string) jobs.Resources { return l.used[account] }

// Cap returns the cap of an account; a resource of which it is 0 is not bounded, and a negative cap fits nothing.
func (l *Ledger) Cap(account string) jobs.Resources { return l.caps[account] }
