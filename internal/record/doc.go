// Package record defines the records that the system writes to the platform's
// log, and their binary form.
//
// One append writes one Envelope, which holds one or more records (group
// commit). The binary form is a version byte, the 64-bit xxhash of the body and
// the body in msgpack. Structs are encoded as arrays: a newer writer may add
// fields at the end, which an older reader skips. Any other change needs a new
// version.
//
// Every record that changes state is a compare-and-set: it names the revision,
// epoch or attempt that it is based on. An envelope is appended twice if the
// response to the first append was lost. The records of its second occurrence
// are then refused, or, as Renew and Forget, have no further effect.
package record
