package httpclient

// answer is what became of one request.
type answer struct {
	// body is the whole answer, when err is nil.
	body []byte
	// etag is the entity tag of body, empty if the service gives none.
	etag string
	// unmodified is set when the service says that what it sent last, with
	// the entity tag named, still holds. There is no body then.
	unmodified bool
	// unprocessed is set when the request surely had no effect: no byte of
	// it was sent, or the service refused it.
	unprocessed bool
	err         error
}
