package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantknot.dev/currantknot/internal/record"
)

// fullPageBytes is the size of the data at which a page is full. Entries are added until it is reached, so the last entry
// may exceed it.
const fullPageBytes = 4 << 20

// log is an append-only log of several streams, kept in memory.
type log struct {
	limiter *rate.Limiter

	// mu guards the fields below.
	mu      sync.Mutex
	streams map[string]*stream
	// retention is the time for which entries are kept, 0 for no limit.
	retention time.Duration
	// appends and bytes count all appended entries and the bytes of their data, including expired entries.
	appends int
	bytes   int
}

// stream holds the entries of one stream of the log.
type stream struct {
	// first is the offset of the oldest kept entry.
	first   uint64
	entries []record.Entry
	// appendedAt holds the time of the append for each of the entries, in the same order.
	appendedAt []time.Time
	// changed is closed by each append and then replaced by a new channel.
	changed chan struct{}
}

func newLog(appendsPerSecond int, retention time.Duration) *log {
	return &log{
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), appendsPerSecond),
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

// expire drops the entries that are older than the retention, except the newest entry; the caller holds mu.
func (l *log) expire(s *stream, now time.Time) {
	n := 0
	for n < len(s.appendedAt)-1 && l.retention > 0 && now.Sub(s.appendedAt[n]) > l.retention {
		n++
	}
	s.first += uint64(n)
	s.entries = s.entries[n:]
	s.appendedAt = s.appendedAt[n:]
}

// read returns the page of entries from the offset on. If there are none yet, it waits for an append until the context is
// done; if the entry at the offset has expired, it returns an empty page at once.
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

// page returns the entries from the offset on, as many as a page holds, and a channel that the next append closes. The page
// is empty if the entry at the offset has expired.
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
