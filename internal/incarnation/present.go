package incarnation

import "time"

// Order is how an incarnation follows the present one, as far as is known.
type Order uint8

const (
	// Earlier means that the incarnation came before the present one, or may have.
	Earlier Order = iota
	// Same means that it is the present one.
	Same
	// Later means that it came after the present one.
	Later
)

// Present is the latest known incarnation of a worker. The zero value knows none.
type Present struct {
	// Number is the number of the incarnation, 0 if none is known.
	Number int64
	// KnownSince is when the incarnation became known; it had begun by then.
	KnownSince time.Time
	// highest is the highest number of any known incarnation of the worker.
	highest int64
}

// OfResponse returns how an incarnation that responded follows the present one, given when the request was sent. A request that was
// sent before the present one was known may have been answered by an earlier one; then a higher number tells.
func (p Present) OfResponse(number int64, requestedAt time.Time) Order {
	if number == 0 || number == p.Number {
		return p.ofNumber(number)
	}
	if !requestedAt.Before(p.KnownSince) {
		return Later
	}
	return p.ofNumber(number)
}

// OfEntry returns how an incarnation that the platform lists follows the present one. An entry may be old, so that one with a lower
// number counts only if the present incarnation may have ended, for want of responses for as long as its lease.
func (p Present) OfEntry(number int64, mayHaveEnded bool) Order {
	o := p.ofNumber(number)
	if o == Earlier && number != 0 && mayHaveEnded {
		return Later
	}
	return o
}

// ofNumber compares by the number alone. An incarnation that was known before is no later one.
func (p Present) ofNumber(number int64) Order {
	switch {
	case number == p.Number:
		return Same
	case number > p.highest:
		return Later
	}
	return Earlier
}

// Next returns the value once an incarnation has become known as the present one; it changes nothing if that was known.
func (p Present) Next(number int64, now time.Time) Present {
	if number == p.Number {
		return p
	}
	return Present{Number: number, KnownSince: now, highest: max(p.highest, number)}
}
