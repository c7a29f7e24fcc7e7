package limits

import "time"

// Machine is what a process may use of its machine.
type Machine struct {
	// MemoryBytes includes the bytes that the kernel has received and that the process has not read.
	MemoryBytes int
	Descriptors int
}

// The machine of a process whose settings give none.
const (
	DefaultMemoryBytes = 284 << 20
	DefaultDescriptors = 4100
)

// Limits bounds what the clients of one listener use together, and how slowly each may send and receive. A timeout or rate of 0 is
// no limit.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the maximum of the memory that all requests in progress take.
	Bytes int
	// HeadBytes is the maximum size of the head of a request.
	HeadBytes int
	// HeadTimeout is the time for a head, from the opening of its connection or its first byte.
	HeadTimeout time.Duration
	// IdleTimeout is the time between two requests on a connection.
	IdleTimeout time.Duration
	// StallTimeout is the time without a byte of a body. After it, MinBytesPerSecond holds for the body so far.
	StallTimeout      time.Duration
	MinBytesPerSecond int
	// BodyTimeout is the time that a process waits for a body in all.
	BodyTimeout time.Duration
	// AnswerTimeout is the time for a client to read what a process writes at once, and to end its request after the answer.
	AnswerTimeout time.Duration
	// Patience is the time without progress after which a connection may be closed for want of room.
	Patience time.Duration
	// ReceiveBufferBytes and SendBufferBytes are the sizes of the kernel's buffers of a connection, 0 for its defaults.
	ReceiveBufferBytes int
	SendBufferBytes    int
}

// Default timeouts and sizes. The deadlines of callers are seconds, so that a caller has given up long before a timeout for its body
// passes.
const (
	defaultHeadBytes     = 64 << 10
	defaultHeadTimeout   = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultStallTimeout  = 5 * time.Second
	defaultMinRate       = 1 << 10
	defaultBodyTimeout   = 10 * time.Second
	defaultAnswerTimeout = 10 * time.Second
	defaultPatience      = time.Second
	defaultReceiveBuffer = 16 << 10
	defaultSendBuffer    = 64 << 10
	// Other instances send pings and heartbeats several times a second, and large frames.
	instanceStallTimeout  = 15 * time.Second
	instancePatience      = 2 * time.Second
	instanceReceiveBuffer = 64 << 10
)

// The shares of the sockets, in parts of socketParts. What is left is for the connections that the process opens itself.
const (
	callerSockets   = 12
	instanceSockets = 4
	operatorSockets = 1
	socketParts     = 32
	// fileDescriptors is the number of descriptors that are not for sockets.
	fileDescriptors = 200
	// minConnections is the least number of connections of a listener.
	minConnections = 4
)

// The shares of the memory, as divisors of it. What is left is for the state of the process.
const (
	callerMemory     = 5
	instanceMemory   = 4
	operatorMemory   = 8
	connectionMemory = 4
	jobMemory        = 6
	keyMemory        = 4
	// heapReserve is the share beyond the collector's limit: the kernel's buffers, and what the collector does not count.
	heapReserve = 4
	// connectionBytes is the memory of an open connection without its request: buffers of net/http, two stacks and the kernel's buffer.
	connectionBytes = 56 << 10
)

// Plan divides a machine among the listeners of a process.
type Plan struct {
	Callers   Limits
	Operators Limits
	// Instances is for the connections of other instances.
	Instances Limits
	// JobBytes is the memory of all jobs that are not finished, as their owner has them.
	JobBytes int
	// KeyBytes is the memory of idempotency keys.
	KeyBytes int
	// HeapBytes is the memory from which the collector works harder, so that what is returned is soon free.
	HeapBytes int
}

// NewPlan returns the plan for a machine; a field that is not positive has its default.
func NewPlan(m Machine) Plan {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = DefaultMemoryBytes
	}
	if m.Descriptors <= 0 {
		m.Descriptors = DefaultDescriptors
	}
	sockets := max(m.Descriptors-fileDescriptors, m.Descriptors/2)
	share := func(parts int) int { return max(sockets*parts/socketParts, minConnections) }
	l := Limits{
		HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout,
		StallTimeout: defaultStallTimeout, MinBytesPerSecond: defaultMinRate, BodyTimeout: defaultBodyTimeout,
		AnswerTimeout: defaultAnswerTimeout, Patience: defaultPatience,
		ReceiveBufferBytes: defaultReceiveBuffer, SendBufferBytes: defaultSendBuffer,
	}
	p := Plan{
		Callers: l, Operators: l, JobBytes: m.MemoryBytes / jobMemory, KeyBytes: m.MemoryBytes / keyMemory,
		HeapBytes: m.MemoryBytes - m.MemoryBytes/heapReserve,
	}
	p.Callers.Connections = min(share(callerSockets), max(m.MemoryBytes/connectionMemory/connectionBytes, minConnections))
	p.Callers.Bytes = m.MemoryBytes / callerMemory
	p.Operators.Connections = share(operatorSockets)
	p.Operators.Bytes = m.MemoryBytes / operatorMemory
	p.Instances = Limits{
		Connections: share(instanceSockets), Bytes: m.MemoryBytes / instanceMemory,
		StallTimeout: instanceStallTimeout, AnswerTimeout: defaultAnswerTimeout, Patience: instancePatience,
		ReceiveBufferBytes: instanceReceiveBuffer,
	}
	return p
}
