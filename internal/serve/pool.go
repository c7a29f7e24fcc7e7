package serve

import "sync"

// poolWorkers is the maximum number of calls to the platform that a pool runs at the same time.
const poolWorkers = 64

// pool runs calls to the platform on a fixed number of goroutines.
type pool struct {
	calls   chan func()
	running sync.WaitGroup
}

func newPool() *pool {
	p := &pool{calls: make(chan func(), poolWorkers*16)}
	for range poolWorkers {
		p.running.Go(func() {
			for c := range p.calls {
				c()
			}
		})
	}
	return p
}

// tryEnqueue queues a call, or drops it if the queue is full.
func (p *pool) tryEnqueue(call func()) {
	select {
	case p.calls <- call:
	default:
	}
}

// close runs the queued calls and stops the goroutines.
func (p *pool) close() {
	close(p.calls)
	p.running.Wait()
}
