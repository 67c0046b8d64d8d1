// Package slo counts calls against the service-level objectives, keeps the
// counts in the platform's table, and reports burn over all entry hosts.
package slo
