// Package slo counts calls against service-level objectives, stores the counts
// in the platform's table and reports the burn over all entry hosts.
package slo
