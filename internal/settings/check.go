package settings

import (
	"fmt"
	"net"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/routing"
)

// Finding is one fault of the settings.
type Finding struct {
	Flag     string
	Variable string
	Message  string
}

// Error reports all findings on the settings together.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one a line, with flag and variable.
func (e *Error) Error() string {
	l := []string{fmt.Sprintf("settings have %d findings", len(e.Findings))}
	for _, f := range e.Findings {
		l = append(l, fmt.Sprintf("  %s (%s): %s", f.Flag, f.Variable, f.Message))
	}
	return strings.Join(l, "\n")
}

// checker collects findings on the fields of one struct.
type checker struct {
	owner    any
	findings []Finding
}

// add notes a finding on the named field.
func (c *checker) add(field, format string, args ...any) {
	t := reflect.TypeOf(c.owner).Elem()
	f, _ := t.FieldByName(field)
	a := parseArg(f)
	c.findings = append(c.findings, Finding{a.Flag, a.Variable, fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.findings) == 0 {
		return nil
	}
	return &Error{Findings: c.findings}
}

func (c *checker) level(v string) {
	if _, err := zerolog.ParseLevel(v); err != nil || v == "" {
		c.add("LogLevel", "%q is no level", v)
	}
}

func (c *checker) address(field, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.add(field, "%q is no address of host and port", v)
	}
}

func (c *checker) url(field, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.add(field, "%q is no URL of http or https", v)
	}
}

func (c *checker) oneOf(field, v string, names []string) {
	if !slices.Contains(names, v) {
		c.add(field, "%q is none of %s", v, strings.Join(names, ", "))
	}
}

func (c *checker) between(field string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(field, "%s is not between %s and %s", v, low, high)
	}
}

// Check returns an *Error with all findings, or nil.
func (s *Serve) Check() error {
	c := &checker{owner: s}
	c.level(s.LogLevel)
	if s.Name == "" || strings.ContainsAny(s.Name, " /~") {
		c.add("Name", "a name without spaces, / and ~ is needed, found %q", s.Name)
	}
	if s.FailureDomain == "" {
		c.add("FailureDomain", "a failure domain is needed")
	}
	c.address("CallerListen", s.CallerListen)
	c.address("OperatorListen", s.OperatorListen)
	c.address("PeerListen", s.PeerListen)
	if s.PeerAdvertise != "" {
		c.address("PeerAdvertise", s.PeerAdvertise)
	}
	for _, p := range s.Peers {
		c.address("Peers", p)
	}
	c.url("Platform", s.Platform)
	c.between("PlatformTimeout", s.PlatformTimeout, 10*time.Millisecond, time.Minute)
	c.between("ListEvery", s.ListEvery, 50*time.Millisecond, 10*time.Second)
	c.between("HeartbeatEvery", s.HeartbeatEvery, 50*time.Millisecond, time.Second)
	c.between("SyncEvery", s.SyncEvery, 50*time.Millisecond, 10*time.Second)
	c.between("Lease", s.Lease, 3*s.SyncEvery, time.Hour)
	c.between("DrainDelay", s.DrainDelay, 0, time.Minute)
	c.oneOf("RoutingPolicy", s.RoutingPolicy, routing.PolicyNames())
	c.oneOf("PlacementPolicy", s.PlacementPolicy, placement.PolicyNames())
	s.checkAccess(c)
	return c.err()
}

// checkAccess demands certificates and tokens unless insecurity was asked for.
func (s *Serve) checkAccess(c *checker) {
	if s.Insecure {
		return
	}
	for f, v := range map[string]string{
		"TLSCertificate": s.TLSCertificate, "TLSKey": s.TLSKey,
		"TLSAuthority": s.TLSAuthority, "OperatorTokens": s.OperatorTokens,
	} {
		if v == "" {
			c.add(f, "needed unless --insecure is given")
		}
	}
	slices.SortFunc(c.findings, func(a, b Finding) int { return strings.Compare(a.Flag, b.Flag) })
}

// Check returns an *Error with all findings, or nil.
func (s *Platform) Check() error {
	c := &checker{owner: s}
	c.level(s.LogLevel)
	c.address("Listen", s.Listen)
	if s.Document == "" {
		c.add("Document", "a document with instances is needed")
	}
	if s.AppendsPerSecond < 1 {
		c.add("AppendsPerSecond", "%d is below 1", s.AppendsPerSecond)
	}
	c.between("Retention", s.Retention, time.Second, 30*24*time.Hour)
	c.between("ListLag", s.ListLag, 0, time.Minute)
	c.between("ServiceTime", s.ServiceTime, time.Microsecond, time.Minute)
	return c.err()
}

// Check returns an *Error with all findings, or nil.
func (s *Operator) Check() error {
	c := &checker{owner: s}
	c.url("Instance", s.Instance)
	c.between("Timeout", s.Timeout, 10*time.Millisecond, time.Hour)
	return c.err()
}
