// Package account holds the client accounts of a configuration: who may submit
// jobs with which keys, and how much of the workers an account may use.
package account
