package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// slowAnswer is 60 times the usual answer, for slowFor; slowTimes is how often, with slowPause between.
	slowAnswer = 60 * usualAnswer
	slowFor    = 4500 * time.Millisecond
	slowTimes  = 2
	slowPause  = 4 * time.Second
	cancelTime = 3 * time.Second
	stopBound  = 900 * time.Millisecond
	// cancelAfter is how long after the acceptance of its job a client cancels it; one client of cancelEach does.
	cancelAfter = 30 * time.Millisecond
	cancelEach  = 3
	// submitInterval is the mean time between two jobs.
	submitInterval = 110 * time.Millisecond
)

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	id     string
	status int
	at     time.Time
}

func init() { scenarios["cancel"] = playCancel }

// playCancel lets a third of the clients cancel their jobs soon after they were accepted, while the platform's store is slow, and while
// it is not. An open connection stays with its node, so that each client asks the instance that accepted its job; it asks others only as
// PROTOCOL says.
func playCancel(f *fleet, trouble bool) ([]string, error) {
	for i := range 6 {
		if _, err := f.addMachine(zones[i%len(zones)], "a", 32000); err != nil {
			return nil, err
		}
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	var c callers
	var calmAt time.Time
	for range slowTimes {
		if trouble {
			f.store.setAnswer(slowAnswer)
			f.rec.add("trouble: an answer of the store takes %v", slowAnswer)
		}
		c.work(f, slowFor)
		f.store.setAnswer(usualAnswer)
		calmAt = time.Now()
		f.rec.add("the store answers in %v", usualAnswer)
		c.work(f, slowPause)
	}
	c.clients.Wait()
	// A calm stretch: contact_ms after the trouble, and then cancel_ms and stop_ms twice.
	time.Sleep(time.Until(calmAt.Add(slowPause + 3*time.Second + 2*(cancelTime+stopBound))))
	return f.judgeCancelled(c.acked), nil
}

// callers hand jobs in, some of which they cancel.
type callers struct {
	clients sync.WaitGroup
	count   int

	mu    sync.Mutex
	acked []cancelled
}

// work hands jobs in for some time.
func (c *callers) work(f *fleet, d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(submitInterval/4 + rand.N(submitInterval*3/2)) {
		n := c.count
		c.count++
		c.clients.Go(func() {
			if n%cancelEach != 0 {
				_, _ = f.ask(rand.IntN(instances), http.MethodPost, newID(), job(phase{count: 1, work: stepSpec{Ms: 300, CPU: 200}}))
				return
			}
			if x := f.cancelSoon(rand.IntN(instances)); x != nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.acked = append(c.acked, *x)
			}
		})
	}
}

// cancelSoon hands a job in at an instance and cancels it there soon after it was accepted. It returns nil if the job was not accepted
// or its cancelling not acknowledged.
func (f *fleet) cancelSoon(i int) *cancelled {
	id := newID()
	j := job(phase{count: 1, work: stepSpec{CPU: 200}, lasts: true, estimate: 500})
	if s, _ := f.call(i, http.MethodPost, id, j); s != http.StatusOK {
		return nil
	}
	time.Sleep(cancelAfter)
	s, _ := f.ask(i, http.MethodDelete, id, nil)
	if s != http.StatusOK && s != http.StatusGone {
		return nil
	}
	return &cancelled{id, s, time.Now()}
}

// judgeCancelled checks UNASKED: no task of a job runs cancel_ms and stop_ms after its cancelling was acknowledged, after a stretch of
// calm of that length.
func (f *fleet) judgeCancelled(acked []cancelled) []string {
	var l []string
	gone := 0
	for _, c := range acked {
		if c.status == http.StatusGone {
			gone++
		}
		if f.history.isRunning(c.id) {
			l = append(l, fmt.Sprintf("UNASKED: job %s was accepted, its cancelling acknowledged with %d at %.1f, and it still runs %.1f s later; state %q; its runs:%s",
				c.id, c.status, f.rec.seconds(c.at), time.Since(c.at).Seconds(), f.state(c.id), tell(f.history.of(c.id), f.rec)))
		}
	}
	f.rec.add("%d cancels of accepted jobs were acknowledged, %d of them with 410", len(acked), gone)
	fmt.Printf("%d cancels of accepted jobs were acknowledged, %d of them with 410\n", len(acked), gone)
	return l
}
