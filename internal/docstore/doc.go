// Package docstore keeps the operators' document as the log has accepted it.
//
// Store is the long-lived owner. It applies edits in log order and publishes an
// immutable View after each; a reader holds one view for its whole task. An edit
// names the revision of the section that its author saw. The first edit of a
// revision is accepted and all others are refused, which makes the log order a
// compare-and-set without any lock. Rules that span sections are checked again
// at that point, since two edits that are each valid may contradict each other.
//
// A view also holds what must not depend on who computes it: the generation of
// each job and service, which tells a job from a later one of the same name,
// and the shard of each rack, which is kept for as long as the rack exists so
// that no worker changes its shard while it runs tasks.
package docstore
