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

// Finding describes one invalid setting by its flag and environment variable.
type Finding struct {
	Flag     string
	Variable string
	Message  string
}

// Error reports all invalid settings of a command.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one per line, each with its flag and environment variable.
func (e *Error) Error() string {
	l := []string{fmt.Sprintf("settings have %d findings", len(e.Findings))}
	for _, f := range e.Findings {
		l = append(l, fmt.Sprintf("  %s (%s): %s", f.Flag, f.Variable, f.Message))
	}
	return strings.Join(l, "\n")
}

// checker collects findings on the fields of one settings struct.
type checker struct {
	// settings is a pointer to the struct.
	settings any
	findings []Finding
}

// addFinding adds a finding on the field of the given name.
func (c *checker) addFinding(field, format string, args ...any) {
	t := reflect.TypeOf(c.settings).Elem()
	f, _ := t.FieldByName(field)
	s := parseTags(f)
	c.findings = append(c.findings, Finding{s.Flag, s.Variable, fmt.Sprintf(format, args...)})
}

// err returns an *Error with the findings, or nil if there are none.
func (c *checker) err() error {
	if len(c.findings) == 0 {
		return nil
	}
	return &Error{Findings: c.findings}
}

func (c *checker) checkLevel(v string) {
	if _, err := zerolog.ParseLevel(v); err != nil || v == "" {
		c.addFinding("LogLevel", "%q is not a log level", v)
	}
}

func (c *checker) checkAddress(field, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.addFinding(field, "%q is not an address of the form host:port", v)
	}
}

func (c *checker) checkURL(field, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.addFinding(field, "%q is not an http or https URL", v)
	}
}

func (c *checker) checkOneOf(field, v string, names []string) {
	if !slices.Contains(names, v) {
		c.addFinding(field, "%q is not one of %s", v, strings.Join(names, ", "))
	}
}

func (c *checker) checkRange(field string, v, low, high time.Duration) {
	if v < low || v > high {
		c.addFinding(field, "%s is not between %s and %s", v, low, high)
	}
}

func (c *checker) checkNotNegative(field string, v int) {
	if v < 0 {
		c.addFinding(field, "%d is negative", v)
	}
}

// Check returns an *Error with all invalid settings, or nil.
func (s *Serve) Check() error {
	c := &checker{settings: s}
	c.checkLevel(s.LogLevel)
	if s.Name == "" || strings.ContainsAny(s.Name, " /~") {
		c.addFinding("Name", "a name without spaces, / and ~ is required, found %q", s.Name)
	}
	if s.FailureDomain == "" {
		c.addFinding("FailureDomain", "a failure domain is required")
	}
	c.checkAddress("CallerListen", s.CallerListen)
	c.checkAddress("OperatorListen", s.OperatorListen)
	c.checkAddress("PeerListen", s.PeerListen)
	if s.PeerAdvertise != "" {
		c.checkAddress("PeerAdvertise", s.PeerAdvertise)
	}
	for _, p := range s.Peers {
		c.checkAddress("Peers", p)
	}
	c.checkURL("Platform", s.Platform)
	c.checkRange("PlatformTimeout", s.PlatformTimeout, 10*time.Millisecond, time.Minute)
	c.checkRange("ListEvery", s.ListEvery, 50*time.Millisecond, 10*time.Second)
	c.checkRange("HeartbeatEvery", s.HeartbeatEvery, 50*time.Millisecond, time.Second)
	c.checkRange("SyncEvery", s.SyncEvery, 50*time.Millisecond, 10*time.Second)
	c.checkRange("Lease", s.Lease, 3*s.SyncEvery, time.Hour)
	c.checkRange("DrainDelay", s.DrainDelay, 0, time.Minute)
	s.checkLimits(c)
	c.checkNotNegative("KeyMemoryMB", s.KeyMemoryMB)
	c.checkNotNegative("MemoryMB", s.MemoryMB)
	c.checkNotNegative("MaxDescriptors", s.MaxDescriptors)
	c.checkOneOf("RoutingPolicy", s.RoutingPolicy, routing.PolicyNames())
	c.checkOneOf("PlacementPolicy", s.PlacementPolicy, placement.PolicyNames())
	s.checkCredentials(c)
	return c.err()
}

// checkCredentials requires certificates and operator tokens unless Insecure is
// set.
//
// It then sorts all findings by flag, since the order in which it iterates over
// its map is random.
func (s *Serve) checkCredentials(c *checker) {
	if s.Insecure {
		return
	}
	for f, v := range map[string]string{
		"TLSCertificate": s.TLSCertificate, "TLSKey": s.TLSKey,
		"TLSAuthority": s.TLSAuthority, "OperatorTokens": s.OperatorTokens,
	} {
		if v == "" {
			c.addFinding(f, "required unless --insecure is given")
		}
	}
	slices.SortFunc(c.findings, func(a, b Finding) int { return strings.Compare(a.Flag, b.Flag) })
}

// Check returns an *Error with all invalid settings, or nil.
func (s *Jobs) Check() error {
	c := &checker{settings: s}
	c.checkLevel(s.LogLevel)
	s.checkLimits(c)
	c.checkNotNegative("JobMemoryMB", s.JobMemoryMB)
	c.checkRange("BodyTimeout", s.BodyTimeout, 0, maxLimitTimeout)
	return c.err()
}

// maxLimitTimeout is the longest time that a limit may give a client.
const maxLimitTimeout = 24 * time.Hour

// checkLimits adds findings on the limits; 0 stands for the default of each.
func (l *Limits) checkLimits(c *checker) {
	c.checkNotNegative("MaxCallerConnections", l.MaxCallerConnections)
	c.checkNotNegative("RequestMemoryMB", l.RequestMemoryMB)
	c.checkNotNegative("MaxHeadBytes", l.MaxHeadBytes)
	c.checkNotNegative("MinBodyRate", l.MinBodyRate)
	c.checkRange("HeadTimeout", l.HeadTimeout, 0, maxLimitTimeout)
	c.checkRange("IdleTimeout", l.IdleTimeout, 0, maxLimitTimeout)
	c.checkRange("BodyStallTimeout", l.BodyStallTimeout, 0, maxLimitTimeout)
	c.checkRange("AnswerTimeout", l.AnswerTimeout, 0, maxLimitTimeout)
}

// Check returns an *Error with all invalid settings, or nil.
func (s *Platform) Check() error {
	c := &checker{settings: s}
	c.checkLevel(s.LogLevel)
	c.checkAddress("Listen", s.Listen)
	if s.Document == "" {
		c.addFinding("Document", "a document with instances is required")
	}
	if s.AppendsPerSecond < 1 {
		c.addFinding("AppendsPerSecond", "%d is below 1", s.AppendsPerSecond)
	}
	c.checkRange("Retention", s.Retention, time.Second, 30*24*time.Hour)
	c.checkRange("ListLag", s.ListLag, 0, time.Minute)
	c.checkRange("ServiceTime", s.ServiceTime, time.Microsecond, time.Minute)
	return c.err()
}

// Check returns an *Error with all invalid settings, or nil.
func (s *Operator) Check() error {
	c := &checker{settings: s}
	c.checkURL("Instance", s.Instance)
	c.checkRange("Timeout", s.Timeout, 10*time.Millisecond, time.Hour)
	return c.err()
}
