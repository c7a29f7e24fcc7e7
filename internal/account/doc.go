// Package account holds the client accounts of a configuration: who may submit
// jobs with which keys, and how much of the workers an account may use.
//
// Check finds what is wrong with the accounts of a configuration, and a Keyring
// holds the keys that it found nothing wrong with. Bad input lets nobody in: a
// key that is not certainly the key of one account is the key of none.
package account
