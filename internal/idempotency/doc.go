// Package idempotency remembers which non-idempotent requests have run, by their key.
//
// Each instance keeps a Table. The home of a key, chosen by hashing over the
// platform's list, decides whether a request may run; the instance that sends
// it remembers the key as well, so that the key survives the death of either.
// Where both are the same, a witness notes the key before the request is sent.
// A home that has not been the home for long asks all other instances first,
// and each of them that does not know the key remembers who asked: whichever of
// two homes comes first, the other learns of it.
package idempotency
