// Package jsonlist decodes lists in JSON whose length a client chooses. The
// decoder of the standard library takes the memory for a whole list, which may
// be many times the size of its text, before anything can be checked.
package jsonlist
