package inbound_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/limits"
)

func TestHeadBeyondItsLimitIsRefusedBeforeItsEnd(t *testing.T) {
	s := newServer(t, testLimits(), collect)
	c := s.send(post + "X-Field: " + strings.Repeat("a", 13<<10))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.StatusCode)
	require.True(t, isClosed(c))
	require.Equal(t, 1, s.counter.count(limits.ReasonLargeHead))
	s.requireServes()
}

// A head of legal size takes many times its size if its fields are short.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	s := newServer(t, testLimits(), collect)
	c := s.send(post + strings.Repeat("a:\r\n", 1500))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, "1", r.Header.Get("Retry-After"))
	require.Equal(t, 1, s.counter.count(limits.ReasonMemory))
	s.requireServes()
}
