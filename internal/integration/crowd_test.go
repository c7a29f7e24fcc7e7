//go:build crowd

package integration_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/crowd"
)

// buildFlags are empty here, since the race detector takes several times the memory of the program.
var buildFlags []string

// The limits of the processes in these tests, small enough that a small crowd passes them.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 300
	// crowdKeptDescriptors is what a process may have open once it has closed the connections of clients that stopped.
	crowdKeptDescriptors = 100
	crowdClients         = 400
	bodyBytes            = 262144
	headBytes            = 60 << 10
	endlessBytes         = 1 << 20
)

var (
	upload      = crowd.Request{Line: "POST /search/%016x", Host: "search.example"}
	noService   = crowd.Request{Line: "POST /none/%016x", Host: "search.example"}
	query       = crowd.Request{Line: "GET /search/%016x", Host: "search.example"}
	edit        = crowd.Request{Line: "POST /document/check", Host: "operators.example"}
	spaces      = bytes.Repeat([]byte(" "), endlessBytes)
	callersOf   = func(p *instanceProcess) string { return p.callerAddress }
	operatorsOf = func(p *instanceProcess) string { return p.operatorAddress }
	peersOf     = func(p *instanceProcess) string { return p.peerAddress }
)

// playCrowd lets a crowd loose on one of two instances. The instance must stay within its memory and descriptors, must answer an
// ordinary request while the clients keep their connections open, and must not keep the connections of clients that stopped.
func playCrowd(t *testing.T, at func(*instanceProcess) string, c crowd.Crowd) {
	f := newClusterWithEnvironment(t, 2, []string{
		fmt.Sprintf("CURRANTKNOT_MEMORY_MB=%d", crowdMemoryMB), fmt.Sprintf("CURRANTKNOT_MAX_DESCRIPTORS=%d", crowdDescriptors),
	})
	i := f.instances[0]
	c.Address = at(i)
	p := &crowd.Process{PID: i.process.Process.Pid}
	unwatch := p.Watch(context.Background())
	stop := c.Run(context.Background())
	defer stop()
	f.eventually("an ordinary request is answered", func() bool { return i.statusOfRead() == http.StatusOK })
	requireWithinLimits(t, p)
	f.eventually("the connections of clients that stopped are closed", func() bool {
		u, err := p.Sample()
		return err != nil || u.Descriptors <= crowdKeptDescriptors
	})
	f.eventually("operators are answered", func() bool { return len(i.metrics()) > 0 })
	require.NoError(t, unwatch())
	requireWithinLimits(t, p)
	f.requireNoViolations()
}

// requireWithinLimits checks the most that the process has used so far.
func requireWithinLimits(t *testing.T, p *crowd.Process) {
	t.Helper()
	u := p.Peak()
	t.Logf("peak: %d MB, of received bytes that were not read %d KB; %d descriptors", u.MemoryBytes>>20, u.UnreadBytes>>10, u.Descriptors)
	require.LessOrEqual(t, u.MemoryBytes, crowdMemoryMB<<20, "memory")
	require.LessOrEqual(t, u.Descriptors, crowdDescriptors, "descriptors")
}

func TestCrowdOfShortHeaderFields(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.HeaderFields(query, headBytes, 0)})
}

func TestCrowdOfLargeHeaderField(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.HeaderField(query, endlessBytes)})
}

func TestCrowdOfUnfinishedBodies(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Body(upload, bodyBytes, spaces[:bodyBytes-1])})
}

func TestCrowdOfUnfinishedBodiesWithoutService(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Body(noService, bodyBytes, spaces[:bodyBytes-1])})
}

func TestCrowdOfSmallChunks(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Chunks(upload, bodyBytes, 1)})
}

func TestCrowdOfSilentConnections(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Silent})
}

func TestCrowdOfUnreadAnswers(t *testing.T) {
	playCrowd(t, callersOf, crowd.Crowd{Clients: 200, Deaf: true, Send: crowd.Requests(noService, 20_000)})
}

func TestCrowdOfEditsAtOperators(t *testing.T) {
	playCrowd(t, operatorsOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Body(edit, endlessBytes, append([]byte(`{"Author":"`), spaces[12:]...))})
}

func TestCrowdOfFramesAtPeers(t *testing.T) {
	length := []byte{2, 0, 0, 0} // 32 MiB
	playCrowd(t, peersOf, crowd.Crowd{Clients: 200, Send: crowd.Raw(append(length, make([]byte, 4<<20)...))})
}

func TestCrowdOfSilentConnectionsAtPeers(t *testing.T) {
	playCrowd(t, peersOf, crowd.Crowd{Clients: crowdClients, Send: crowd.Silent})
}
