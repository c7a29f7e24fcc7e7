// Package docstore builds the operators' document from the edits in the log.
//
// Store holds the current state. It applies the records of the document's
// stream in log order and publishes an immutable View after each; a reader uses
// one view for a whole operation. For each section that it changes, an edit
// names the revision of the section on which it is based. Of several edits
// based on the same revision, the first one that passes all checks is accepted
// and the later ones are refused as conflicts, so that the log order acts as a
// compare-and-set without a lock. Rules that span sections are checked before
// an edit is committed and again when it is applied, since two edits that are
// each valid may contradict each other.
//
// A view also holds values that must be the same on all instances: the
// generation of each job and service, which distinguishes a job or service from
// a later one of the same name, and the shard of each rack. A rack keeps its
// shard for as long as it exists, so that a worker that stays in its rack does
// not change its shard while it runs tasks.
package docstore
