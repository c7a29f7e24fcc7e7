package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// digestDigits is the number of hexadecimal digits of a key's digest in log lines.
const digestDigits = 8

// Digest returns the first digits of a key's SHA-256, by which operators tell keys apart in log lines.
func Digest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])[:digestDigits]
}

// Keyring holds the accounts of a configuration by key; it is immutable. The nil Keyring holds none.
type Keyring struct {
	// entries holds the accepted keys by their SHA-256, so that the time of a lookup tells nothing about similar keys.
	entries map[[sha256.Size]byte]entry
	// accounts holds the accounts that have an accepted key, by name, without their keys.
	accounts map[string]Account
}

// entry is an accepted key and the name of its account.
type entry struct {
	key     string
	account string
}

// NewKeyring returns the keyring of the accounts of a configuration. It leaves out the keys for which Check has a finding, and
// those of accounts whose name has one.
func NewKeyring(l []Account) *Keyring {
	k := &Keyring{entries: make(map[[sha256.Size]byte]entry, len(l)), accounts: make(map[string]Account, len(l))}
	c := newChecker(l)
	for i := range l {
		a := &l[i]
		if c.nameFault(a) != "" {
			continue
		}
		k.accounts[a.Name] = Account{Name: a.Name, Weight: a.Weight, Cap: a.Cap}
		for _, s := range a.Keys {
			if c.keyFault(s) == "" {
				k.entries[sha256.Sum256([]byte(s))] = entry{s, a.Name}
			}
		}
	}
	return k
}

// Lookup returns the name of the account of a key, and whether the key is accepted.
func (k *Keyring) Lookup(key string) (account string, ok bool) {
	if k == nil {
		return "", false
	}
	e := k.entries[sha256.Sum256([]byte(key))]
	if subtle.ConstantTimeCompare([]byte(e.key), []byte(key)) == 0 || e.account == "" {
		return "", false
	}
	return e.account, true
}

// Account returns an account by name, without its keys; it knows no account whose name Check has a finding for.
func (k *Keyring) Account(name string) (Account, bool) {
	if k == nil {
		return Account{}, false
	}
	a, ok := k.accounts[name]
	return a, ok
}
