package pipenet_test

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/internal/pipenet"
)

// TestDialEndsWithListener guards against tests that end in a deadlock, since a client dials in
// the background while the server is closed.
func TestDialEndsWithListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipenet.Listen()
		read := make(chan error)
		go func() {
			_, err := l.Dial().Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-read; !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v, want %v", err, io.EOF)
		}
	})
}
