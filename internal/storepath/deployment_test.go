package storepath

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// replayInstances is the number of instances of a deployment, of which replayMembers are members of the group, to which all are
	// connected.
	replayInstances = 45
	replayMembers   = 3
	// pongDelay is the age of what peers say about themselves.
	pongDelay = 250 * time.Millisecond
	// arrivalInterval is the time between two submissions at an instance.
	arrivalInterval = 100 * time.Millisecond
	// settleTime is the time from the beginning of an outage after which all instances know of it: a second and a poll that is due,
	// and a pong.
	settleTime = pollWait + 600*time.Millisecond + pongDelay
)

// deployment replays the choices of all instances for a load on their stores.
type deployment struct {
	*testing.T
	// states holds, by instance, the state of its path at each tick.
	states [][]State
	// lies holds the instances that say that they reach the store at any time.
	lies map[int]bool
}

// newDeployment replays the paths of all instances, each with its own store.
func newDeployment(t *testing.T, until time.Duration, storeOf func(instance int) store) *deployment {
	d := &deployment{T: t, lies: make(map[int]bool)}
	for i := range replayInstances {
		r := newReplay(t, storeOf(i), i%2 == 0)
		var l []State
		for at := tick; at <= until; at += tick {
			r.runFrom(at-tick, at)
			l = append(l, r.path.State())
		}
		d.states = append(d.states, l)
	}
	return d
}

func (d *deployment) stateAt(instance int, at time.Duration) State {
	return d.states[instance][max(0, int(at/tick)-1)]
}

// peersOf returns what the peers of an instance have said about themselves.
func (d *deployment) peersOf(instance int, at time.Duration) []Peer {
	var l []Peer
	for m := range replayInstances {
		if m == instance || m >= replayMembers && instance >= replayMembers {
			continue
		}
		p := Peer{Name: fmt.Sprint(m), Reach: ReachesNothing, Rank: uint64(m * (instance + 1) % 7)}
		if d.lies[m] || d.stateAt(m, at-pongDelay).IsUsable() {
			p.Reach = ReachesStore
		}
		l = append(l, p)
	}
	return l
}

// choices counts the choices at the given instances between two instants.
func (d *deployment) choices(from, to time.Duration, instances ...int) map[Choice]int {
	n := make(map[Choice]int)
	for _, i := range instances {
		for at := from; at < to; at += arrivalInterval {
			n[Choose(d.stateAt(i, at), d.peersOf(i, at), epoch.Add(at)).Choice]++
		}
	}
	return n
}

// allInstances returns the instances that ok selects.
func allInstances(ok func(int) bool) []int {
	var l []int
	for i := range replayInstances {
		if ok(i) {
			l = append(l, i)
		}
	}
	return l
}

// A third of the instances held all their submissions for 2.9 s, although two thirds reached the store.
func TestThirdOfTheInstancesHandsOverWhileItIsCutOff(t *testing.T) {
	const from, to, end = 5 * time.Second, 15 * time.Second, 20 * time.Second
	for name, s := range map[string]store{"silent": silent, "refuses": refuses} {
		t.Run(name, func(t *testing.T) {
			isCut := func(i int) bool { return i%3 == 1 }
			d := newDeployment(t, end, func(i int) store {
				if isCut(i) {
					return between(from, to, s)
				}
				return well
			})
			cut := d.choices(from+settleTime, to, allInstances(isCut)...)
			require.Zero(t, cut[Append]+cut[Reject], "%v", cut)
			others := d.choices(0, end, allInstances(func(i int) bool { return !isCut(i) })...)
			require.Zero(t, others[HandOver]+others[Reject], "%v", others)
			after := d.choices(to+2*time.Second, end, allInstances(isCut)...)
			require.Zero(t, after[HandOver]+after[Reject], "%v", after)
		})
	}
}

func TestAllInstancesRejectWhileTheStoreIsSilentToAll(t *testing.T) {
	const from, to, end = 5 * time.Second, 12 * time.Second, 18 * time.Second
	d := newDeployment(t, end, func(int) store { return between(from, to, silent) })
	all := allInstances(func(int) bool { return true })
	n := d.choices(from+settleTime, to, all...)
	require.Zero(t, n[Append]+n[HandOver], "%v", n)
	for _, i := range all {
		require.False(t, Choose(d.stateAt(i, to), d.peersOf(i, to), epoch).Elsewhere)
	}
	n = d.choices(to+2*time.Second, end, all...)
	require.Zero(t, n[HandOver]+n[Reject], "%v", n)
}

func TestOwnerThatIsCutOffHandsOver(t *testing.T) {
	const from, to, end = 5 * time.Second, 12 * time.Second, 18 * time.Second
	d := newDeployment(t, end, func(i int) store {
		if i == 0 {
			return between(from, to, silent)
		}
		return well
	})
	n := d.choices(from+settleTime, to, 0)
	require.Zero(t, n[Append]+n[Reject], "%v", n)
}

// Nobody hands over or rejects while all responses take 240 ms.
func TestSlowStoreChangesNothingForADeployment(t *testing.T) {
	const from, to, end = 5 * time.Second, 10 * time.Second, 12 * time.Second
	d := newDeployment(t, end, func(int) store { return between(from, to, slow) })
	n := d.choices(0, end, allInstances(func(int) bool { return true })...)
	require.Zero(t, n[HandOver]+n[Reject], "%v", n)
}

// A member says that it reaches the store while all are cut off: what is handed over to it is lost to its time limit, and no other
// peer is used.
func TestOnlyALyingPeerIsUsedWhileTheStoreIsSilentToAll(t *testing.T) {
	const from, to, end = 5 * time.Second, 12 * time.Second, 18 * time.Second
	d := newDeployment(t, end, func(int) store { return between(from, to, silent) })
	d.lies[1] = true
	for _, i := range allInstances(func(i int) bool { return i != 1 }) {
		for at := from + settleTime; at < to; at += arrivalInterval {
			x := Choose(d.stateAt(i, at), d.peersOf(i, at), epoch.Add(at))
			require.Equal(t, Decision{Choice: HandOver, Peer: "1"}, x)
			l := d.peersOf(i, at)
			for k := range l {
				if l[k].Name == x.Peer {
					l[k].AvoidUntil = epoch.Add(at + time.Second)
				}
			}
			require.Equal(t, Decision{Choice: Reject, Elsewhere: true}, Choose(d.stateAt(i, at), l, epoch.Add(at)))
		}
	}
}
