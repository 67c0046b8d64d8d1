package configstore

// Offer is a version with its content, as sent between entry hosts so that it
// can be applied while the store is unavailable.
type Offer struct {
	Head    Head   `msgpack:"h"`
	Content string `msgpack:"c"`
}
