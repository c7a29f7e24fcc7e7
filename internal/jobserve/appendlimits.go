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
	// partPrefix is the prefix of the keys of the further parts of large records; a key with it is not a valid job ID.
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

// partKey returns the key of a part of a record. The first part has the key of the record, as a record of one part has.
func partKey(key string, part int) string {
	if part == 0 {
		return key
	}
	return partPrefix + key + "/" + strconv.Itoa(part)
}

// baseKey returns the key of the first part of the record to which a key belongs.
func baseKey(k string) string {
	s, ok := strings.CutPrefix(k, partPrefix)
	if !ok {
		return k
	}
	if i := strings.LastIndex(s, "/"); i >= 0 {
		return s[:i]
	}
	return s
}

// jobOfKey returns the ID of the job to which a key of the progress partition belongs, or the key without its part if it belongs to
// none.
func jobOfKey(k string) string { return strings.TrimPrefix(baseKey(k), suspicionPrefix) }

// split returns the parts of a record, each within the limit.
func (l AppendLimits) split(key string, value []byte) []Record {
	n := l.recordBytes() - maxKeyBytes - recordOverheadBytes
	r := []Record{{Key: key, Value: value[:min(n, len(value))]}}
	for len(value) > n {
		value = value[n:]
		r = append(r, Record{Key: partKey(key, len(r)), Value: value[:min(n, len(value))]})
	}
	return r
}

// batches divides records into appends within the limit. The records of a job, which follow one another, stay together, so that
// the store has all of them or none, unless they are too large for one append; the parts of a record stay together in any case.
func (l AppendLimits) batches(r []Record) [][]Record {
	var b [][]Record
	size := 0
	for len(r) > 0 {
		n := leadingGroup(r, jobOfKey)
		if recordBytes(r[:n]) > l.appendBytes() {
			n = leadingGroup(r, baseKey)
		}
		bytes := recordBytes(r[:n])
		if len(b) == 0 || size+bytes > l.appendBytes() {
			b, size = append(b, nil), 0
		}
		b[len(b)-1] = append(b[len(b)-1], r[:n]...)
		size += bytes
		r = r[n:]
	}
	return b
}

// leadingGroup returns the number of the leading records whose keys belong to the same group.
func leadingGroup(r []Record, groupOf func(key string) string) int {
	n := 0
	for n < len(r) && groupOf(r[n].Key) == groupOf(r[0].Key) {
		n++
	}
	return n
}

// recordBytes returns the size of records in an append.
func recordBytes(r []Record) int {
	n := 0
	for _, x := range r {
		n += recordOverheadBytes + len(x.Key) + len(x.Value)
	}
	return n
}
