package configstore

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
)

// headKey is the key of the row of the newest version.
const headKey = "config/head"

// versionPrefix is the key prefix of the rows of all versions.
const versionPrefix = "config/version/"

// Head describes one accepted configuration.
type Head struct {
	// Version is its number; 0 before the first one is accepted.
	Version uint64 `msgpack:"v"`
	// Hash is the content's SHA-256 in hexadecimal.
	Hash string `msgpack:"h"`
	// AttemptID identifies the accepted attempt. It tells whether a commit whose
	// reply was lost took effect.
	AttemptID string `msgpack:"i"`
	Author    string `msgpack:"a"`
	// AppliedUnixMS is when it was accepted, in Unix milliseconds.
	AppliedUnixMS int64 `msgpack:"t"`
	// ChangedKeys lists the keys that differ from the previous version.
	ChangedKeys []string `msgpack:"d,omitempty"`
}

// versionKey returns the key of a version's row; keys sort newest first.
func versionKey(version uint64) string {
	const width = 20
	text := strconv.FormatUint(^version, 10)
	for len(text) < width {
		text = "0" + text
	}
	return versionPrefix + text
}

// decodeHead decodes a row; an absent row is version 0.
func decodeHead(row infra.Row) (Head, error) {
	var h Head
	if row.Version == 0 {
		return h, nil
	}
	err := msgpack.Unmarshal(row.Value, &h)
	return h, errors.Wrap(err, "decode configuration head")
}
