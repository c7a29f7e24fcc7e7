package serve

import "sync"

// poolWorkers is the number of calls to the platform that run at a time.
const poolWorkers = 64

// pool is a fixed number of goroutines that run calls to the platform.
type pool struct {
	jobs chan func()
	wait sync.WaitGroup
}

func newPool() *pool {
	p := &pool{jobs: make(chan func(), poolWorkers*16)}
	for range poolWorkers {
		p.wait.Go(func() {
			for j := range p.jobs {
				j()
			}
		})
	}
	return p
}

// try queues a job and reports whether there was room.
func (p *pool) try(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

func (p *pool) close() {
	close(p.jobs)
	p.wait.Wait()
}
