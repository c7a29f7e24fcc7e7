package main

import (
	"time"
)

func init() { scenarios["gang"] = playGang }

// playGang lets two of 24 executors fail all that they start for a while, and hands gangs of four tasks in meanwhile.
func playGang(f *fleet, trouble bool) ([]string, error) {
	const greyFor = 6500 * time.Millisecond
	var l []*executor
	for i := range 24 {
		// Two executors are larger, so that they have most processors free.
		cpu := 16000
		if i < 2 {
			cpu = 24000
		}
		e, err := f.addMachine(zones[i%len(zones)], "a", cpu)
		if err != nil {
			return nil, err
		}
		l = append(l, e)
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	setGrey := func(grey bool) {
		for _, e := range l[:2] {
			e.mu.Lock()
			e.grey = grey && trouble
			e.mu.Unlock()
		}
		f.rec.add("trouble: executors %s and %s fail all that they start: %v", l[0].name(), l[1].name(), grey && trouble)
	}
	setGrey(true)
	names := make(map[string]string)
	for range 3 {
		id := newID()
		names[id] = "job of a gang of four"
		if err := f.submit(id, job(phase{count: 4, work: stepSpec{Ms: 1500, CPU: 3000, Gang: 4}, apart: 1})); err != nil {
			return nil, err
		}
		time.Sleep(greyFor / 3)
	}
	setGrey(false)
	time.Sleep(14 * time.Second)
	return f.judgeFailed(names), nil
}
