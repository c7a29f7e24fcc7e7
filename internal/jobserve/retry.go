package jobserve

import (
	"context"
	"errors"
	"time"
)

// retryDelay is the time after which a call without a response is repeated while the first call still waits.
const retryDelay = 300 * time.Millisecond

// callResult is the response to one call.
type callResult[T any] struct {
	value T
	err   error
}

// callRepeatedly makes a call that may safely be repeated, and makes it again every retryDelay until a call gets a response or
// the timeout has passed since the first. A call without a response thus delays the result by no more than retryDelay.
//
// Each call has the whole timeout, also after another has got a response, so that calls to a slow store are not abandoned.
// spawn runs each call in a goroutine.
func callRepeatedly[T any](ctx context.Context, timeout time.Duration, spawn func(func()), call func(context.Context) (T, error)) (T, error) {
	results := make(chan callResult[T])
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := time.NewTicker(retryDelay)
	defer t.Stop()
	x := callResult[T]{err: &StoreError{Call: "repeated", Cause: context.DeadlineExceeded}}
	for again := true; again; {
		spawn(func() {
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			v, err := call(c)
			select {
			case results <- callResult[T]{v, err}:
			case <-ctx.Done():
			}
		})
		again = awaitResponse(ctx, results, t.C, &x)
	}
	return x.value, x.err
}

// inBackground runs f in a goroutine that nothing waits for.
func inBackground(f func()) { go f() }

// awaitResponse reports whether the call should be made again; otherwise the response or the latest error is in x.
func awaitResponse[T any](ctx context.Context, results chan callResult[T], again <-chan time.Time, x *callResult[T]) bool {
	for {
		select {
		case *x = <-results:
			if x.err == nil || isResponse(x.err) {
				return false
			}
		case <-again:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// isResponse reports whether an error is a response of the store, rather than the lack of one.
func isResponse(err error) bool {
	var e *StoreError
	return !errors.As(err, &e) || e.Status != 0
}
