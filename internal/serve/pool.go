package serve

import "sync"

// poolWorkers is the number of calls to the platform that run at a time.
const poolWorkers = 64

// pool is a fixed number of goroutines that run calls to the platform.
type pool struct {
	calls   chan func()
	running sync.WaitGroup
}

func newPool() *pool {
	p := &pool{calls: make(chan func(), poolWorkers*16)}
	for range poolWorkers {
		p.running.Go(func() {
			for j := range p.calls {
				j()
			}
		})
	}
	return p
}

// try queues a job, or drops it where there is no room.
func (p *pool) tryRun(job func()) {
	select {
	case p.calls <- job:
	default:
	}
}

func (p *pool) close() {
	close(p.calls)
	p.running.Wait()
}
