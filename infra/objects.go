package infra

import "context"

// Objects is the platform's object store. Keys are content hashes or other
// names that are written once.
type Objects interface {
	// Put stores an object; writing the same object again is harmless.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object; ErrNotFound if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
}
