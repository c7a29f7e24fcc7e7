// Command standin2 plays the cases of the second review against processes of the deploy file.
//
// It stands in for the platform's store (package platform/standin), the executors,
// the machines' service, the operator and the clients, on loopback addresses. It
// records what was sent, answered and run, and checks the rule of the case as the
// users' pages have it.
package main
