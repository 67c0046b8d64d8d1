package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Script is what a client does on one connection. It calls pass after it has sent all
// that it sends, or after each response if it repeats a request, and returns when the
// connection has ended.
type Script func(conn net.Conn, pass func())

// Request is the request of a script.
type Request struct {
	Method, Host, Path string
	// Header holds further header lines, each with its line end.
	Header string
}

// head returns the start of the request's header, without its end.
func (r Request) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.Method, r.Path, r.Host, r.Header)
}

// HoldBody announces a body of the size, sends it in pieces but for the last missing
// bytes, and keeps the connection open.
func HoldBody(r Request, size, missing, piece int) Script {
	text := body(size)
	return func(conn net.Conn, pass func()) {
		if !send(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", r.head(), size)) {
			return
		}
		for rest := text[:size-missing]; len(rest) > 0; {
			n := min(piece, len(rest))
			if !send(conn, rest[:n]) {
				return
			}
			rest = rest[n:]
		}
		awaitReceived(conn)
		pass()
		await(conn)
	}
}

// DripBody is HoldBody, and then sends a byte a second.
func DripBody(r Request, size, missing int) Script {
	text := body(size)
	return func(conn net.Conn, pass func()) {
		if !send(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.head(), size, text[:size-missing])) {
			return
		}
		awaitReceived(conn)
		pass()
		for i := size - missing; i < size-1; i++ {
			<-time.After(time.Second) // the rate of the script
			if !send(conn, text[i:i+1]) {
				return
			}
		}
		await(conn)
	}
}

// HoldChunks sends a body in chunks of a size, without the last chunk, and keeps the
// connection open.
func HoldChunks(r Request, size, chunk int) Script {
	text := body(size)
	var b strings.Builder
	b.WriteString(r.head() + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := text; len(rest) > 0; {
		n := min(chunk, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	whole := b.String()
	return func(conn net.Conn, pass func()) {
		if !send(conn, whole) {
			return
		}
		awaitReceived(conn)
		pass()
		await(conn)
	}
}

// HoldHeader sends a header of a size without its end, and keeps the connection open.
func HoldHeader(r Request, size int) Script {
	text := r.head() + "X-Filler: "
	text += strings.Repeat("a", max(size-len(text), 0))
	return func(conn net.Conn, pass func()) {
		if !send(conn, text) {
			return
		}
		awaitReceived(conn)
		pass()
		await(conn)
	}
}

// Connect sends nothing.
func Connect() Script {
	return func(conn net.Conn, pass func()) {
		pass()
		await(conn)
	}
}

// Repeat sends a request with a body again and again, and reads the responses.
func Repeat(r Request, text string) Script {
	return RepeatEach(func() Request { return r }, text)
}

// RepeatEach is Repeat with a request that may differ each time.
func RepeatEach(next func() Request, text string) Script {
	return func(conn net.Conn, pass func()) {
		in := bufio.NewReader(conn)
		for {
			whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", next().head(), len(text), text)
			// The response may come before the host has read the whole request.
			sent := make(chan bool, 1)
			go func() { sent <- send(conn, whole) }()
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close() // it was read whole, or the connection has ended
			}
			if err != nil || resp.Close || !<-sent {
				return
			}
			pass()
		}
	}
}

// ReadNothing sends requests without a body one after another, and reads no response. A
// pass ends when no more can be sent.
func ReadNothing(r Request) Script {
	const batch = 64
	text := strings.Repeat(r.head()+"\r\n", batch)
	return func(conn net.Conn, pass func()) {
		for {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // a failure shows at the next write
			if !send(conn, text) {
				break
			}
		}
		pass()
		// The end of the connection shows in its state alone, as responses stay unread.
		for {
			<-time.After(time.Second) // the rate of the script
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := io.WriteString(conn, r.head()); err != nil && !isTimeout(err) {
				return
			}
		}
	}
}

// body returns a JSON object of a size that needs no more space decoded than encoded.
func body(size int) string {
	const start, end = `{"spec":"`, `"}`
	return start + strings.Repeat("a", max(size-len(start)-len(end), 0)) + end
}

// send writes a text and reports whether it succeeded.
func send(conn net.Conn, text string) bool {
	_, err := io.Copy(conn, bytes.NewReader([]byte(text)))
	return err == nil
}

// await reads until the connection ends.
func await(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) } // the script ends with it

// awaitReceived waits until the host's kernel has received all that was sent, or the
// connection has ended.
func awaitReceived(conn net.Conn) {
	for unsent(conn) > 0 {
		<-time.After(sampleInterval) // the interval between two looks at the connection
	}
}

// unsent returns how many bytes the other end hasn't acknowledged, 0 if the connection
// isn't plain TCP or has ended.
func unsent(conn net.Conn) int {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	control := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil || control != nil || hasEnded(raw) {
		return 0
	}
	return n
}

// hasEnded reports whether a connection is no longer established.
func hasEnded(raw syscall.RawConn) bool {
	const established = 1
	ended := true
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != established
	})
	return ended
}

// isTimeout reports whether an operation has reached its deadline.
func isTimeout(err error) bool {
	e, ok := err.(net.Error) //nolint:errorlint // errors of net aren't wrapped
	return ok && e.Timeout()
}
