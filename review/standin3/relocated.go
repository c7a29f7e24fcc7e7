package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// Each of the executors runs a task that serves and one that fills; spares is the number of those that are added.
	spares = 4
	// tailBound is target_ms; quietTail is the tail of a task that serves, and busyTail that with the load of the disruption, each without
	// a task that fills. A task that fills adds fillHarm times that, at full pace.
	tailBound = 100
	quietTail = 30
	busyTail  = 60
	fillHarm  = 1.0
	// loadAfter is the time from the addition of executors to the rise of the load, and relocateWatch how long it lasts.
	loadAfter     = 6 * time.Second
	relocateWatch = 25 * time.Second
	mayMiss       = 1
)

// playRelocated runs a job that lasts and fills beside one that serves, and lets the load of the latter rise.
func playRelocated(w *world, trouble bool) (string, error) {
	var busy atomic.Bool
	w.tail = func(e *executor, r *run) int { return w.sampleOf(e, r, busy.Load()) }
	f, err := newFleet(w)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	fill := &job{id: fmt.Sprintf("d%015x", 1), Spec: "fill", Steps: []step{{Count: executors, CPU: 8000, MemMB: 1000, EstimateMs: 1000, Persistent: true, Fills: true, Image: "fill", MayMiss: mayMiss, MostEach: 1}}}
	serve := &job{id: fmt.Sprintf("e%015x", 1), Spec: "serve", Steps: []step{{Count: executors, CPU: 4000, MemMB: 1000, EstimateMs: 1000, Persistent: true, Image: "serve", TargetMs: tailBound, MostEach: 1}}}
	if !f.submit(longQueue, fill) || !f.submit(longQueue, serve) {
		return "", errNotReady
	}
	time.Sleep(3 * time.Second)
	for i := range spares {
		if err := f.addExecutor(executors + i); err != nil {
			return "", err
		}
	}
	time.Sleep(loadAfter)
	if trouble {
		w.record.printf("the load of the tasks that serve rises: their tail is %d ms alone", busyTail)
		busy.Store(true)
	}
	time.Sleep(relocateWatch)
	return w.judgeMissing(fill, mayMiss), nil
}

// addExecutor adds an empty executor.
func (f *fleet) addExecutor(i int) error {
	e, err := newExecutor(f.world, fmt.Sprintf("x-%02d", i), fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("rack-%d", i/2))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.executors = append(f.executors, e)
	f.mu.Unlock()
	f.cloud.add(e)
	f.record.printf("executor %s is added", e.id)
	return nil
}

// sampleOf returns the fifth field of a row: the tail of a task that serves, and the processor time of any other task. e.mu is held.
func (w *world) sampleOf(e *executor, r *run, busy bool) int {
	s, _ := w.stepOf(r.task)
	if s.TargetMs == 0 {
		return s.CPU * r.pace / fullPercent
	}
	tail := float64(quietTail)
	if busy {
		tail = busyTail
	}
	harm := 0.0
	for _, o := range e.running {
		if x, _ := w.stepOf(o.task); x.Fills {
			harm += fillHarm * float64(o.pace) / fullPercent
		}
	}
	return int(tail * (1 + harm))
}

// judgeMissing returns which stop ended a task at work while as many others of its step as may be missed were away by stops.
func (w *world) judgeMissing(j *job, most int) string {
	began, away := make(map[string]time.Time), make(map[string]time.Time)
	worst, at := 0, ""
	for _, e := range w.history() {
		if jobOf(e.task) != j.id {
			continue
		}
		if e.how == "" {
			began[e.task] = e.at
			continue
		}
		atWork := e.at.Sub(began[e.task]) >= startup
		if e.how != "stopped" || !atWork {
			continue
		}
		n := 0
		for t, since := range away {
			if t != e.task && (began[t].Before(since) || e.at.Sub(began[t]) < startup) {
				n++
			}
		}
		if n >= most && n > worst {
			worst, at = n, e.task
		}
		away[e.task] = e.at
	}
	if worst == 0 {
		return ""
	}
	return fmt.Sprintf("AVAIL: the stop of %s ended a task at work while %d others of its step were away by such orders; may_miss is %d", at, worst, most)
}
