package jobserve

import (
	"strconv"
	"strings"
)

// AppendLimits bounds what the store takes in one append; 0 stands for the default.
type AppendLimits struct {
	// RecordBytes is the maximum size of a record, key included, and AppendBytes that of all records together.
	RecordBytes int
	AppendBytes int
}

const (
	defaultRecordBytes = 256 << 10
	defaultAppendBytes = 1 << 20
	// recordOverheadBytes is the most that a record has beyond its key and value.
	recordOverheadBytes = 8
	// maxKeyBytes is the maximum size of a key.
	maxKeyBytes = 255
	// partPrefix is the prefix of the keys of the further parts of large progress records; a key with it is not a valid job ID.
	partPrefix = "part/"
)

func (l AppendLimits) recordBytes() int {
	if l.RecordBytes == 0 {
		return defaultRecordBytes
	}
	return l.RecordBytes
}

func (l AppendLimits) appendBytes() int {
	if l.AppendBytes == 0 {
		return defaultAppendBytes
	}
	return l.AppendBytes
}

// partKey returns the key of a part of a job's progress. The first part has the job's ID, as progress of one part has.
func partKey(id string, part int) string {
	if part == 0 {
		return id
	}
	return partPrefix + id + "/" + strconv.Itoa(part)
}

// jobOfKey returns the ID of the job to which a key of the progress partition belongs, or the key if it belongs to none.
func jobOfKey(k string) string {
	if s, ok := strings.CutPrefix(k, partPrefix); ok {
		id, _, _ := strings.Cut(s, "/")
		return id
	}
	return strings.TrimPrefix(k, suspicionPrefix)
}

// split returns the records of a job's progress, each within the limit.
func (l AppendLimits) split(id string, progress []byte) []Record {
	n := l.recordBytes() - maxKeyBytes - recordOverheadBytes
	r := []Record{{Key: id, Value: progress[:min(n, len(progress))]}}
	for len(progress) > n {
		progress = progress[n:]
		r = append(r, Record{Key: partKey(id, len(r)), Value: progress[:min(n, len(progress))]})
	}
	return r
}

// batches divides records into appends within the limit. The records of a job, which follow one another, stay together, so that
// the store has all of them or none.
func (l AppendLimits) batches(r []Record) [][]Record {
	var b [][]Record
	size := 0
	for len(r) > 0 {
		n, bytes := leadingGroup(r)
		if len(b) == 0 || size+bytes > l.appendBytes() {
			b, size = append(b, nil), 0
		}
		b[len(b)-1] = append(b[len(b)-1], r[:n]...)
		size += bytes
		r = r[n:]
	}
	return b
}

// leadingGroup returns the number of the leading records that belong to the same job, and their size.
func leadingGroup(r []Record) (n, bytes int) {
	for n < len(r) && jobOfKey(r[n].Key) == jobOfKey(r[0].Key) {
		bytes += recordOverheadBytes + len(r[n].Key) + len(r[n].Value)
		n++
	}
	return n, bytes
}
