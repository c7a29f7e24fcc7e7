package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// One machine is of the kind that the job needs, which has pinnedTasks tasks.
	pinnedTasks = 4
	pinnedCPU   = 3000
	pinnedKind  = "b"
	// waveAfter is when the wave is requested, waveWithin its within_s in seconds, after which waveWatch is the time that counts.
	waveAfter  = 5 * time.Second
	waveWithin = 15
	waveWatch  = 20 * time.Second
	// lastRunGrace is the time after the last run of a task that lasts from which on it must run again.
	lastRunGrace = 6 * time.Second
)

// playWave runs a job that lasts on the one machine of its kind, and requests the upkeep of all machines, one at a time.
// With TROUBLE=all it requests the upkeep of all machines at once instead.
func playWave(w *world, trouble bool) (string, error) {
	if os.Getenv("TROUBLE") == "all" {
		return playWaveOfAll(w)
	}
	f, err := newFleet(w)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	f.executors[1].setKind(pinnedKind)
	time.Sleep(2 * heartbeat)
	j := &job{id: fmt.Sprintf("c%015x", 1), Spec: "watch", Steps: []step{{Count: pinnedTasks, CPU: pinnedCPU, MemMB: 1000, EstimateMs: 1000, Persistent: true, MayMiss: 1, Label: pinnedKind}}}
	if !f.submit(longQueue, j) {
		return "", errNotReady
	}
	time.Sleep(waveAfter)
	begin := time.Now()
	if trouble {
		f.requestWave(1)
	}
	counts := begin.Add(waveWithin * time.Second)
	for time.Now().Before(counts.Add(waveWatch)) {
		time.Sleep(2 * time.Second)
		f.record.printf("status of wave 1: %s; client asks for %s: %s", f.log.Value("keyed.status", 0, "wave/1"), j.id, f.state(longQueue, j.id))
	}
	return f.judgeLasting(j, counts), nil
}

// requestWave requests the upkeep of all machines, so many at once.
func (f *fleet) requestWave(most int) {
	var l []string
	for _, e := range f.executors {
		l = append(l, "m-"+e.id)
	}
	f.log.Put("keyed.op", "wave/1", map[string]any{"wave": 1, "machines": l, "within_s": waveWithin, "cap": most})
	f.record.printf("operator requests wave 1: machines %s, within_s %d, cap %d", strings.Join(l, " "), waveWithin, most)
}

// playWaveOfAll runs a job that lasts, two tasks on each machine, and short jobs, and requests the upkeep of all machines at once.
func playWaveOfAll(w *world) (string, error) {
	f, err := newFleet(w)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	j := &job{id: fmt.Sprintf("c%015x", 1), Spec: "watch", Steps: []step{{Count: 2 * executors, CPU: pinnedCPU, MemMB: 1000, EstimateMs: 1000, Persistent: true, MayMiss: 1, MostEach: 2}}}
	if !f.submit(longQueue, j) {
		return "", errNotReady
	}
	var g sync.WaitGroup
	g.Go(func() {
		time.Sleep(waveAfter)
		f.requestWave(executors)
	})
	shorts := f.handInShorts(&g)
	g.Wait()
	time.Sleep(finishTime)
	return f.judgeStarved(shorts), nil
}

// setKind makes an executor one of another kind.
func (e *executor) setKind(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kind = kind
}

// judgeLasting returns which tasks of a job that lasts had no run for lastRunGrace and idleBound from the given time on, though there is
// capacity for them twice over.
func (f *fleet) judgeLasting(j *job, begin time.Time) string {
	now := time.Now()
	var l []string
	for i := range j.Steps[0].Count {
		t := fmt.Sprintf("%s.0.0.%d", j.id, i)
		s := f.longestIdle(func(task string) bool { return task == t }, begin, now)
		if s.length() < lastRunGrace+idleBound {
			continue
		}
		e, free := f.roomFor(j.Steps[0])
		f.record.printf("%s has no run for %.1f s; executor %s has %d thousandths of a core free", t, s.length().Seconds(), e, free)
		if free >= 2*j.Steps[0].CPU {
			l = append(l, fmt.Sprintf("%s for %.1f s", t, s.length().Seconds()))
		}
	}
	if len(l) == 0 {
		return ""
	}
	return "LOST: tasks that last had no run though a sound executor had capacity for them twice over: " + strings.Join(l, ", ")
}

// roomFor returns the executor of the label that a step needs with the most free processor time.
func (f *fleet) roomFor(s step) (string, int) {
	best, free := "", -1
	for _, e := range f.executors {
		e.mu.Lock()
		used, _ := e.used()
		if !e.down && (s.Label == "" || s.Label == e.kind || s.Label == e.rack) && e.cpu-used > free {
			best, free = e.id, e.cpu-used
		}
		e.mu.Unlock()
	}
	return best, free
}
