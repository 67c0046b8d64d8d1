package gate

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// aliveTimeout bounds the look-up of a session.
const aliveTimeout = time.Second

// alive reports whether a process of an entry host may still run: its session
// row still names it. It says yes when that can't be read.
func (g *Gate) alive(host, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	rows, err := g.deps.Table.Get(ctx, ownership.SessionKey(host))
	if err != nil {
		return true
	}
	if rows[0].Version == 0 {
		return false
	}
	session, err := ownership.DecodeSessionRow(rows[0].Value)
	return err != nil || session.Incarnation == incarnation
}
