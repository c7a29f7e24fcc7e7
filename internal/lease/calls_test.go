package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// sentCall is a call with token 5 that is dated by incarnation 1, sent at the start.
func sentCall() Call {
	return Call{Reason: ReasonStart, Incarnation: 1, Fence: 5, SentAt: start, EndsAt: at(MaxLateness)}
}

func TestCallIsInDoubtUntilAnIncarnationRefusesIt(t *testing.T) {
	var c Calls
	c.Add(sentCall())
	require.Empty(t, c.Respond(Response{Incarnation: 1, Fence: 5, RequestedAt: at(0), At: at(time.Second)}), "the incarnation by whose clock it is dated")
	require.Len(t, c.Respond(Response{Incarnation: 2, Fence: 5, RequestedAt: at(time.Second), At: at(time.Second)}), 1)
	require.Len(t, c.Respond(Response{Incarnation: 2, Fence: 6, RequestedAt: at(time.Second), At: at(2 * time.Second)}), 1, "it may have been executed before")
	require.Empty(t, c.Respond(Response{Incarnation: 2, Fence: 6, RequestedAt: at(2 * time.Second), At: at(3 * time.Second)}), "it is refused since")
	require.Len(t, c.Respond(Response{Incarnation: 3, Fence: 7, RequestedAt: at(3 * time.Second), At: at(4 * time.Second)}), 1, "the next incarnation has seen no token")
}

func TestAnsweredCallWasExecutedByTheIncarnationThatRespondsLater(t *testing.T) {
	var c Calls
	id := c.Add(sentCall())
	c.Answered(id, at(time.Second))
	require.Empty(t, c.Respond(Response{Incarnation: 1, Fence: 5, RequestedAt: at(2 * time.Second), At: at(2 * time.Second)}))
	require.Zero(t, c.Len())
}

// The response to the start did not tell which incarnation gave it.
func TestAnsweredCallMayHaveBeenExecutedByAnotherIncarnation(t *testing.T) {
	var c Calls
	id := c.Add(sentCall())
	c.Answered(id, at(time.Second))
	l := c.Respond(Response{Incarnation: 2, Fence: 6, RequestedAt: at(2 * time.Second), At: at(2 * time.Second)})
	require.Len(t, l, 1)
	require.Equal(t, at(time.Second), l[0].ExecutedBy(at(2*time.Second)))
}

func TestUnansweredCallIsOverAfterItsLateness(t *testing.T) {
	var c Calls
	c.Add(sentCall())
	l := c.Misdated(2)
	require.Len(t, l, 1)
	require.Equal(t, at(time.Second), l[0].ExecutedBy(at(time.Second)))
	require.Equal(t, at(MaxLateness), l[0].ExecutedBy(at(time.Minute)))
	c.Forget(10*time.Second, at(MaxLateness+9*time.Second))
	require.Equal(t, 1, c.Len(), "the lease may last")
	c.Forget(10*time.Second, at(MaxLateness+10*time.Second))
	require.Zero(t, c.Len())
}

func TestCallsOfEarlierOwnersAreRefusedByAnyResponse(t *testing.T) {
	var c Calls
	c.Add(Call{Reason: ReasonEarlierOwner, Incarnation: 1, Fence: EarlierFence, SentAt: at(0), EndsAt: at(MaxLateness)})
	require.True(t, c.Contains(ReasonEarlierOwner, 1))
	require.False(t, c.Contains(ReasonEarlierOwner, 2))
	require.Len(t, c.Respond(Response{Incarnation: 2, At: at(time.Second)}), 1)
	require.Empty(t, c.Respond(Response{Incarnation: 2, At: at(time.Second)}))
}

func TestIncarnationThatRespondsToACallHasExecutedIt(t *testing.T) {
	var c Calls
	r := Response{Incarnation: 1, Fence: 5, RequestedAt: start, Call: c.Add(sentCall()), At: at(time.Second)}
	require.Empty(t, c.Respond(r))
	require.Zero(t, c.Len())
	r.Incarnation, r.Call = 2, c.Add(sentCall())
	require.Len(t, c.Respond(r), 1, "it is dated by the clock of another one")
}
