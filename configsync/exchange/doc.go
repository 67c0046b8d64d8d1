// Package exchange passes configurations between entry hosts, so that a version which
// any host has read from the store reaches those that can't read it. Hosts compare
// versions; the one with the older version gets the content of the newer. What a host
// passes on is always a version that the store has accepted. When a host puts it into
// force depends on the Rule.
package exchange
