package quota

import "currantknot.dev/currantknot/internal/account"

// Weights holds the weights of the accounts of a configuration.
type Weights struct {
	byName map[string]float64
	// smallest is the smallest positive weight.
	smallest float64
}

// NewWeights returns the weights of the accounts. If accounts have the same name, the smallest of their weights holds.
func NewWeights(a []account.Account) Weights {
	w := Weights{byName: make(map[string]float64, len(a)), smallest: 1}
	first := true
	for i := range a {
		if x := a[i].Weight; x > 0 && (first || x < w.smallest) {
			w.smallest, first = x, false
		}
	}
	for i := range a {
		n, x := a[i].Name, a[i].Weight
		if x <= 0 {
			x = w.smallest
		}
		if o, ok := w.byName[n]; !ok || x < o {
			w.byName[n] = x
		}
	}
	return w
}

// Of returns the weight of an account; an account that is not configured, or whose weight is not positive, has the smallest.
func (w *Weights) Of(account string) float64 {
	if x, ok := w.byName[account]; ok {
		return x
	}
	return w.smallest
}

// IsEmpty reports whether no account is configured, so that there is nothing to share and no rate.
func (w *Weights) IsEmpty() bool { return len(w.byName) == 0 }
