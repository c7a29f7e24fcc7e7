package record

// Entry is one appended entry of a stream.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Page is the answer to a read of a stream.
type Page struct {
	// First is the oldest offset that the log still holds.
	First uint64
	// Next is the offset after the newest entry.
	Next    uint64
	Entries []Entry
}
