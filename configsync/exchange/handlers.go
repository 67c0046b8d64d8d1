package exchange

import "context"

// handleVersion answers with this host's version.
func (e *Exchange) handleVersion(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m versionMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	e.record(from, m.Version)
	mine, known := e.holder.Version()
	if m.Version < mine && !m.Fetches {
		go e.SendOffer(context.WithoutCancel(ctx), from)
	}
	return versionMessage{Version: mine, Known: known}, nil
}

// handleOffer applies a configuration from a peer if it is newer. A host without a
// version doesn't rely on a single peer, see start.
func (e *Exchange) handleOffer(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m offerMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	o, err := m.unpack()
	if err != nil {
		return nil, err
	}
	e.record(from, o.Head.Version)
	if _, known := e.holder.Version(); known {
		e.apply(ctx, o, from)
	}
	mine, known := e.holder.Version()
	return versionMessage{Version: mine, Known: known}, nil
}

// handleFetch answers with the configuration in force.
func (e *Exchange) handleFetch(context.Context, string, func(any) error) (any, error) {
	current, ok := e.holder.Offer()
	if !ok {
		return fetchReply{}, nil
	}
	packed, err := packOffer(current)
	if err != nil {
		return nil, err
	}
	return fetchReply{Known: true, Offer: packed}, nil
}
