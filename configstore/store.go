package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// resolveReads is the number of reads that resolve makes.
const resolveReads = 5

// resolvePause is the pause between two reads of resolve.
const resolvePause = 100 * time.Millisecond

// Store reads and changes the configuration in the platform's table and object
// store.
type Store struct {
	Table   infra.Table
	Objects infra.Objects
	// Now returns the wall-clock time recorded with a version.
	Now func() time.Time
}

// Head reads the newest version; version 0 if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	rows, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(rows[0])
	return head, rows[0].Version, err
}

// Content reads the text of a version and verifies its hash.
func (s *Store) Content(ctx context.Context, h Head) (string, error) {
	if h.Version == 0 {
		return "", nil
	}
	data, err := s.Objects.Get(ctx, objectKey(h.Hash))
	if err != nil {
		return "", err
	}
	if Hash(string(data)) != h.Hash {
		return "", errors.Newf("configuration %d: content does not match its hash", h.Version)
	}
	return string(data), nil
}

// Versions reads up to limit versions, newest first.
func (s *Store) Versions(ctx context.Context, limit int) ([]Head, error) {
	rows, err := s.Table.Scan(ctx, versionPrefix, "", limit)
	if err != nil {
		return nil, err
	}
	heads := make([]Head, 0, len(rows))
	for _, row := range rows {
		h, err := decodeHead(row)
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// Version reads one version. It returns infra.ErrNotFound if there is none of
// that number.
func (s *Store) Version(ctx context.Context, version uint64) (Head, error) {
	rows, err := s.Table.Get(ctx, versionKey(version))
	if err != nil {
		return Head{}, err
	}
	if rows[0].Version == 0 {
		return Head{}, infra.ErrNotFound
	}
	return decodeHead(rows[0])
}

// Apply makes the change the newest version if its base is the newest one, and
// returns Conflict otherwise. It stores the content, which must have been
// validated, before the version that refers to it.
func (s *Store) Apply(ctx context.Context, c Change) Result {
	head, rowVersion, err := s.head(ctx)
	if err != nil {
		return Result{Status: NotApplied, Err: err}
	}
	if head.Version != c.Base {
		return s.conflict(ctx, head, c)
	}
	before, err := s.Content(ctx, head)
	if err != nil {
		return Result{Status: NotApplied, Err: err}
	}
	next := Head{
		Version:       head.Version + 1,
		Hash:          Hash(c.Content),
		AttemptID:     uuid.NewString(),
		Author:        c.Author,
		AppliedUnixMS: s.Now().UnixMilli(),
		ChangedKeys:   ChangedKeys(before, c.Content),
	}
	if err := s.Objects.Put(ctx, objectKey(next.Hash), []byte(c.Content)); err != nil {
		return Result{Status: NotApplied, Err: err}
	}
	return s.commit(ctx, rowVersion, next, c)
}

// ContentOf reads the text of the version with a number.
func (s *Store) ContentOf(ctx context.Context, version uint64) (string, error) {
	head, err := s.Version(ctx, version)
	if err != nil {
		return "", errors.Wrapf(err, "version %d", version)
	}
	return s.Content(ctx, head)
}

// Rollback applies the content of an older version, as adapt changes it, as a new
// version. It returns that content.
func (s *Store) Rollback(ctx context.Context, base, to uint64, author string, adapt func(string) (string, error)) (string, Result) {
	content, err := s.ContentOf(ctx, to)
	if err == nil {
		content, err = adapt(content)
	}
	if err != nil {
		return "", Result{Status: NotApplied, Err: err}
	}
	return content, s.Apply(ctx, Change{Base: base, Author: author, Content: content})
}

// commit writes the new head on condition that the row of the old one is
// unchanged.
func (s *Store) commit(ctx context.Context, rowVersion uint64, next Head, c Change) Result {
	value, err := msgpack.Marshal(next)
	if err != nil {
		return Result{Status: NotApplied, Err: errors.Wrap(err, "encode configuration head")}
	}
	result := s.Table.Commit(ctx, infra.Transaction{
		Conditions: []infra.Condition{{Key: headKey, Version: rowVersion}},
		Writes:     []infra.Write{{Key: headKey, Value: value}, {Key: versionKey(next.Version), Value: value}},
	})
	switch result.Status {
	case infra.CommitApplied:
		return Result{Status: Accepted, Head: next, ChangedKeys: next.ChangedKeys}
	case infra.CommitConflict:
		winner, err := s.Head(ctx)
		if err != nil {
			return Result{Status: NotApplied, Err: err}
		}
		return s.conflict(ctx, winner, c)
	case infra.CommitNotApplied:
		return Result{Status: NotApplied, Err: infra.ErrUnavailable}
	default:
		return s.resolve(ctx, next, c)
	}
}

// resolve determines whether an attempt whose reply was lost took effect: it reads
// the version and compares its attempt ID. It returns Unknown if no read shows the
// version, and never repeats the write.
func (s *Store) resolve(ctx context.Context, next Head, c Change) Result {
	for range resolveReads {
		found, err := s.Version(ctx, next.Version)
		switch {
		case err == nil && found.AttemptID == next.AttemptID:
			return Result{Status: Accepted, Head: next, ChangedKeys: next.ChangedKeys}
		case err == nil:
			return s.conflict(ctx, found, c)
		}
		if !pause.For(ctx, resolvePause) {
			break
		}
	}
	return Result{Status: Unknown, Head: next, Err: errors.Newf("commit configuration: no reply for attempt %s", next.AttemptID)}
}

// conflict returns the result of a change that lost against winner. It has no
// ChangedKeys if the content of winner can't be read.
func (s *Store) conflict(ctx context.Context, winner Head, c Change) Result {
	r := Result{Status: Conflict, Head: winner}
	if content, err := s.Content(ctx, winner); err == nil {
		r.ChangedKeys = ChangedKeys(content, c.Content)
	}
	return r
}

// Hash returns the content's SHA-256 in hexadecimal.
func Hash(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])
}

func objectKey(hash string) string { return "config-" + hash }
