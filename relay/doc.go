// Package relay decides which entry hosts carry an owner's orders to which
// workers. It is pure.
//
// The load it answers is one owner of more workers than its processor, link or
// descriptors can keep sessions with. The owner goes on deciding alone, so what
// it decides stays whole; the connections, the HTTP calls and their decoding go
// to hosts in the workers' own availability zones, and what is left between
// owner and relay is one connection with short messages. A relay keeps nothing
// that has to last: an order it loses is like one whose answer got lost.
package relay
