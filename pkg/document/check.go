package document

import (
	"fmt"
	"strings"
)

// Check applies the rules that span sections and returns a *FindingsError or nil.
func Check(d *Document) error {
	c := &checker{
		domains:   make(map[string]bool),
		teams:     make(map[string]bool),
		names:     make(map[string]string),
		placement: "",
	}
	for _, s := range d.All() {
		c.section = s
		c.checkNames()
	}
	for _, s := range d.All() {
		c.section = s
		c.checkReferences()
	}
	c.checkQuotas()
	return findingsError(c.findings)
}

// checker collects names in a first pass and checks references in a second.
type checker struct {
	section   *Section
	domains   map[string]bool
	teams     map[string]bool
	names     map[string]string
	placement string
	capacity  Size
	quotas    []quotaPlace
	findings  []Finding
}

type quotaPlace struct {
	section *Section
	field   string
	quota   Quota
}

func (c *checker) add(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Section: c.section.Section,
		Place:   c.section.place(field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// claim records a name of a kind and reports a second use.
func (c *checker) claim(kind, name, field string) {
	if name == "" {
		c.add(field, "a %s needs a name", kind)
		return
	}
	if strings.ContainsAny(name, " \t\n@/#") && kind != "path prefix" {
		c.add(field, "%q holds a space or one of @ / #", name)
		return
	}
	k := kind + " " + name
	if s, ok := c.names[k]; ok {
		c.add(field, "%s %q is already defined in section %s", kind, name, s)
		return
	}
	c.names[k] = c.section.Section
}

func (c *checker) checkNames() {
	s := c.section
	if s.Owner == "" {
		c.add("Owner", "a section needs an owner")
	}
	if s.Placement != nil {
		c.checkPlacement(s.Placement)
	}
	for i, f := range s.FailureDomains {
		c.claim("failure domain", f.Name, fmt.Sprintf("FailureDomains[%d].Name", i))
		c.domains[f.Name] = true
	}
	for i, n := range s.Instances {
		c.claim("instance", n.Name, fmt.Sprintf("Instances[%d].Name", i))
		c.capacity = c.capacity.Add(n.Size)
	}
	for i, q := range s.Quotas {
		f := fmt.Sprintf("Quotas[%d].Team", i)
		c.claim("quota", q.Team, f)
		c.teams[q.Team] = true
		c.quotas = append(c.quotas, quotaPlace{s, f, q})
	}
	for i, v := range s.Services {
		c.claim("service or job", v.Name, fmt.Sprintf("Services[%d].Name", i))
		c.claim("path prefix", v.PathPrefix, fmt.Sprintf("Services[%d].PathPrefix", i))
	}
	for i, j := range s.Jobs {
		c.claim("service or job", j.Name, fmt.Sprintf("Jobs[%d].Name", i))
	}
}

func (c *checker) checkPlacement(p *Placement) {
	if c.placement != "" {
		c.add("Placement", "already set in section %s", c.placement)
	}
	if p.Shards < 1 || p.Shards > MaxShards {
		c.add("Placement.Shards", "%d is not between 1 and %d", p.Shards, MaxShards)
	}
	c.placement = c.section.Section
}

// MaxShards bounds the number of placement shards.
const MaxShards = 64

// MaxTasks bounds the number of tasks of one job and of replicas of one service.
const MaxTasks = 100_000

func (c *checker) checkReferences() {
	for i, n := range c.section.Instances {
		f := fmt.Sprintf("Instances[%d]", i)
		if !c.domains[n.FailureDomain] {
			c.add(f+".FailureDomain", "no failure domain %q", n.FailureDomain)
		}
		if n.Processors < 1 || n.MemoryMiB < 1 {
			c.add(f, "an instance needs processors and memory")
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
		c.add(field+".Bound", "a service needs a bound above 0s")
	}
	if !strings.HasPrefix(s.PathPrefix, "/") {
		c.add(field+".PathPrefix", "%q does not begin with /", s.PathPrefix)
	}
	if s.ClientAccount == "" {
		c.add(field+".ClientAccount", "a service needs a client account")
	}
}

func (c *checker) checkJob(j *Job, field string) {
	c.checkTeam(j.Team, field)
	c.checkCount(j.Tasks, field+".Tasks")
	c.checkSize(j.Size, field)
	switch j.Priority {
	case PriorityUrgent, PriorityNormal, PriorityPatient:
	default:
		c.add(field+".Priority", "%q is none of Urgent, Normal, Patient", j.Priority)
	}
	if j.RunTime < 0 {
		c.add(field+".RunTime", "%s is negative", j.RunTime)
	}
}

func (c *checker) checkTeam(team, field string) {
	if !c.teams[team] {
		c.add(field+".Team", "no quota for team %q", team)
	}
}

func (c *checker) checkCount(n int, field string) {
	if n < 1 || n > MaxTasks {
		c.add(field, "%d is not between 1 and %d", n, MaxTasks)
	}
}

func (c *checker) checkSize(s Size, field string) {
	if s.Processors < 1 || s.MemoryMiB < 1 {
		c.add(field, "a task needs processors and memory")
	}
}

func (c *checker) checkQuotas() {
	for _, q := range c.quotas {
		if q.quota.Fits(c.capacity) {
			continue
		}
		c.section = q.section
		c.add(q.field, "quota of team %q is beyond the capacity of all instances: %+v of %+v", q.quota.Team, q.quota.Size, c.capacity)
	}
}
