package jobs

import "unsafe"

// taskBytes is the memory that the owner of a job has for each of its tasks: its state, and entries of the lists that the task is in.
const taskBytes = 400

// MemoryBytes returns about how much memory the owner of the job has for it while it is not finished.
func (s *Spec) MemoryBytes() int {
	n := int(unsafe.Sizeof(*s)) + len(s.Payload)
	tasks := 0
	for i := range s.Steps {
		x := &s.Steps[i]
		n += int(unsafe.Sizeof(*x)) + len(x.Label) + len(x.DataRack) + len(x.Image) + len(x.After)*int(unsafe.Sizeof(0))
		tasks += max(x.Tasks, 0)
	}
	return n + tasks*max(s.Times, 1)*taskBytes
}
