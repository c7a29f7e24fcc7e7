package caller_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/pkg/outcome"
)

// A request that makes its upstreams crash was sent to four of them, one after another, and by each repetition to four more.
func TestRequestThatBreaksConnectionsReachesTwoUpstreams(t *testing.T) {
	var n atomic.Int32
	crash := func(http.ResponseWriter, *http.Request) {
		n.Add(1)
		panic(http.ErrAbortHandler)
	}
	s := newServer(t, newUpstream(t, crash), newUpstream(t, crash), newUpstream(t, crash), newUpstream(t, crash), newUpstream(t, crash))
	r, err := http.Get(s.URL + "/s/1")
	require.NoError(t, err)
	defer r.Body.Close()
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	require.Equal(t, string(outcome.Unknown), r.Header.Get(outcome.Header))
	require.EqualValues(t, 2, n.Load())
}

// Connections that could not be made do not count: the request can't have harmed these upstreams.
func TestRequestReachesAnUpstreamAfterRefusedConnections(t *testing.T) {
	s := newServer(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	r, err := http.Get(s.URL + "/s/1")
	require.NoError(t, err)
	r.Body.Close()
	require.Equal(t, http.StatusOK, r.StatusCode)
}
