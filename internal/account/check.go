package account

import "fmt"

// maxKeyBytes is the maximum size of a key.
const maxKeyBytes = 512

// Finding is one error in the accounts of a configuration; it never contains a key.
type Finding struct {
	// Place is the path of the field, such as Accounts[3].Keys[1].
	Place  string
	Reason string
}

// IsWellFormedKey reports whether a key may be in use: it has up to 512 printable ASCII characters and no space.
func IsWellFormedKey(key string) bool { return keyFault(key) == "" }

// keyFault returns what is wrong with a key by itself, empty if nothing is.
func keyFault(key string) string {
	switch {
	case key == "":
		return "is empty"
	case len(key) > maxKeyBytes:
		return fmt.Sprintf("%d bytes are more than %d", len(key), maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "has a character that no request can carry"
		}
	}
	return ""
}

// Check returns the findings in the accounts of a configuration, in their order.
func Check(l []Account) []Finding { return newChecker(l).findings() }

// checker knows which names and keys of the accounts are used by more than one of them.
type checker struct {
	accounts []Account
	// names counts the accounts by name.
	names map[string]int
	// users holds, by key, the index of the one account that has it, or shared.
	users map[string]int
}

// shared is in place of the index of an account for a key that several accounts have.
const shared = -1

func newChecker(l []Account) *checker {
	c := &checker{accounts: l, names: make(map[string]int, len(l)), users: make(map[string]int, len(l))}
	for i := range l {
		c.names[l[i].Name]++
		for _, k := range l[i].Keys {
			if u, ok := c.users[k]; ok && u != i {
				c.users[k] = shared
				continue
			}
			c.users[k] = i
		}
	}
	return c
}

// nameFault returns why all keys of an account are refused, empty if they are not.
func (c *checker) nameFault(a *Account) string {
	switch {
	case a.Name == "":
		return "is empty; all keys of the account are refused"
	case c.names[a.Name] > 1:
		return "is the name of several accounts; the keys of all of them are refused"
	}
	return ""
}

// keyFault returns why a key is refused, empty if it is not.
func (c *checker) keyFault(key string) string {
	if f := keyFault(key); f != "" {
		return f + "; the key is refused"
	}
	if c.users[key] == shared {
		return "is a key of several accounts; it is refused in all of them"
	}
	return ""
}

func (c *checker) findings() []Finding {
	var l []Finding
	for i := range c.accounts {
		for _, f := range c.accountFindings(&c.accounts[i]) {
			l = append(l, Finding{fmt.Sprintf("Accounts[%d].%s", i, f.Place), f.Reason})
		}
	}
	return l
}

// accountFindings returns the findings in an account, with places within it.
func (c *checker) accountFindings(a *Account) []Finding {
	var l []Finding
	if f := c.nameFault(a); f != "" {
		l = append(l, Finding{"Name", f})
	}
	for n, k := range a.Keys {
		if f := c.keyFault(k); f != "" {
			l = append(l, Finding{fmt.Sprintf("Keys[%d]", n), f})
		}
	}
	if a.Weight < 0 {
		l = append(l, Finding{"Weight", "is negative; it counts as the smallest weight"})
	}
	if !a.HasValidCap() {
		l = append(l, Finding{"Cap", "is negative; nothing of the account starts"})
	}
	return l
}
