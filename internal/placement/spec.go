package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/pkg/document"
)

// Class ranks tasks: those of a class with a lower number are placed first. canEvict decides which tasks may evict which.
type Class int

// The classes, from the first placed to the first evicted.
const (
	ClassService Class = iota
	ClassUrgent
	ClassNormal
	ClassPatient
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"Service", "Urgent", "Normal", "Patient"}[c]
}

func classOf(p document.Priority) Class {
	switch p {
	case document.PriorityUrgent:
		return ClassUrgent
	case document.PriorityNormal:
		return ClassNormal
	default:
		return ClassPatient
	}
}

// Spec describes a group, which consists of the tasks of one service or job, as the document declares it.
type Spec struct {
	Group string
	Name  string
	// Service is the name of the service, empty for a job.
	Service       string
	ClientAccount string
	Team          string
	Class         Class
	// Count is the number of tasks, and Size the size of each task.
	Count int
	Size  document.Size
	// RunTime is the expected run time of one task, 0 for a service.
	RunTime time.Duration
	// MaxFailures is the number of failed attempts after which a task is not retried, 0 for no limit.
	MaxFailures int
}

// specsOf returns one spec for each service and job in the document.
func specsOf(v *docstore.View) []*Spec {
	var a []*Spec
	for _, s := range v.Document.SortedSections() {
		for _, x := range s.Services {
			a = append(a, &Spec{
				Group: Group(x.Name, v.Generations[x.Name]), Name: x.Name, Service: x.Name,
				ClientAccount: x.ClientAccount, Team: x.Team, Class: ClassService, Count: x.Replicas, Size: x.Size,
			})
		}
		for _, x := range s.Jobs {
			a = append(a, &Spec{
				Group: Group(x.Name, v.Generations[x.Name]), Name: x.Name,
				ClientAccount: x.ClientAccount, Team: x.Team, Class: classOf(x.Priority), Count: x.Tasks, Size: x.Size,
				RunTime: x.RunTime, MaxFailures: x.MaxAttempts,
			})
		}
	}
	return a
}

// TaskShard returns the number of the shard that a task belongs to.
func TaskShard(group string, index, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(group+"/"+strconv.Itoa(index)) % uint64(shards)) //nolint:gosec // the remainder is less than shards
}
