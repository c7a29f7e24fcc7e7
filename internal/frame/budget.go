package frame

import (
	"io"
	"net"
)

// messageCopies is how often the bytes of a message are in memory: encoded and decoded.
const messageCopies = 2

// Budget bounds the memory of the messages that are read from connections; a connection that implements it has one.
type Budget interface {
	// Take reserves n bytes, or returns an error if there is no room for them.
	Take(n int) error
	// Give returns n bytes.
	Give(n int)
}

// budgetOf returns the budget of a connection, or of that under TLS; nil if it has none.
func budgetOf(r io.Reader) Budget {
	if t, ok := r.(interface{ NetConn() net.Conn }); ok {
		r = t.NetConn()
	}
	b, _ := r.(Budget)
	return b
}

// allowance is what one message has taken of a budget, which may be nil.
type allowance struct {
	budget Budget
	taken  int
}

// raise takes as much as is missing to n bytes.
func (a *allowance) raise(n int) error {
	if a.budget == nil || n <= a.taken {
		return nil
	}
	if err := a.budget.Take(n - a.taken); err != nil {
		return err
	}
	a.taken = n
	return nil
}

// giveAll returns what was taken.
func (a *allowance) giveAll() {
	if a.budget != nil {
		a.budget.Give(a.taken)
	}
}
