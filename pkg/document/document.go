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

// Section is the part of the document that one team owns.
type Section struct {
	Section        string
	Owner          string
	Placement      *Placement
	FailureDomains []FailureDomain
	Instances      []Instance
	Quotas         []Quota
	Services       []Service
	Jobs           []Job

	places map[string]Place
}

// Placement holds the settings of the scheduler that hold for the whole document.
type Placement struct {
	Shards int
}

// Size is an amount of processors, memory in MiB and accelerators.
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

// Fits reports whether the size is no larger than o in any dimension.
func (s Size) Fits(o Size) bool {
	return s.Processors <= o.Processors && s.MemoryMiB <= o.MemoryMiB && s.Accelerators <= o.Accelerators
}

// FailureDomain is a set of instances that may fail or be taken out together.
type FailureDomain struct {
	Name         string
	Region       string
	OutOfService bool
	Reason       string
}

// Instance is a machine that runs tasks.
type Instance struct {
	Name          string
	FailureDomain string
	Rack          string
	Size          `yaml:",inline"`
}

// Quota bounds the size that the tasks of one team may hold at a time.
type Quota struct {
	Team string
	Size `yaml:",inline"`
}

// Service is a latency-critical service whose replicas answer requests.
type Service struct {
	Name              string
	ClientAccount     string
	Team              string
	PathPrefix        string
	Bound             time.Duration
	Replicas          int
	IdempotentMethods []string
	RequestsPerSecond int
	Size              `yaml:",inline"`
}

// IsIdempotent reports whether a request with this method may be sent again.
func (s *Service) IsIdempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Priority orders tasks; a higher priority may evict a lower one.
type Priority string

// The priorities of batch jobs, from the highest to the lowest.
const (
	PriorityUrgent  Priority = "Urgent"
	PriorityNormal  Priority = "Normal"
	PriorityPatient Priority = "Patient"
)

// Job is a set of batch tasks that run once each.
type Job struct {
	Name          string
	ClientAccount string
	Team          string
	Priority      Priority
	Tasks         int
	RunTime       time.Duration
	MaxAttempts   int
	Size          `yaml:",inline"`
}

// New returns a document of the given sections.
func New(sections ...*Section) *Document {
	d := &Document{Sections: make(map[string]*Section, len(sections))}
	for _, s := range sections {
		d.Sections[s.Section] = s
	}
	return d
}

// With returns a document in which the section stands in place of its namesake.
func (d *Document) With(s *Section) *Document {
	n := &Document{Sections: maps.Clone(d.Sections)}
	if n.Sections == nil {
		n.Sections = make(map[string]*Section, 1)
	}
	n.Sections[s.Section] = s
	return n
}

// Without returns a document that lacks the section.
func (d *Document) Without(name string) *Document {
	n := &Document{Sections: maps.Clone(d.Sections)}
	delete(n.Sections, name)
	return n
}

// Names returns the names of the sections in order.
func (d *Document) Names() []string {
	return slices.Sorted(maps.Keys(d.Sections))
}

// All returns the sections in the order of their names.
func (d *Document) All() []*Section {
	var a []*Section
	for _, n := range d.Names() {
		a = append(a, d.Sections[n])
	}
	return a
}

// Shards returns the number of placement shards, 1 where no section sets it.
func (d *Document) Shards() int {
	for _, s := range d.All() {
		if s.Placement != nil && s.Placement.Shards > 0 {
			return s.Placement.Shards
		}
	}
	return 1
}

// FindFailureDomain returns the failure domain and the section that holds it.
func (d *Document) FindFailureDomain(name string) (*Section, int, bool) {
	for _, s := range d.All() {
		i := slices.IndexFunc(s.FailureDomains, func(f FailureDomain) bool { return f.Name == name })
		if i >= 0 {
			return s, i, true
		}
	}
	return nil, 0, false
}
