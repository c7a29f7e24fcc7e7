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
// the context ends. A call without a response thus delays the result by no more than retryDelay, and a slow store still has the
// time until the context ends.
func callRepeatedly[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult[T])
	t := time.NewTicker(retryDelay)
	defer t.Stop()
	var last callResult[T]
	for {
		go func() {
			v, err := call(ctx)
			select {
			case results <- callResult[T]{v, err}:
			case <-ctx.Done():
			}
		}()
		if !receiveResponse(ctx, results, t.C, &last) {
			return last.value, last.err
		}
	}
}

// receiveResponse waits until the call should be made again and reports true, or until a response is in last and reports false.
func receiveResponse[T any](ctx context.Context, results chan callResult[T], again <-chan time.Time, last *callResult[T]) bool {
	for {
		select {
		case x := <-results:
			*last = x
			if x.err == nil || isResponse(x.err) {
				return false
			}
		case <-again:
			return true
		case <-ctx.Done():
			if last.err == nil {
				last.err = &StoreError{Call: "repeated", Cause: ctx.Err()}
			}
			return false
		}
	}
}

// isResponse reports whether an error is a response of the store, rather than the lack of one.
func isResponse(err error) bool {
	var e *StoreError
	return !errors.As(err, &e) || e.Status != 0
}
