package document

import (
	"fmt"
	"strings"
)

// Check applies all rules that Parse does not check, including those that span sections. It returns a *FindingsError or
// nil.
func Check(d *Document) error {
	c := &checker{
		domains:          make(map[string]bool),
		teams:            make(map[string]bool),
		definedIn:        make(map[string]string),
		placementSection: "",
	}
	for _, s := range d.SortedSections() {
		c.section = s
		c.checkNames()
	}
	for _, s := range d.SortedSections() {
		c.section = s
		c.checkReferences()
	}
	c.checkQuotas()
	return findingsError(c.findings)
}

// checker records the declared names in a first pass over all sections and checks references to them in a second one.
type checker struct {
	// section is the section that is being checked.
	section *Section
	// domains holds the names of all declared failure domains.
	domains map[string]bool
	// teams holds the names of all teams that have a quota.
	teams map[string]bool
	// definedIn holds the name of the section that defines a name. Its keys are the kind and the name, separated by a
	// space.
	definedIn map[string]string
	// placementSection is the section that sets Placement, empty if none does.
	placementSection string
	// capacity is the total size of all instances.
	capacity Size
	quotas   []declaredQuota
	findings []Finding
}

// declaredQuota is a quota with the section and the path of the field that declare it.
type declaredQuota struct {
	section *Section
	field   string
	quota   Quota
}

// addFinding adds a finding on a field of the current section.
func (c *checker) addFinding(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Section:  c.section.Section,
		Position: c.section.position(field),
		Field:    field,
		Message:  fmt.Sprintf(format, args...),
	})
}

// define records a name of the given kind. It adds a finding instead if the name is empty, if it holds a character that
// names other than path prefixes may not have, or if any section already defines it for this kind.
func (c *checker) define(kind, name, field string) {
	if name == "" {
		c.addFinding(field, "a %s needs a name", kind)
		return
	}
	if strings.ContainsAny(name, " \t\n@/#") && kind != "path prefix" {
		c.addFinding(field, "%q holds a space or one of @ / #", name)
		return
	}
	k := kind + " " + name
	if s, ok := c.definedIn[k]; ok {
		c.addFinding(field, "%s %q is already defined in section %s", kind, name, s)
		return
	}
	c.definedIn[k] = c.section.Section
}

// checkNames checks the owner and the Placement of the current section, and records the names, quotas and instance
// sizes that it declares.
func (c *checker) checkNames() {
	s := c.section
	if s.Owner == "" {
		c.addFinding("Owner", "a section needs an owner")
	}
	if s.Placement != nil {
		c.checkPlacement(s.Placement)
	}
	for i, f := range s.FailureDomains {
		c.define("failure domain", f.Name, fmt.Sprintf("FailureDomains[%d].Name", i))
		c.domains[f.Name] = true
	}
	for i, n := range s.Instances {
		c.define("instance", n.Name, fmt.Sprintf("Instances[%d].Name", i))
		c.capacity = c.capacity.Add(n.Size)
	}
	for i, q := range s.Quotas {
		f := fmt.Sprintf("Quotas[%d].Team", i)
		c.define("quota", q.Team, f)
		c.teams[q.Team] = true
		c.quotas = append(c.quotas, declaredQuota{s, f, q})
	}
	for i, v := range s.Services {
		c.define("service or job", v.Name, fmt.Sprintf("Services[%d].Name", i))
		c.define("path prefix", v.PathPrefix, fmt.Sprintf("Services[%d].PathPrefix", i))
	}
	for i, j := range s.Jobs {
		c.define("service or job", j.Name, fmt.Sprintf("Jobs[%d].Name", i))
	}
}

func (c *checker) checkPlacement(p *Placement) {
	if c.placementSection != "" {
		c.addFinding("Placement", "already set in section %s", c.placementSection)
	}
	if p.Shards < 1 || p.Shards > MaxShards {
		c.addFinding("Placement.Shards", "%d is not between 1 and %d", p.Shards, MaxShards)
	}
	c.placementSection = c.section.Section
}

// MaxShards is the maximum number of placement shards.
const MaxShards = 64

// MaxTasks is the maximum number of tasks of one job and of replicas of one service.
const MaxTasks = 100_000

// checkReferences checks the instances, services and jobs of the current section, including their references to names
// that other sections may define.
func (c *checker) checkReferences() {
	for i, n := range c.section.Instances {
		f := fmt.Sprintf("Instances[%d]", i)
		if !c.domains[n.FailureDomain] {
			c.addFinding(f+".FailureDomain", "no failure domain %q", n.FailureDomain)
		}
		if n.Processors < 1 || n.MemoryMiB < 1 {
			c.addFinding(f, "an instance needs processors and memory")
		}
	}
	for i := range c.section.Services {
		c.checkService(&c.section.Services[i], fmt.Sprintf("Services[%d]", i))
	}
	for i := range c.section.Jobs {
		c.checkJob(&c.section.Jobs[i], fmt.Sprintf("Jobs[%d]", i))
	}
}

func (c *checker) checkService(s *Service, field string) {
	c.checkTeam(s.Team, field)
	c.checkCount(s.Replicas, field+".Replicas")
	c.checkSize(s.Size, field)
	if s.Bound <= 0 {
		c.addFinding(field+".Bound", "a service needs a latency bound above 0s")
	}
	if !strings.HasPrefix(s.PathPrefix, "/") {
		c.addFinding(field+".PathPrefix", "%q does not begin with /", s.PathPrefix)
	}
	if s.ClientAccount == "" {
		c.addFinding(field+".ClientAccount", "a service needs a client account")
	}
}

func (c *checker) checkJob(j *Job, field string) {
	c.checkTeam(j.Team, field)
	c.checkCount(j.Tasks, field+".Tasks")
	c.checkSize(j.Size, field)
	switch j.Priority {
	case PriorityUrgent, PriorityNormal, PriorityPatient:
	default:
		c.addFinding(field+".Priority", "%q is not one of Urgent, Normal, Patient", j.Priority)
	}
	if j.RunTime < 0 {
		c.addFinding(field+".RunTime", "%s is negative", j.RunTime)
	}
}

func (c *checker) checkTeam(team, field string) {
	if !c.teams[team] {
		c.addFinding(field+".Team", "no quota for team %q", team)
	}
}

func (c *checker) checkCount(n int, field string) {
	if n < 1 || n > MaxTasks {
		c.addFinding(field, "%d is not between 1 and %d", n, MaxTasks)
	}
}

func (c *checker) checkSize(s Size, field string) {
	if s.Processors < 1 || s.MemoryMiB < 1 {
		c.addFinding(field, "a task needs processors and memory")
	}
}

func (c *checker) checkQuotas() {
	for _, q := range c.quotas {
		if q.quota.Fits(c.capacity) {
			continue
		}
		c.section = q.section
		c.addFinding(q.field, "quota of team %q exceeds the total capacity of all instances: %+v of %+v", q.quota.Team, q.quota.Size, c.capacity)
	}
}
