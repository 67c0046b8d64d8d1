package gateway

import "bytes"

// requestEnd finds the end of one HTTP/1 request in the bytes written to its
// connection. net/http reports a request as written while bytes of it are still in its
// buffer.
type requestEnd struct {
	// bodyLeft is the number of bytes of the body that have not been written.
	bodyLeft int
	// tail holds the last bytes of an unfinished header, fewer than headerEnd.
	tail       []byte
	headerDone bool
}

// add adds written bytes and reports whether the request is complete.
func (e *requestEnd) add(b []byte) bool {
	if !e.headerDone {
		b = e.addHeader(b)
	}
	if e.headerDone {
		e.bodyLeft -= len(b)
	}
	return e.headerDone && e.bodyLeft <= 0
}

// addHeader adds bytes of the header and returns those that follow it.
func (e *requestEnd) addHeader(b []byte) []byte {
	if len(e.tail) > 0 {
		b = append(e.tail, b...)
	}
	i := bytes.Index(b, headerEnd)
	if i >= 0 {
		e.headerDone, e.tail = true, nil
		return b[i+len(headerEnd):]
	}
	e.tail = bytes.Clone(b[max(0, len(b)-len(headerEnd)+1):])
	return nil
}
