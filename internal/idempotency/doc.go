// Package idempotency stores the idempotency keys of non-idempotent requests: keys that are claimed, keys whose request
// may be running, and keys whose request has finished.
//
// Each instance keeps a Table. The primary of a key is an instance that is chosen
// by hashing over the platform's list of instances. The primary decides whether a
// request may run. The instance that sends the request stores the key as well, so
// that the key survives the failure of either instance. If the primary itself
// sends the request, a backup stores the key first: another instance, if any is
// known.
//
// The primary first claims the key in its own table. If the list of instances
// changed recently, an earlier primary may know the key, so the primary then
// queries all other instances. Each of them that does not know the key stores it
// as claimed. If two instances act as primary of the same key, the second to query
// thus finds the claim of the first.
package idempotency
