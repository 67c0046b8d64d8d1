// Package ingress bounds what all callers of a process together make it hold:
// connections, the bytes of their requests, and time. A Budget follows from the memory
// and the descriptors of the process, and is shared by all of its listeners for callers.
//
// A connection holds a fixed part of the budget while it is open, and another one while
// it has a request. Longer headers and bodies hold more, by their size. Where the budget
// is short, clients that stall lose their place first: requests without progress, then
// idle connections. Only then are requests refused, before they have run.
package ingress
