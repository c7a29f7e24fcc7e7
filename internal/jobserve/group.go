package jobserve

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// startBase is the base of the encoded start time of a process, in nanoseconds since 1970.
	startBase = 36
	// identitySeparator separates the fields of an encoded identity.
	identitySeparator = "|"
	// identityFields is the number of fields of an encoded identity.
	identityFields = 4
	// minProcessorRatio is the ratio of processors above which one instance counts as having more CPU than another.
	minProcessorRatio = 1.5
)

// Identity identifies one process in the group: the name of its instance, the processors that it may use in cores, its start
// time, and the address at which relays reach it, which may be empty.
type Identity struct {
	Name       string
	Processors float64
	Start      string
	Address    string
}

// NewIdentity returns the identity of a process that starts now, distinct from those of earlier processes of the instance.
func NewIdentity(name string, processors float64, address string, now time.Time) Identity {
	return Identity{name, processors, strconv.FormatInt(now.UnixNano(), startBase), address}
}

// String returns the encoded identity, which is the member name of the process in the store.
func (x Identity) String() string {
	return strings.Join([]string{x.Name, fmt.Sprintf("%.3f", x.Processors), x.Start, x.Address}, identitySeparator)
}

// maxProcessors is the number of processors beyond which a member is not what it says.
const maxProcessors = 4096

// parseIdentity decodes a member name. A member name that is not an encoded identity becomes the instance's name in the result.
// Any program may join the group: a member has no processors, or no address, if what it says of them is out of range.
func parseIdentity(s string) Identity {
	p := strings.Split(s, identitySeparator)
	if len(p) != identityFields {
		return Identity{Name: s}
	}
	n, err := strconv.ParseFloat(p[1], 64)
	if err != nil || !(n >= 0 && n <= maxProcessors) {
		n = 0
	}
	x := Identity{p[0], n, p[2], p[3]}
	if !IsDialable(x.Address) {
		x.Address = ""
	}
	return x
}

// startedAt returns the start of the process by its instance's time of day, and whether it is known.
func (x Identity) startedAt() (time.Time, bool) {
	n, err := strconv.ParseInt(x.Start, startBase, 64)
	return time.Unix(0, n), err == nil && x.Start != ""
}

// isLaterProcessOf reports whether x is a process that started on the instance of y after y, so that y no longer runs.
func (x Identity) isLaterProcessOf(y Identity) bool { return x.Name == y.Name && x.Start > y.Start }

// hasMoreCPU reports whether x has more than minProcessorRatio times the processors of y.
func (x Identity) hasMoreCPU(y Identity) bool { return x.Processors > minProcessorRatio*y.Processors }

// group is the list of members to which the store has assigned partitions.
type group []Identity

func newGroup(names []string) group {
	g := make(group, len(names))
	for i, n := range names {
		g[i] = parseIdentity(n)
	}
	return g
}

// with returns the group with a further member, unless it is in the group already.
func (g group) with(x Identity) group {
	if slices.Contains(g, x) {
		return g
	}
	return append(slices.Clip(g), x)
}

// hasLaterProcess reports whether a process that started later on the instance of x is a member.
func (g group) hasLaterProcess(x Identity) bool {
	return slices.ContainsFunc(g, func(m Identity) bool { return m.isLaterProcessOf(x) })
}

// peerAddresses returns the addresses at which relays reach the members other than self.
func (g group) peerAddresses(self Identity) []string {
	var l []string
	for _, m := range g {
		if m.Address != "" && m.Address != self.Address {
			l = append(l, m.Address)
		}
	}
	return l
}

// appender returns the address of the member that appends for the other instances while the store is congested: the last by
// identity of those with the most CPU, since the first often owns the jobs. It is empty if that is self or there is none.
func (g group) appender(self Identity) string {
	var best Identity
	for _, m := range g {
		if best.Name == "" || m.hasMoreCPU(best) || !best.hasMoreCPU(m) && m.String() > best.String() {
			best = m
		}
	}
	if best == self {
		return ""
	}
	return best.Address
}

// needsMember reports whether the group should gain x: fewer than targetMembers members have about as much CPU as x or more. An
// earlier process of the same instance does not count, since it no longer runs.
func (g group) needsMember(x Identity) bool {
	n := 0
	for _, m := range g {
		if !x.hasMoreCPU(m) && !x.isLaterProcessOf(m) {
			n++
		}
	}
	return n < targetMembers
}

// isNextOwner reports whether x takes the jobs over first when the incumbent is gone. Among members of similar CPU that is the
// one that the store names. Otherwise it is the first by identity of those with the most CPU: the store names any member, also
// one that has too little CPU for the work of an owner and joined because others were lost.
func (g group) isNextOwner(x Identity, incumbent string, named bool) bool {
	mixed := false
	for _, m := range g {
		switch {
		case m == x || m.String() == incumbent:
		case m.hasMoreCPU(x):
			return false
		case x.hasMoreCPU(m):
			mixed = true
		}
	}
	if !mixed {
		return named
	}
	return !slices.ContainsFunc(g, func(m Identity) bool {
		return !x.hasMoreCPU(m) && m.String() != incumbent && m.String() < x.String()
	})
}

// isRedundant reports whether the group has enough members that are preferred to x: targetMembers, those with more CPU and those
// of similar CPU whose encoded identities precede that of x. An owner leaves only for a member with more CPU, because each
// change of owner costs time, but one such member is enough.
func (g group) isRedundant(x Identity, owner bool) bool {
	moreCPU, preferred := 0, 0
	for _, m := range g {
		switch {
		case m == x:
		case m.hasMoreCPU(x):
			moreCPU++
			preferred++
		case !x.hasMoreCPU(m) && m.String() < x.String():
			preferred++
		}
	}
	if owner {
		return moreCPU > 0
	}
	return preferred >= targetMembers
}
