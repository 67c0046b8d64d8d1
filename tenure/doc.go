// Package tenure runs the decisions of package ownership for one entry host:
// against the table, the other entry hosts and the clock. One goroutine owns
// the state; requests run in goroutines of their own and bring results back.
package tenure
