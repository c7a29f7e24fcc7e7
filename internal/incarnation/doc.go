// Package incarnation decides which incarnation of a worker is the present one.
//
// The number of an incarnation is the worker's time of day at its start. It tells
// incarnations apart, but not always which is later: the time of day may have been
// set back between them. A worker is one process at a time, so that what was sent
// after an incarnation became known is answered by that one or by a later one.
package incarnation
