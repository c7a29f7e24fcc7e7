// Package msgpackcheck decodes msgpack of which another writer may have written
// any byte.
//
// The decoder of the library calls itself for each level of nesting and makes
// room for as many elements as a list says that it has. A message of a few bytes
// can therefore take any amount of memory, and the end of the stack, which ends
// the process, can't be recovered from. Unmarshal checks the structure of a
// message first, without recursion and without allocating memory.
package msgpackcheck
