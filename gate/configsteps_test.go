package gate

import (
	"context"

	"github.com/fireflygate/fireflygate/configsync/exchange"
	"github.com/fireflygate/fireflygate/peer"
)

// versionInterval is the time between two rounds.
const versionInterval = exchange.Interval

// methodConfigOffer is the method by which a host sends a configuration to another.
const methodConfigOffer peer.Method = "config.offer"

// fetchFromPeers performs the round of a host without a version.
func (s *configSync) fetchFromPeers(ctx context.Context) { s.exchange.Round(ctx) }

// syncRound performs the round of a host with a version.
func (s *configSync) syncRound(ctx context.Context) { s.exchange.Round(ctx) }

// sendOffer sends the version in force to a peer.
func (s *configSync) sendOffer(ctx context.Context, host string) { s.exchange.SendOffer(ctx, host) }

// push sends the versions of this host to a few peers that aren't known to have them.
func (s *configSync) push(ctx context.Context) { s.exchange.Push(ctx) }
