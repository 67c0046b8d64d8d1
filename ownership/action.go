package ownership

import "github.com/fireflygate/fireflygate/infra"

// Action is something that a Machine asks its driver to do.
type Action interface{ action() }

// Commit asks for a transaction. Its result goes to Machine.Committed, once.
type Commit struct {
	ID uint64
	Tx infra.Transaction
}

// Read asks for rows. If Full is set: for a scan of SessionPrefix and one of
// ShardPrefix, whose rows go to Machine.RowsRead. Otherwise: for the rows of
// Keys and for Limit rows of ShardPrefix after the key After, which go to
// Machine.KeysRead. A failure goes to Machine.ReadFailed. All happen once.
type Read struct {
	ID    uint64
	Full  bool
	Keys  []string
	After string
	Limit int
}

// AskPromise asks a peer for a promise. The reply goes to
// Machine.PromiseReplied, or a failure to Machine.AskFailed, once.
type AskPromise struct {
	ID      uint64
	Host    string
	Request PromiseRequest
}

// AskStopped asks a previous owner whether it has stopped. The reply goes to
// Machine.StoppedReplied, or a failure to Machine.AskFailed, once.
type AskStopped struct {
	ID      uint64
	Host    string
	Request StoppedRequest
}

// Notify tells a peer of owners, for its Machine.Notified. No bound depends on
// its arrival.
type Notify struct {
	Host    string
	Updates []OwnerUpdate
}

// Drain asks for Machine.Drained once no request is in flight under a shard
// whose share is now none.
type Drain struct {
	Shard string
	Epoch uint64
}

// Report tells what happened, for the log.
type Report struct {
	Kind  ReportKind
	Shard string
	Epoch uint64
	// Host is the other host concerned, if any.
	Host string
}

// ReportKind is what a Report tells of.
type ReportKind uint8

// The kinds of reports.
const (
	SessionOpened ReportKind = iota + 1
	SessionReplaced
	ShardOwned
	ShardSeized
	ShardConfirmed
	ShardLost
	ShardMoving
	ShardReleased
)

func (Commit) action()     {}
func (Read) action()       {}
func (AskPromise) action() {}
func (AskStopped) action() {}
func (Notify) action()     {}
func (Drain) action()      {}
func (Report) action()     {}
