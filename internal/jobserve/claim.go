package jobserve

import (
	"strconv"
	"strings"
)

// Claim is the newest record of PartitionOwners; it names the process that last took the jobs over. It is zero if there is none.
type Claim struct {
	Identity string
	// Epoch is the fencing token of the ownership.
	Epoch int64
	// EndOffset is the offset after the record, at which only one next claim can be appended.
	EndOffset int64
}

// claimSeparator separates the epoch from the identity in an encoded claim.
const claimSeparator = " "

// record returns the claim as a record.
func (c Claim) record() Record {
	return Record{Key: ownerKey, Value: []byte(strconv.FormatInt(c.Epoch, 10) + claimSeparator + c.Identity)}
}

// parseClaim decodes the value of a claim; it reports false if the value is malformed.
func parseClaim(b []byte) (Claim, bool) {
	e, id, ok := strings.Cut(string(b), claimSeparator)
	n, err := strconv.ParseInt(e, 10, 64)
	return Claim{Identity: id, Epoch: n}, ok && err == nil
}

// isSameOwnership reports whether two claims are of the same ownership.
func (c Claim) isSameOwnership(x Claim) bool { return c.Identity == x.Identity && c.Epoch == x.Epoch }
