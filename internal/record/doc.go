// Package record defines what the system writes to the platform's log and its binary form.
//
// One append carries one Envelope, and an envelope carries one or more records
// (group commit). The form is a version byte, the xxhash of the body and the
// body in msgpack. Structs are encoded as arrays: a newer writer may add fields
// at the end, which an older reader skips; anything else needs a new version.
//
// Every record that changes state is a compare-and-set: it names the revision,
// epoch or attempt that it builds on. An envelope that was appended twice
// because a reply was lost is therefore refused on its second occurrence.
package record
