package locality_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/locality"
)

// Labels that several racks share were tried before a rack's own.
func TestLabelsThatRacksShareComeLast(t *testing.T) {
	l, n := locality.OrderLabels([][]string{
		{"a", "rack-0", "x"}, {"a", "rack-0", "x"}, {"a", "rack-0"}, {"a", "rack-1"}, {"a", "rack-1"}, {"a", "rack-2", "x"}, {"a", "rack-2"}, {"a", "rack-2"},
	})
	require.Equal(t, []string{"rack-1", "rack-0", "rack-2", "x", "a"}, l)
	require.Equal(t, 4, n)
}

func TestLabelsOfSingleWorkersMakeNoRackShared(t *testing.T) {
	l, n := locality.OrderLabels([][]string{{"h0", "rack-0"}, {"h1", "rack-0"}, {"h2", "rack-1"}, {"h3", "rack-1"}})
	require.Equal(t, 6, n)
	require.Equal(t, []string{"rack-0", "rack-1"}, l[4:])
}

func TestLabelsOfOneRackOnlyAreRacks(t *testing.T) {
	l, n := locality.OrderLabels([][]string{{"rack-0"}, {"rack-0"}})
	require.Equal(t, []string{"rack-0"}, l)
	require.Equal(t, 1, n)
	l, n = locality.OrderLabels(nil)
	require.Empty(t, l)
	require.Zero(t, n)
}
