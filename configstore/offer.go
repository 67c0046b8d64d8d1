package configstore

// Offer is a version with its content, as sent between entry hosts so that it
// can be applied while the store is unavailable.
type Offer struct {
	Head    Head   `msgpack:"h"`
	Content string `msgpack:"c"`
	// From is the name of the host that sent it, empty if it was read from the store.
	From string `msgpack:"-"`
}
