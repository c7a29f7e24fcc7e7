package peer

import (
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/placement"
)

// Message is the content of a frame: a request, a response or a heartbeat. At most one field other than ID is set.
type Message struct {
	// ID matches a response to its request. It is 0 if no response is expected.
	ID        uint64     `msgpack:",omitempty"`
	Heartbeat *Heartbeat `msgpack:",omitempty"`
	// State requests or returns the state of a stream.
	State *State `msgpack:",omitempty"`
	// Explain requests or returns the decisions about a subject.
	Explain *Explain `msgpack:",omitempty"`
	// Placement requests or returns the state of the shards that the receiver of the request owns.
	Placement *Placement `msgpack:",omitempty"`
	// Key is a request about one idempotency key, or the response to such a request.
	Key *Key `msgpack:",omitempty"`
	// Keys holds many requests that record keys. The response to Keys is empty.
	Keys []Key `msgpack:",omitempty"`
}

// Heartbeat is the state that an instance sends to all others periodically.
type Heartbeat struct {
	Name string
	// Incarnation is higher for a later process with the same name.
	Incarnation int64
	// Address is the address at which the other instances reach the sender.
	Address string
	// Domain is the failure domain of the sender.
	Domain string
	// DocumentNext is the first offset of the document's stream that the sender has not applied.
	DocumentNext uint64
	// At is the time at which the heartbeat was made, by the sender's clock.
	At time.Time
	// LogConfirmedAt is the time at which the sender's last successful read up to the end of the document's stream began,
	// by the sender's clock.
	LogConfirmedAt time.Time `msgpack:"LogAt"`
	// Shards holds the epochs of the shards that the sender owns, by shard number.
	Shards map[int]uint64 `msgpack:",omitempty"`
	// Leaving means that the sender is shutting down.
	Leaving bool `msgpack:",omitempty"`
	// AllDemands means that Demands holds all positive demands, not only those that changed.
	AllDemands bool `msgpack:"Full,omitempty"`
	// Demands holds the number of slots that the sender needs, by service. A slot allows one request in flight at an
	// upstream.
	Demands map[string]float32 `msgpack:",omitempty"`
	// InFlight holds the sender's number of requests in flight, by upstream. It is set only if the routing policy uses it.
	InFlight map[string]int `msgpack:",omitempty"`
}

// State requests the state of the named stream, or returns this state.
type State struct {
	Stream string
	// Covers is the first offset that the state does not include.
	Covers uint64 `msgpack:",omitempty"`
	// Data is the encoded state. It is empty in a request, and in a response if the state could not be encoded.
	Data []byte `msgpack:",omitempty"`
}

// Explain requests the decisions about a subject, or returns them.
type Explain struct {
	Subject string
	Entries []decision.Entry `msgpack:",omitempty"`
}

// Placement holds the state of the shards that an instance owns.
type Placement struct {
	Shards []OwnedShard `msgpack:",omitempty"`
}

// OwnedShard is the state of one shard as reported by its owner.
type OwnedShard struct {
	// Number is the number of the shard.
	Number int
	placement.Status
}

// KeyVerb is the operation on an idempotency key that a Key message requests.
type KeyVerb string

// Values of KeyVerb.
const (
	// KeyBegin asks the primary of the key, the instance that decides on it, whether the request may run.
	KeyBegin KeyVerb = "Begin"
	// KeyMarkRunning tells a backup of the key, another instance that stores it, that the request may be running.
	KeyMarkRunning KeyVerb = "Note"
	// KeyComplete records that the request has run, if the state is KeyDone, or releases the key, if the state is KeyNew.
	KeyComplete KeyVerb = "End"
	// KeyQuery asks any instance whether it knows the key. An instance without the key stores it as claimed.
	KeyQuery KeyVerb = "Query"
)

// KeyState is the state of an idempotency key at an instance.
type KeyState string

// Values of KeyState.
const (
	// KeyNew means that the instance does not know the key. In the response to KeyBegin, it allows the request to run.
	KeyNew KeyState = "New"
	// KeyRunning means that a request with the key may be running.
	KeyRunning KeyState = "Running"
	// KeyDone means that a request with the key has run or may have run. The response is recorded unless the outcome is
	// unknown.
	KeyDone KeyState = "Done"
	// KeyRefused means that the request must not run now, since an instance cannot decide or does not respond.
	KeyRefused KeyState = "Refused"
)

// Key is a request about an idempotency key, or the response to it.
type Key struct {
	Verb KeyVerb
	Key  string
	// Instance is the name of the instance that received the request from the caller.
	Instance string `msgpack:"Entry"`
	// Deadline is the time until which the request may run.
	Deadline time.Time
	State    KeyState `msgpack:",omitempty"`
	// Reason says why the state is KeyRefused.
	Reason string `msgpack:",omitempty"`
	// Status, Header and Body are the recorded response. Status is 0 if no response is recorded.
	Status int                 `msgpack:",omitempty"`
	Header map[string][]string `msgpack:",omitempty"`
	Body   []byte              `msgpack:",omitempty"`
}
