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

// settleReads bounds how often a lost answer is looked up.
const settleReads = 5

// settlePause is the pause between two look-ups of a lost answer.
const settlePause = 100 * time.Millisecond

// Store reads and changes the configuration in the platform's services.
type Store struct {
	Table   infra.Table
	Objects infra.Objects
	// Now returns the time of day, for the record only.
	Now func() time.Time
}

// Head reads the newest version.
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

// Content reads the text of a version.
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

// Versions lists up to limit versions, newest first.
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

// Version reads one version; ErrNotFound if it never was.
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

// Apply makes the change the newest version if its base still is. The content
// must have been validated.
func (s *Store) Apply(ctx context.Context, c Change) Result {
	head, rowVersion, err := s.head(ctx)
	if err != nil {
		return Result{Status: NotApplied, Err: err}
	}
	if head.Version != c.Base {
		return s.lost(ctx, head, c)
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
	return s.swap(ctx, rowVersion, next, c)
}

// Rollback accepts the content of an older version as a new one.
func (s *Store) Rollback(ctx context.Context, base, to uint64, author string) (string, Result) {
	old, err := s.Version(ctx, to)
	if err != nil {
		return "", Result{Status: NotApplied, Err: errors.Wrapf(err, "version %d", to)}
	}
	content, err := s.Content(ctx, old)
	if err != nil {
		return "", Result{Status: NotApplied, Err: err}
	}
	return content, s.Apply(ctx, Change{Base: base, Author: author, Content: content})
}

// swap writes the new head on condition that the old one still stands.
func (s *Store) swap(ctx context.Context, rowVersion uint64, next Head, c Change) Result {
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
		return s.lost(ctx, winner, c)
	case infra.CommitNotApplied:
		return Result{Status: NotApplied, Err: infra.ErrUnavailable}
	default:
		return s.settle(ctx, next, c)
	}
}

// settle finds out whether an attempt whose answer was lost took effect, by
// reading back its id. It never writes again.
func (s *Store) settle(ctx context.Context, next Head, c Change) Result {
	for range settleReads {
		at, err := s.Version(ctx, next.Version)
		switch {
		case err == nil && at.AttemptID == next.AttemptID:
			return Result{Status: Accepted, Head: next, ChangedKeys: next.ChangedKeys}
		case err == nil:
			return s.lost(ctx, at, c)
		}
		if !pause.For(ctx, settlePause) {
			break
		}
	}
	return Result{Status: Unknown, Head: next, Err: errors.Newf("the answer to attempt %s was lost", next.AttemptID)}
}

// lost tells the loser of a race who won and what differs.
func (s *Store) lost(ctx context.Context, winner Head, c Change) Result {
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
