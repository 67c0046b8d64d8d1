// Package mechanism names the parts of the scheduling policy that can be left
// out one by one, to measure what each is worth. It is for experiments: an
// operator has no reason to leave one out.
package mechanism
