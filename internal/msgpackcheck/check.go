package msgpackcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// MaxLevels is the maximum number of lists and maps within each other.
	MaxLevels = 64
	// MaxElements is the maximum number of elements of a list, or of keys and values of a map. An element may need some
	// hundred times the memory of its encoded form, which may be a single byte.
	MaxElements = 1 << 18
)

// Error reports bytes that are no sequence of msgpack values, or values beyond the limits of this package.
type Error struct {
	Reason string
	// Offset is the offset of the malformed value, in bytes.
	Offset int
}

// Error returns the reason and the offset.
func (e *Error) Error() string { return fmt.Sprintf("msgpack: %s at byte %d", e.Reason, e.Offset) }

// Unmarshal checks b and decodes its first value into v.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 {
		return &Error{Reason: "no value"}
	}
	return UnmarshalSequence(b, v)
}

// UnmarshalSequence checks b and decodes its values into l, one after the other. What is left of l when b ends stays as it is, and
// what follows the values in b is ignored.
func UnmarshalSequence(b []byte, l ...any) error {
	if err := checkValues(b, len(l)); err != nil {
		return err
	}
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	for _, v := range l {
		if r.Len() == 0 {
			return nil
		}
		if err := decode(d, v); err != nil {
			return fmt.Errorf("decode msgpack: %w", err)
		}
	}
	return nil
}

// decode decodes one value. The library panics at some values of another type than that of the field, such as nil for a time.
func decode(d *msgpack.Decoder, v any) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = &Error{Reason: fmt.Sprint(x)}
		}
	}()
	return d.Decode(v)
}

// Check returns an *Error unless b consists of complete values within MaxLevels and MaxElements.
func Check(b []byte) error { return checkValues(b, len(b)) }

// checkValues checks the first n values of b, or all if there are less.
func checkValues(b []byte, n int) error {
	// open holds, by level, how many elements of the list or map are still to come.
	open := make([]int, 0, MaxLevels)
	for at := 0; at < len(b) && (n > 0 || len(open) > 0); {
		x, err := readHeader(b, at)
		if err != nil {
			return err
		}
		if reason := x.fault(len(b) - at); reason != "" {
			return &Error{reason, at}
		}
		if levels := len(open); levels > 0 {
			open[levels-1]--
		} else {
			n--
		}
		if x.elements > 0 {
			if len(open) == MaxLevels {
				return &Error{fmt.Sprintf("more than %d levels", MaxLevels), at}
			}
			open = append(open, x.elements)
		}
		for len(open) > 0 && open[len(open)-1] == 0 {
			open = open[:len(open)-1]
		}
		at += x.bytes + x.payload
	}
	if len(open) > 0 {
		return &Error{"list or map is cut short", len(b)}
	}
	return nil
}

// header is what the first bytes of a value tell: their number, the number of bytes of its payload, and the number of values that
// belong to it.
type header struct {
	bytes    int
	payload  int
	elements int
}

// fault returns why a value is refused that begins the given number of bytes before the end, empty if it is not.
func (x header) fault(rest int) string {
	rest -= x.bytes
	switch {
	case x.payload > rest:
		return "value is cut short"
	case x.elements > MaxElements:
		return fmt.Sprintf("list or map of %d elements", x.elements)
	case x.elements > rest:
		return "list or map is cut short"
	}
	return ""
}

// The numbers of bytes of the code and the subtype of a value.
const (
	codeBytes    = 1
	extTypeBytes = 1
)

// readHeader reads the header of the value at an offset.
func readHeader(b []byte, at int) (header, error) {
	c := b[at]
	switch {
	case msgpcode.IsFixedNum(c):
		return header{bytes: codeBytes}, nil
	case msgpcode.IsFixedString(c):
		return header{bytes: codeBytes, payload: int(c & msgpcode.FixedStrMask)}, nil
	case msgpcode.IsFixedArray(c):
		return header{bytes: codeBytes, elements: int(c & msgpcode.FixedArrayMask)}, nil
	case msgpcode.IsFixedMap(c):
		return header{bytes: codeBytes, elements: 2 * int(c&msgpcode.FixedMapMask)}, nil
	}
	if n, ok := fixedPayload(c); ok {
		return header{bytes: codeBytes, payload: n}, nil
	}
	return readSized(b, at)
}

// fixedPayload returns the number of bytes after the code of a value without a length.
func fixedPayload(c byte) (int, bool) {
	switch c {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, true
	case msgpcode.Uint8, msgpcode.Int8:
		return 1, true
	case msgpcode.Uint16, msgpcode.Int16:
		return 2, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 4, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 8, true
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return extTypeBytes + 1<<(c-msgpcode.FixExt1), true
	}
	return 0, false
}

// readSized reads the header of a value that begins with its code and a length.
func readSized(b []byte, at int) (header, error) {
	c := b[at]
	size := lengthBytes(c)
	if size == 0 {
		return header{}, &Error{fmt.Sprintf("unknown code %#x", c), at}
	}
	if len(b)-at < codeBytes+size {
		return header{}, &Error{"length is cut short", at}
	}
	n := readLength(b[at+codeBytes : at+codeBytes+size])
	x := header{bytes: codeBytes + size}
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		x.elements = n
	case msgpcode.Map16, msgpcode.Map32:
		x.elements = 2 * n
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		x.payload = extTypeBytes + n
	default:
		x.payload = n
	}
	return x, nil
}

// lengthBytes returns the number of bytes of the length after a code, 0 if the code is unknown.
func lengthBytes(c byte) int {
	switch c {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		return 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		return 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		return 4
	}
	return 0
}

// readLength reads a length of 1, 2 or 4 bytes.
func readLength(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	}
	return int(binary.BigEndian.Uint32(b))
}
