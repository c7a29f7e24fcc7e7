// Command standin3 plays the cases of the third review that are scripts: it starts the program under test as separate processes with the
// command of the deploy file, and plays the platform's store, the executors and the clients for them.
package main
