package ownership

import "github.com/fireflygate/fireflygate/infra"

// Action is a request of a Machine to its driver.
type Action interface{ action() }

// Commit requests a transaction. The driver passes its result to
// Machine.Committed, exactly once.
type Commit struct {
	ID uint64
	Tx infra.Transaction
}

// Read requests rows. If Full is set, the driver scans SessionPrefix and
// ShardPrefix and passes the rows to Machine.RowsRead. Otherwise it gets the
// rows of Keys, scans Limit rows of ShardPrefix after the key After, and passes
// them to Machine.KeysRead. It passes a failure to Machine.ReadFailed. It calls
// one of these exactly once.
type Read struct {
	ID    uint64
	Full  bool
	Keys  []string
	After string
	Limit int
}

// AskPromise requests a promise from a peer. The driver passes the reply to
// Machine.PromiseReplied, or a failure to Machine.AskFailed, exactly once.
type AskPromise struct {
	ID      uint64
	Host    string
	Request PromiseRequest
}

// AskStopped asks a previous owner whether it has stopped. The driver passes
// the reply to Machine.StoppedReplied, or a failure to Machine.AskFailed,
// exactly once.
type AskStopped struct {
	ID      uint64
	Host    string
	Request StoppedRequest
}

// Notify sends owner updates to a peer's Machine.Notified. Its delivery is not
// required for safety.
type Notify struct {
	Host    string
	Updates []OwnerUpdate
}

// Drain requests a call of Machine.Drained once no request is in flight for a
// shard whose share has become None.
type Drain struct {
	Shard string
	Epoch uint64
}

// Report describes an event to be logged.
type Report struct {
	Kind  ReportKind
	Shard string
	Epoch uint64
	// Host is the other host involved, if any.
	Host string
}

// ReportKind is the kind of event of a Report.
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
