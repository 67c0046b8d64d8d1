package configstore

// Offer is a version that one entry host tells another of, with its content,
// so that it comes into force also while the store is down.
type Offer struct {
	Head    Head   `msgpack:"h"`
	Content string `msgpack:"c"`
}
