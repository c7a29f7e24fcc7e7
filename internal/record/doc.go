// Package record defines the records that the system writes to the platform's log, and their binary form.
//
// One append writes one Envelope, which holds one or more records (group
// commit). The binary form is a version byte, the 64-bit xxhash of the body and
// the body in msgpack. Structs are encoded as arrays: a newer writer may add
// fields at the end, which an older reader skips. Any other change needs a new
// version.
//
// Every record that changes state is a compare-and-set: it names the revision,
// epoch or attempt that it is based on. If an envelope is appended twice because
// the response to the first append was lost, its second occurrence is therefore
// refused.
package record
