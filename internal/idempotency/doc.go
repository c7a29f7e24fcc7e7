// Package idempotency stores the idempotency keys of non-idempotent requests that have run.
//
// Each instance keeps a Table. The primary of a key, chosen by hashing over the
// platform's list of instances, decides whether a request may run. The instance
// that sends the request stores the key as well, so that the key survives the
// failure of either. If both are the same instance, a backup stores the key
// before the request is sent.
//
// An instance that only recently became the primary queries all other instances
// first. Each of them that does not know the key stores it as claimed. If two
// instances act as primary of the same key, the second to query thus finds the
// claim of the first.
package idempotency
