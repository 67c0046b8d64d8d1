// Package histories creates records of what callers observe of their requests,
// for package check.
package histories

import (
	"net/http"
	"strconv"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/standin"
)

// SentRecord sets the header that identifies the request to the endpoint, and
// returns the record of its sending to an entry host.
func SentRecord(r *http.Request, x load.Exchange, host string) check.Record {
	r.Header.Set(standin.CallHeader, x.ID)
	return check.Record{Sent: &check.Sent{
		Call: x.ID, Host: host, Digest: check.Digest(x.Body), BookingKey: x.Key,
	}}
}

// AnsweredRecord returns the record of a request's outcome.
func AnsweredRecord(x load.Exchange) check.Record {
	a := &check.Answered{Call: x.ID, Outcome: x.Outcome.String()}
	if x.Outcome != outcome.Answered {
		return check.Record{Answered: a}
	}
	a.EchoDigest = x.Header.Get(standin.EchoHeader)
	a.EchoCall = x.Header.Get(standin.CallHeader)
	a.Length = int64(len(x.Answer))
	a.BodyDigest = check.Digest(x.Answer)
	a.WantDigest = x.Header.Get(standin.AnswerDigestHeader)
	a.WantLength = a.Length
	if n, err := strconv.ParseInt(x.Header.Get("Content-Length"), 10, 64); err == nil {
		a.WantLength = n
	}
	return check.Record{Answered: a}
}
