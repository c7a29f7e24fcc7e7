package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// bytesPerKB converts the sizes in /proc/PID/status.
const bytesPerKB = 1 << 10

// Usage is the most that a process has used of each resource.
type Usage struct {
	// MemoryBytes is the resident memory with the received bytes that the process has not read.
	MemoryBytes int
	// UnreadBytes is the most of the received bytes that the process has not read.
	UnreadBytes int
	Descriptors int
}

// Process samples a running process.
type Process struct {
	PID int

	mu   sync.Mutex
	peak Usage
}

// Watch samples the process until the returned function is called, which returns the first error of a sample. A process that has
// exited is an error.
func (p *Process) Watch(ctx context.Context) (stop func() error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for ctx.Err() == nil {
			if _, err := p.Sample(); err != nil {
				done <- err
				return
			}
			select {
			case <-t.C:
			case <-ctx.Done():
			}
		}
		done <- nil
	}()
	return func() error {
		cancel()
		return <-done
	}
}

// Peak returns the most that any sample had of each resource.
func (p *Process) Peak() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// Sample returns what the process uses now.
func (p *Process) Sample() (Usage, error) {
	inodes, n, err := p.sockets()
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(inodes)
	if err != nil {
		return Usage{}, err
	}
	now, highest, err := p.memory()
	if err != nil {
		return Usage{}, err
	}
	u := Usage{now + unread, unread, n}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.MemoryBytes = max(p.peak.MemoryBytes, u.MemoryBytes, highest)
	p.peak.UnreadBytes = max(p.peak.UnreadBytes, u.UnreadBytes)
	p.peak.Descriptors = max(p.peak.Descriptors, u.Descriptors)
	return u, nil
}

// memory returns the resident memory of the process now and at its highest.
func (p *Process) memory() (now, highest int, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, 0, fmt.Errorf("read memory of process %d: %w", p.PID, err)
	}
	field := func(name string) int {
		_, v, _ := strings.Cut(string(b), name+":")
		v, _, _ = strings.Cut(v, " kB")
		n, _ := strconv.Atoi(strings.TrimSpace(v))
		return n * bytesPerKB
	}
	now, highest = field("VmRSS"), field("VmHWM")
	if now == 0 {
		return 0, 0, fmt.Errorf("process %d has no memory: it has exited", p.PID)
	}
	return now, highest, nil
}

// sockets returns the inodes of the sockets of the process, and the number of all of its descriptors.
func (p *Process) sockets() (map[string]bool, int, error) {
	d := fmt.Sprintf("/proc/%d/fd", p.PID)
	l, err := os.ReadDir(d)
	if err != nil {
		return nil, 0, fmt.Errorf("read descriptors of process %d: %w", p.PID, err)
	}
	m := make(map[string]bool)
	for _, e := range l {
		// A descriptor may have been closed since the list was read.
		to, err := os.Readlink(filepath.Join(d, e.Name()))
		if i, ok := strings.CutPrefix(to, "socket:["); err == nil && ok {
			m[strings.TrimSuffix(i, "]")] = true
		}
	}
	return m, len(l), nil
}

// The fields of a line in /proc/net/tcp that hold the queues and the inode of a socket.
const (
	queuesField = 4
	inodeField  = 9
)

// unreadBytes returns the bytes that the kernel has received for the sockets with the given inodes.
func unreadBytes(inodes map[string]bool) (int, error) {
	n := 0
	for _, f := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		b, err := os.ReadFile(f)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("read sockets: %w", err)
		}
		s := bufio.NewScanner(bytes.NewReader(b))
		for s.Scan() {
			l := strings.Fields(s.Text())
			if len(l) <= inodeField || !inodes[l[inodeField]] || l[3] == "0A" {
				continue
			}
			_, unread, _ := strings.Cut(l[queuesField], ":")
			x, err := strconv.ParseInt(unread, 16, 64)
			if err != nil {
				return 0, fmt.Errorf("read sockets: %w", err)
			}
			n += int(x)
		}
	}
	return n, nil
}
