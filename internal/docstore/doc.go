// Package docstore builds the operators' document from the edits in the log.
//
// Store holds the current state. It applies edits in log order and publishes an
// immutable View after each; a reader uses one view for a whole operation. An
// edit names the revision of the section on which it is based. The first edit
// of a revision is accepted and all later ones are refused as conflicts, so that
// the log order acts as a compare-and-set without a lock. Rules that span
// sections are checked again when an edit is applied, since two edits that are
// each valid may contradict each other.
//
// A view also holds values that must be the same on all instances: the
// generation of each job and service, which distinguishes a job from a later
// one of the same name, and the shard of each rack. A rack keeps its shard for
// as long as it exists, so that no worker changes its shard while it runs tasks.
package docstore
