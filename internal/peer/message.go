package peer

import (
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/placement"
)

// Message is one frame; at most one of the pointers is set.
type Message struct {
	// ID pairs an answer with its request, 0 where no answer is wanted.
	ID        uint64     `msgpack:",omitempty"`
	Heartbeat *Heartbeat `msgpack:",omitempty"`
	// State asks for, or answers with, the state of a stream.
	State *State `msgpack:",omitempty"`
	// Explain asks for, or answers with, the decisions about a subject.
	Explain *Explain `msgpack:",omitempty"`
	// Placement asks for, or answers with, the state of the shards that the instance owns.
	Placement *Placement `msgpack:",omitempty"`
	// Key asks the home of an idempotency key, or any instance, about it.
	Key *Key `msgpack:",omitempty"`
	// Keys tells of many keys at once.
	Keys []Key `msgpack:",omitempty"`
}

// Heartbeat tells the other instances what they need to know of the sender.
type Heartbeat struct {
	Name        string
	Incarnation int64
	Address     string
	Domain      string
	// DocumentNext is the first offset of the document's stream that the sender has not applied.
	DocumentNext uint64
	// At is the sender's time, and LogAt its time of the latest answer of the log.
	At    time.Time
	LogAt time.Time
	// Shards holds the epochs of the shards that the sender owns.
	Shards map[int]uint64 `msgpack:",omitempty"`
	// Leaving tells that the sender is shutting down.
	Leaving bool `msgpack:",omitempty"`
	// Full tells that Demands holds all services, and not only those that have changed.
	Full bool `msgpack:",omitempty"`
	// Demands holds the slots that the sender needs, by service.
	Demands map[string]float32 `msgpack:",omitempty"`
	// InFlight holds the sender's requests at each upstream, where the routing policy wants it.
	InFlight map[string]int `msgpack:",omitempty"`
}

// State asks for a stream's state by its name, or answers with it.
type State struct {
	Stream string
	Covers uint64 `msgpack:",omitempty"`
	Data   []byte `msgpack:",omitempty"`
}

// Explain asks for the decisions about a subject, or answers with them.
type Explain struct {
	Subject string
	Entries []decision.Entry `msgpack:",omitempty"`
}

// Placement holds the state of the shards that an instance owns.
type Placement struct {
	Shards []ShardPlacement `msgpack:",omitempty"`
}

// ShardPlacement is the state of one shard.
type ShardPlacement struct {
	Number int
	placement.Status
}

// KeyVerb tells what a Key message wants.
type KeyVerb string

// The verbs of a Key message.
const (
	// KeyBegin asks the home whether a request may run.
	KeyBegin KeyVerb = "Begin"
	// KeyNote tells the witness of a home that a request may run there.
	KeyNote KeyVerb = "Note"
	// KeyEnd tells the home what became of the request.
	KeyEnd KeyVerb = "End"
	// KeyQuery asks any instance whether it knows the key.
	KeyQuery KeyVerb = "Query"
)

// KeyState is what an instance knows of a key.
type KeyState string

// The states of a key.
const (
	// KeyNew tells that the key is not known; as an answer to Begin it lets the request run.
	KeyNew KeyState = "New"
	// KeyRunning tells that a request with the key may be running.
	KeyRunning KeyState = "Running"
	// KeyDone tells that a request with the key was answered or has an unknown outcome.
	KeyDone KeyState = "Done"
	// KeyRefused tells that the instance can't decide.
	KeyRefused KeyState = "Refused"
)

// Key asks or answers about an idempotency key.
type Key struct {
	Verb  KeyVerb
	Key   string
	Entry string
	// Deadline is the instant until which the request may run.
	Deadline time.Time
	State    KeyState `msgpack:",omitempty"`
	Reason   string   `msgpack:",omitempty"`
	// Status, Header and Body hold the remembered answer, Status 0 where there is none.
	Status int                 `msgpack:",omitempty"`
	Header map[string][]string `msgpack:",omitempty"`
	Body   []byte              `msgpack:",omitempty"`
}
