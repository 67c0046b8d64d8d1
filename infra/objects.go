package infra

import "context"

// Objects is the platform's object store. A key is written once; it is the
// content's hash or another unique name.
type Objects interface {
	// Put stores an object. It is idempotent.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
}
