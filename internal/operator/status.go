package operator

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

func status(b Backend) endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return b.Status(), nil }
}
