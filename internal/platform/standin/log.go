package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantknot.dev/currantknot/internal/record"
)

// pageBytes bounds the data of one page.
const pageBytes = 4 << 20

// log holds streams in memory.
type log struct {
	limit *rate.Limiter

	// mu guards the fields below.
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
	appends   int
	bytes     int
}

type stream struct {
	first   uint64
	entries []record.Entry
	at      []time.Time
	changed chan struct{}
}

func newLog(perSecond int, retention time.Duration) *log {
	return &log{
		limit:     rate.NewLimiter(rate.Limit(perSecond), perSecond),
		streams:   make(map[string]*stream),
		retention: retention,
	}
}

// stream returns the named stream; the caller holds mu.
func (l *log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.entries)) }

// append returns the offset of the new entry, or false beyond the limit of appends.
func (l *log) append(name string, data []byte, now time.Time) (uint64, bool) {
	if !l.limit.AllowN(now, 1) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := s.next()
	s.entries = append(s.entries, record.Entry{Offset: n, Data: data})
	s.at = append(s.at, now)
	l.appends++
	l.bytes += len(data)
	l.expire(s, now)
	close(s.changed)
	s.changed = make(chan struct{})
	return n, true
}

// expire drops entries older than the retention, but never the newest.
func (l *log) expire(s *stream, now time.Time) {
	n := 0
	for n < len(s.at)-1 && l.retention > 0 && now.Sub(s.at[n]) > l.retention {
		n++
	}
	s.first += uint64(n)
	s.entries = s.entries[n:]
	s.at = s.at[n:]
}

// read returns entries from the offset on, and waits for news until the context ends.
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

func (l *log) page(name string, from uint64) (record.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s, time.Now())
	p := record.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return p, s.changed
	}
	b := 0
	for i := from - s.first; i < uint64(len(s.entries)) && b < pageBytes; i++ {
		p.Entries = append(p.Entries, s.entries[i])
		b += len(s.entries[i].Data)
	}
	return p, s.changed
}
