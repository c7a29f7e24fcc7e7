package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// standing is the number of jobs that last, which come within the time of a poison, and standingTasks the tasks of each. One of
	// them is a share of 0.05.
	standing         = 20
	standingTasks    = 6
	standingInterval = 140 * time.Millisecond
	standingFrom     = 5 * time.Second
	// traffic is the time in which short jobs come, one every shortInterval, of shortSteps steps one after the other.
	traffic       = 25 * time.Second
	shortInterval = 250 * time.Millisecond
	shortSteps    = 4
	shortTask     = 400 * time.Millisecond
	// finishTime is finish_s, and idleBound the time for which a job may have nothing running. The state of each job is asked for
	// during watchTime from finishTime on.
	finishTime = 14 * time.Second
	idleBound  = 3 * time.Second
	watchTime  = 8 * time.Second
)

// The size of the executors of this case.
const (
	executorCPU   = 32000
	executorMemMB = 125000
)

// playStarved hands in short jobs, and jobs that last, of which one can never be done: its tasks fail soon after each start.
func playStarved(w *world, trouble bool) (string, error) {
	f, err := newFleet(w)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	var g sync.WaitGroup
	g.Go(func() { f.handInStanding(trouble) })
	shorts := f.handInShorts(&g)
	g.Wait()
	time.Sleep(finishTime)
	return f.judgeStarved(shorts), nil
}

func (f *fleet) handInStanding(trouble bool) {
	time.Sleep(standingFrom)
	for i := range standing {
		s := step{Count: standingTasks, CPU: 100, MemMB: 100, EstimateMs: 1000, Persistent: true}
		if trouble && i == standing/2 {
			s.duration, s.how = 200*time.Millisecond, "failed"
		}
		f.submit(longQueue, &job{id: fmt.Sprintf("a%015x", i), Spec: "watch", Steps: []step{s}})
		time.Sleep(standingInterval)
	}
}

// handInShorts hands short jobs in for the time of the traffic.
func (f *fleet) handInShorts(g *sync.WaitGroup) []*job {
	var l []*job
	for begin := time.Now(); time.Since(begin) < traffic; time.Sleep(shortInterval) {
		j := &job{id: fmt.Sprintf("b%015x", len(l)), Spec: "check"}
		for i := range shortSteps {
			s := step{Count: 2, CPU: 1000, MemMB: 500, EstimateMs: int(shortTask.Milliseconds()), duration: shortTask, how: "done"}
			if i > 0 {
				s.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		l = append(l, j)
		g.Go(func() { f.submit(shortQueue, j) })
	}
	return l
}

// judgeStarved asks for the short jobs that were accepted, and returns which of them had nothing running for idleBound while the
// executors had capacity for it.
func (f *fleet) judgeStarved(shorts []*job) string {
	from := time.Now()
	f.record.printf("finish_s after the end of the traffic")
	for time.Since(from) < watchTime {
		open := 0
		for _, j := range shorts {
			if f.isCompleted(j, time.Now()) {
				continue
			}
			open++
			f.record.printf("client asks for %s: %s", j.id, f.state(shortQueue, j.id))
		}
		f.record.printf("%d of %d short jobs are not completed", open, len(shorts))
		time.Sleep(time.Second)
	}
	broken, worst := 0, span{}
	for _, j := range shorts {
		if j.accepted.IsZero() {
			continue
		}
		s := f.longestIdle(func(task string) bool { return jobOf(task) == j.id }, from, time.Now())
		if f.isCompleted(j, s.from) || s.length() < idleBound || 2*f.mostUsed(s) > executors*executorCPU {
			continue
		}
		f.record.printf("nothing of %s runs for %.1f s, %d of %d thousandths of a core in use", j.id, s.length().Seconds(), f.mostUsed(s), executors*executorCPU)
		broken++
		if s.length() > worst.length() {
			worst = s
		}
	}
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d short jobs had nothing running for 3 s or more, finish_s after the end of the traffic, the longest for %.1f s", broken, len(shorts), worst.length().Seconds())
}
