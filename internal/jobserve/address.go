package jobserve

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"
)

// maxPort is the highest port of TCP.
const maxPort = 65535

// hostPattern matches a host name.
var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,251}[A-Za-z0-9])?$`)

// IsDialable reports whether s is a host and a port to which a connection can be made. It does not look the host up.
func IsDialable(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 || n > maxPort {
		return false
	}
	if hostPattern.MatchString(host) {
		return true
	}
	a, err := netip.ParseAddr(host)
	return err == nil && a.Zone() == ""
}
