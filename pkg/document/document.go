package document

import (
	"maps"
	"slices"
	"time"
)

// Document is a set of sections keyed by section name.
type Document struct {
	Sections map[string]*Section
}

// Section is one part of the document. It is owned by one team.
type Section struct {
	// Section is the name of the section, and Owner the team that owns it.
	Section        string
	Owner          string
	Placement      *Placement
	FailureDomains []FailureDomain
	Instances      []Instance
	Quotas         []Quota
	Services       []Service
	Jobs           []Job

	// positions holds the position of each field in the text, by the path of the field, such as Jobs[0].Name.
	positions map[string]Position
}

// Placement holds the scheduler settings for the whole system.
type Placement struct {
	// Shards is the number of placement shards: disjoint sets of racks. Each shard has one instance at a time that places
	// tasks on its workers.
	Shards int
}

// Size is an amount of resources: processors, memory in MiB and accelerators.
type Size struct {
	Processors   int
	MemoryMiB    int
	Accelerators int
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of both sizes, which may be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// Fits reports whether the size is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	return s.Processors <= o.Processors && s.MemoryMiB <= o.MemoryMiB && s.Accelerators <= o.Accelerators
}

// FailureDomain is a set of instances that may fail together or be taken out of service together.
type FailureDomain struct {
	Name         string
	Region       string
	OutOfService bool
	// Reason says why the failure domain is out of service.
	Reason string
}

// Instance is a machine that runs tasks.
type Instance struct {
	Name          string
	FailureDomain string
	Rack          string
	Size          `yaml:",inline"`
}

// Quota is the amount of resources to which the tasks of one team are entitled.
//
// Tasks that exceed the quota of their team are placed after all tasks of the
// same class that are within the quota of theirs. A class is all services, or
// all jobs of one priority.
type Quota struct {
	Team string
	Size `yaml:",inline"`
}

// Service is a latency-critical service whose replicas serve requests.
type Service struct {
	Name          string
	ClientAccount string
	Team          string
	PathPrefix    string
	// Bound is the latency bound: the maximum time for the response to a request.
	Bound    time.Duration
	Replicas int
	// IdempotentMethods lists the HTTP methods of requests that may be sent more than once.
	IdempotentMethods []string
	// RequestsPerSecond is the rate limit of each client account at this service over all instances, 0 for no limit.
	RequestsPerSecond int
	Size              `yaml:",inline"`
}

// IsIdempotent reports whether a request with this HTTP method may be sent more than once.
func (s *Service) IsIdempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Priority is the priority of a batch job.
//
// Urgent tasks may evict Normal and Patient tasks. A task of any priority whose
// team is within its quota may also evict tasks of the same or a lower priority
// of another team that exceeds its quota.
type Priority string

// The priorities of batch jobs, from the highest to the lowest.
const (
	PriorityUrgent  Priority = "Urgent"
	PriorityNormal  Priority = "Normal"
	PriorityPatient Priority = "Patient"
)

// Job is a set of batch tasks. Each of them is to finish once.
type Job struct {
	Name          string
	ClientAccount string
	Team          string
	Priority      Priority
	Tasks         int
	// RunTime is the expected run time of one task.
	RunTime time.Duration
	// MaxAttempts is the number of failed attempts after which a task is no longer retried, 0 for no limit.
	MaxAttempts int
	Size        `yaml:",inline"`
}

// New returns a document with the given sections.
func New(sections ...*Section) *Document {
	d := &Document{Sections: make(map[string]*Section, len(sections))}
	for _, s := range sections {
		d.Sections[s.Section] = s
	}
	return d
}

// With returns a copy of the document with the section added, or replaced if one of the same name exists.
func (d *Document) With(s *Section) *Document {
	n := &Document{Sections: maps.Clone(d.Sections)}
	if n.Sections == nil {
		n.Sections = make(map[string]*Section, 1)
	}
	n.Sections[s.Section] = s
	return n
}

// Without returns a copy of the document without the section of the given name.
func (d *Document) Without(name string) *Document {
	n := &Document{Sections: maps.Clone(d.Sections)}
	delete(n.Sections, name)
	return n
}

// SectionNames returns the sorted names of the sections.
func (d *Document) SectionNames() []string {
	return slices.Sorted(maps.Keys(d.Sections))
}

// SortedSections returns the sections, sorted by name.
func (d *Document) SortedSections() []*Section {
	var ss []*Section
	for _, n := range d.SectionNames() {
		ss = append(ss, d.Sections[n])
	}
	return ss
}

// Shards returns the number of placement shards, or 1 if no section sets the number.
func (d *Document) Shards() int {
	for _, s := range d.SortedSections() {
		if s.Placement != nil && s.Placement.Shards > 0 {
			return s.Placement.Shards
		}
	}
	return 1
}

// FindFailureDomain returns the section that declares the failure domain and the index in its FailureDomains, or false
// if there is none.
func (d *Document) FindFailureDomain(name string) (*Section, int, bool) {
	for _, s := range d.SortedSections() {
		i := slices.IndexFunc(s.FailureDomains, func(f FailureDomain) bool { return f.Name == name })
		if i >= 0 {
			return s, i, true
		}
	}
	return nil, 0, false
}
