// Package relay selects the entry hosts that relay an owner's orders to
// workers. It does no I/O.
//
// A domain can have more workers than its owner's processor, network link or
// file descriptors can serve. Relays take over the connections to workers, the
// HTTP calls and their decoding, each for workers in its own availability zone;
// the owner exchanges short messages with a relay over one connection. All
// scheduling decisions remain with the owner. Relays hold no durable state:
// losing an order at a relay is like losing the worker's answer.
package relay
