package record

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

// Version is the newest format version that this program reads, and the one that it writes.
const Version = 1

const (
	checksumBytes = 8
	headerBytes   = 1 + checksumBytes
)

// CorruptError reports a log entry that is not a valid envelope.
type CorruptError struct {
	Reason string
}

// Error returns the reason.
func (e *CorruptError) Error() string { return "corrupt log entry: " + e.Reason }

// VersionError reports an envelope with a format version that this program does not support.
type VersionError struct {
	Version int
}

// Error names the version of the entry and the newest supported version.
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

// Decode decodes the binary form of an envelope. It returns a *CorruptError or a *VersionError if that fails.
func Decode(data []byte) (*Envelope, error) {
	if len(data) < headerBytes {
		return nil, &CorruptError{Reason: fmt.Sprintf("entry of %d bytes is shorter than the header", len(data))}
	}
	b := data[headerBytes:]
	if xxhash.Sum64(b) != binary.BigEndian.Uint64(data[1:]) {
		return nil, &CorruptError{Reason: "checksum mismatch"}
	}
	if data[0] > Version {
		return nil, &VersionError{Version: int(data[0])}
	}
	var e Envelope
	if err := msgpackcheck.Unmarshal(b, &e); err != nil {
		return nil, &CorruptError{Reason: err.Error()}
	}
	return &e, nil
}
