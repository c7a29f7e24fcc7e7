// Package crowd plays clients that do not behave against a process, and measures what the process uses meanwhile.
//
// A Shape is what each client sends. A Crowd opens all of its connections at
// once, sends, and keeps open whatever the process does not close. A Process
// samples the memory and the open descriptors of a process, with the bytes that
// the kernel has received for it and that it has not read.
package crowd
