package jobserve

import (
	"strconv"
	"strings"
	"unicode"
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

const (
	// maxClaimEpoch is the highest epoch of a claim that this program did not write by mistake; the next ones still fit.
	maxClaimEpoch = 1 << 52
	// maxIdentityBytes is the maximum size of an encoded identity.
	maxIdentityBytes = 1024
)

// parseClaim decodes a claim; it reports false for a record that no process of this program writes.
func parseClaim(r Record) (Claim, bool) {
	if r.Key != ownerKey || len(r.Value) > maxIdentityBytes {
		return Claim{}, false
	}
	e, id, ok := strings.Cut(string(r.Value), claimSeparator)
	n, err := strconv.ParseInt(e, 10, 64)
	ok = ok && err == nil && n > 0 && n <= maxClaimEpoch && id != "" && !strings.ContainsFunc(id, unicode.IsControl)
	return Claim{Identity: id, Epoch: n}, ok
}

// isSameOwnership reports whether two claims are of the same ownership.
func (c Claim) isSameOwnership(x Claim) bool { return c.Identity == x.Identity && c.Epoch == x.Epoch }
