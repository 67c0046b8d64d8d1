package httpclient

// response is the outcome of one request.
type response struct {
	// body is the complete response body if err is nil.
	body []byte
	// etag is the entity tag of body; empty if the service sent none.
	etag string
	// unmodified is set if the service answered 304: the content still has the
	// entity tag of the request, and body is empty.
	unmodified bool
	// unprocessed is set if the request certainly had no effect: no connection
	// was made, or the service refused it.
	unprocessed bool
	err         error
}
