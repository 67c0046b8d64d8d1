package httpclient

import "github.com/fireflygate/fireflygate/infra"

// GetRequest is the body of POST /get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply is the response to POST /get and POST /scan.
type RowsReply struct {
	Rows []infra.Row `json:"rows"`
}
