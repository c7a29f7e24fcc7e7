package record

// Entry is one entry of a stream of the log.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Page is the response to a read of a stream. It may hold only the first of the entries that the read requested.
type Page struct {
	// First is the oldest offset of the stream that the log still holds.
	First uint64
	// Next is the offset after the newest entry of the stream.
	Next    uint64
	Entries []Entry
}
