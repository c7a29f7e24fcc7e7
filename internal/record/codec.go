package record

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the newest format that this program reads and the one it writes.
const Version = 1

const (
	checksumBytes = 8
	headerBytes   = 1 + checksumBytes
)

// CorruptError reports an entry that is no envelope.
type CorruptError struct {
	Reason string
}

// Error describes the corruption.
func (e *CorruptError) Error() string { return "corrupt log entry: " + e.Reason }

// VersionError reports an envelope of a format that this program does not know.
type VersionError struct {
	Version int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("log entry has format version %d, this program reads up to %d", e.Version, Version)
}

// Encode returns the binary form of the envelope.
func Encode(e *Envelope) ([]byte, error) {
	b, err := msgpack.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode envelope %s: %w", e.ID, err)
	}
	h := make([]byte, headerBytes, headerBytes+len(b))
	h[0] = Version
	binary.BigEndian.PutUint64(h[1:], xxhash.Sum64(b))
	return append(h, b...), nil
}

// Decode reads the binary form, or returns a *CorruptError or *VersionError.
func Decode(data []byte) (*Envelope, error) {
	if len(data) < headerBytes {
		return nil, &CorruptError{Reason: fmt.Sprintf("%d bytes are shorter than a header", len(data))}
	}
	b := data[headerBytes:]
	if xxhash.Sum64(b) != binary.BigEndian.Uint64(data[1:]) {
		return nil, &CorruptError{Reason: "checksum differs"}
	}
	if data[0] > Version {
		return nil, &VersionError{Version: int(data[0])}
	}
	var e Envelope
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return nil, &CorruptError{Reason: err.Error()}
	}
	return &e, nil
}
