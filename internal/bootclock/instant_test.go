package bootclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgeCountsSuspensions(t *testing.T) {
	const suspension = 4 * time.Second
	i := NowInstant()
	require.Less(t, i.Age(), suspension)
	i.suspended -= suspension
	require.GreaterOrEqual(t, i.Age(), suspension)
	require.Greater(t, Instant{}.Age(), 24*time.Hour)
}
