package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantknot.dev/currantknot/internal/record"
)

// fullPageBytes is the size of data from which on a page takes no further entry; the last entry may exceed it.
const fullPageBytes = 4 << 20

// log is an append-only log of several streams, kept in memory.
type log struct {
	limiter *rate.Limiter

	// mu guards the fields below.
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	appends   int
	bytes     int
}

// stream is one stream of the log.
type stream struct {
	// first is the offset of the oldest entry that is kept.
	first   uint64
	entries []record.Entry
	// appendedAt holds the time at which each entry was appended.
	appendedAt []time.Time
	// changed is closed and replaced by a new channel with each append.
	changed chan struct{}
}

func newLog(perSecond int, retention time.Duration) *log {
	return &log{
		limiter:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		streams:   make(map[string]*stream),
		retention: retention,
	}
}

// stream returns the named stream, and creates it if necessary; the caller holds mu.
func (l *log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() uint64 { return s.first + uint64(len(s.entries)) }

// append adds an entry and returns its offset, or false if the limit of appends per second is exceeded.
func (l *log) append(name string, data []byte, now time.Time) (uint64, bool) {
	if !l.limiter.AllowN(now, 1) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := s.nextOffset()
	s.entries = append(s.entries, record.Entry{Offset: n, Data: data})
	s.appendedAt = append(s.appendedAt, now)
	l.appends++
	l.bytes += len(data)
	l.expire(s, now)
	close(s.changed)
	s.changed = make(chan struct{})
	return n, true
}

// expire drops entries older than the retention, but never the newest; the caller holds mu.
func (l *log) expire(s *stream, now time.Time) {
	n := 0
	for n < len(s.appendedAt)-1 && l.retention > 0 && now.Sub(s.appendedAt[n]) > l.retention {
		n++
	}
	s.first += uint64(n)
	s.entries = s.entries[n:]
	s.appendedAt = s.appendedAt[n:]
}

// read returns the entries from the offset on; if there are none yet, it waits for an append until the context ends.
func (l *log) read(ctx context.Context, name string, from uint64) record.Page {
	for {
		p, c := l.page(name, from)
		if len(p.Entries) > 0 || p.First > from {
			return p
		}
		select {
		case <-ctx.Done():
			return p
		case <-c:
		}
	}
}

// page returns the entries from the offset on, as many as a page holds, and a channel that the next append closes.
func (l *log) page(name string, from uint64) (record.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s, time.Now())
	p := record.Page{First: s.first, Next: s.nextOffset()}
	if from < s.first {
		return p, s.changed
	}
	b := 0
	for i := from - s.first; i < uint64(len(s.entries)) && b < fullPageBytes; i++ {
		p.Entries = append(p.Entries, s.entries[i])
		b += len(s.entries[i].Data)
	}
	return p, s.changed
}
