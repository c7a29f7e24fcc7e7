package jobserve

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// identitySeparator stands between the parts of an identity's text.
	identitySeparator = "|"
	// identityParts is the number of these parts.
	identityParts = 4
	// clearlyStronger is the factor in processors from which one instance counts as stronger than another.
	clearlyStronger = 1.5
)

// Identity is how the group names one process: its instance, the processors that it may use in cores, its start, and the
// address at which relays find it, which may be empty.
type Identity struct {
	Name       string
	Processors float64
	Start      string
	Address    string
}

// NewIdentity returns the identity of a process that starts now, which no earlier process of the instance had.
func NewIdentity(name string, processors float64, address string, now time.Time) Identity {
	return Identity{name, processors, strconv.FormatInt(now.UnixNano(), 36), address}
}

// String returns the text by which the store knows the process.
func (x Identity) String() string {
	return strings.Join([]string{x.Name, fmt.Sprintf("%.3f", x.Processors), x.Start, x.Address}, identitySeparator)
}

func parseIdentity(s string) Identity {
	p := strings.Split(s, identitySeparator)
	if len(p) != identityParts {
		return Identity{Name: s}
	}
	n, err := strconv.ParseFloat(p[1], 64)
	if err != nil {
		n = 0
	}
	return Identity{p[0], n, p[2], p[3]}
}

// isStronger tells whether x has clearly more processors than y.
func (x Identity) isStronger(y Identity) bool { return x.Processors > clearlyStronger*y.Processors }

// group is the members that hold parts.
type group []Identity

func newGroup(names []string) group {
	g := make(group, len(names))
	for i, n := range names {
		g[i] = parseIdentity(n)
	}
	return g
}

// addresses returns where relays find the members besides one.
func (g group) addresses(but Identity) []string {
	var l []string
	for _, m := range g {
		if m.Address != "" && m.Address != but.Address {
			l = append(l, m.Address)
		}
	}
	return l
}

// isNeeded tells whether too few members are as strong as an instance outside the group.
func (g group) isNeeded(x Identity) bool {
	n := 0
	for _, m := range g {
		if !x.isStronger(m) {
			n++
		}
	}
	return n < wantedMembers
}

// isSuperfluous tells whether enough members are stronger than a member or, unless it is the owner, come before it
// among equals. An owner yields to stronger members only, since each change of owner costs time.
func (g group) isSuperfluous(x Identity, owner bool) bool {
	stronger, before := 0, 0
	for _, m := range g {
		switch {
		case m == x:
		case m.isStronger(x):
			stronger++
			before++
		case !x.isStronger(m) && m.String() < x.String():
			before++
		}
	}
	return stronger >= wantedMembers || !owner && before >= wantedMembers
}
