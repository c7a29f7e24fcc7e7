package operator

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

func status(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return b.Status(ctx), nil }
}
