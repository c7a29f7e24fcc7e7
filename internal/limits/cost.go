package limits

import "bytes"

const (
	// headerFieldBytes is the memory that one field of a decoded head takes beside its text: an entry of a map and a list.
	headerFieldBytes = 192
	// headCopies is how often the text of a head is in memory: as it was received, and decoded.
	headCopies = 2
)

// HeadCost returns the memory that received bytes of a head take once they are decoded.
func HeadCost(b []byte) int {
	return headCopies*len(b) + headerFieldBytes*bytes.Count(b, []byte("\n"))
}
