package main

import (
	"fmt"
	"strings"
	"time"
)

// The traffic of playImages: jobs that fill come each fillPause for fillTime. From burstFrom on they come 2.6 times as often, for
// burstTime.
const (
	services   = 60
	fillPause  = 400 * time.Millisecond
	fillTime   = 12 * time.Second
	burstFrom  = 4 * time.Second
	burstTime  = 4 * time.Second
	burstPause = fillPause * 10 / 26
	targetMs   = 20
)

// playImages hands in jobs of many images, with a burst of those that fill.
func playImages(w *world, trouble bool) error {
	f, err := newFleet(w, 10)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(14, 2, 64000, 256000)
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for n := range services {
		if !f.submit(&job{Phases: []phase{{Count: 1, CPU: 1000, MemoryMB: 500, Persistent: true, Image: imageName("web", n), TargetMs: targetMs}}}) {
			return errNotRun
		}
	}
	time.Sleep(3 * time.Second)
	f.handInFills(trouble)
	time.Sleep(4 * time.Second)
	small := &job{Phases: []phase{{Count: 2, CPU: 1000, MemoryMB: 500, EstimateMs: 500}}, work: []time.Duration{500 * time.Millisecond}}
	if !f.submit(small) {
		return errNotRun
	}
	time.Sleep(finishTime)
	f.watchIdle(small, 0, 10*time.Second)
	f.state(small)
	return nil
}

// handInFills hands in the jobs that fill.
func (f *fleet) handInFills(burst bool) {
	n := 0
	for start := time.Now(); time.Since(start) < fillTime; n++ {
		f.submit(&job{Phases: []phase{{Count: 1, CPU: 500, MemoryMB: 500, EstimateMs: 2000, Fills: true, Image: imageName("batch", n)}}, work: []time.Duration{2 * time.Second}})
		pause := fillPause
		if at := time.Since(start); burst && at >= burstFrom && at < burstFrom+burstTime {
			pause = burstPause
		}
		time.Sleep(pause)
	}
	f.line("%d jobs that fill were handed in", n)
}

// imageName is the name of an image as registries have it.
func imageName(kind string, n int) string {
	return fmt.Sprintf("registry.example/%s/app-%03d@sha256:%s", kind, n, strings.Repeat("0123456789abcdef", 4))
}
