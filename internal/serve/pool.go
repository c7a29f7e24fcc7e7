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

// try queues a job, or drops it where there is no room.
func (p *pool) try(job func()) {
	select {
	case p.jobs <- job:
	default:
	}
}

func (p *pool) close() {
	close(p.jobs)
	p.wait.Wait()
}
