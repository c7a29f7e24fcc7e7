package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gang is one run of the tasks of a step that work only together.
type gang struct {
	mu      sync.Mutex
	size    int
	present map[string]bool
	// wholeAt is when all were present, and brokenAt when a member ended, zero before that.
	wholeAt  time.Time
	brokenAt time.Time
	finished bool
}

// newsDelay is how long it takes until the others know of the end of a member.
const newsDelay = 20 * time.Millisecond

// over returns how a member ends now, empty if it goes on.
func (g *gang) over(w *work, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.finished:
		return "done"
	case !g.brokenAt.IsZero() && now.Sub(g.brokenAt) > newsDelay:
		return "broken"
	case !g.brokenAt.IsZero():
		return ""
	case g.wholeAt.IsZero() && now.Sub(w.startAt) > gangWait:
		return "alone"
	case !g.wholeAt.IsZero() && now.Sub(g.wholeAt) >= time.Duration(w.step.Ms)*time.Millisecond:
		g.finished = true
		return "done"
	}
	return ""
}

// joinGang adds a run to its gang.
func (p *platform) joinGang(w *work) *gang {
	k := fmt.Sprintf("%s#%d", w.task[:strings.LastIndex(w.task, ".")], w.run)
	p.mu.Lock()
	g := p.gangs[k]
	if g == nil {
		g = &gang{size: w.step.Gang, present: make(map[string]bool)}
		p.gangs[k] = g
	}
	p.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.present[w.task] = true
	if len(g.present) == g.size && g.brokenAt.IsZero() {
		g.wholeAt = time.Now()
	}
	return g
}

// endInGang tells the other members of the end of one.
func (*platform) endInGang(w *work, how string) {
	if w.gang == nil || how == "done" {
		return
	}
	w.gang.mu.Lock()
	defer w.gang.mu.Unlock()
	if w.gang.brokenAt.IsZero() && !w.gang.finished {
		w.gang.brokenAt = time.Now()
	}
}

func (p *platform) leaveGang(w *work) { p.endInGang(w, "crashed") }
