// Package burn measures how fast services spend their error budgets. It is
// pure: counts go in with their time, reports come out.
package burn
