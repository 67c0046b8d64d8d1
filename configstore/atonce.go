package configstore

// atOnce puts each version into force as soon as it is read. It implements Receiver.
type atOnce struct{ *Watcher }

// Accepted implements Receiver.
func (atOnce) Accepted(uint64) {}

// Confirmed implements Receiver.
func (atOnce) Confirmed(uint64) {}

// ToRecord implements Receiver.
func (atOnce) ToRecord(uint64) (uint64, bool) { return 0, false }

// Held implements Receiver.
func (a atOnce) Held() (uint64, bool) { return a.Version() }

// Hold implements Receiver.
func (a atOnce) Hold(o Offer) { a.ApplyIfNewer(o) }
