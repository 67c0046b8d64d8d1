package exchange

import "context"

// handleVersion answers with this host's versions.
func (e *Exchange) handleVersion(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m versionMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	e.record(from, m)
	e.confirmBy(ctx, m)
	mine := e.message()
	if m.Version < mine.Version && !m.Fetches {
		go e.SendOffer(context.WithoutCancel(ctx), from)
	}
	return mine, nil
}

// handleOffer takes a configuration from a peer if it is newer. A host without a
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
	e.record(from, versionMessage{Held: o.Head.Version})
	if _, known := e.Held(); known {
		e.take(ctx, o, from)
	}
	return e.message(), nil
}

// handleFetch answers with the newest configuration, or with the one in force if the
// caller would put it into force at once.
func (e *Exchange) handleFetch(_ context.Context, _ string, decode func(any) error) (any, error) {
	var m versionMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	newest, ok := e.offer(m.Waits)
	if !ok {
		return fetchReply{}, nil
	}
	packed, err := packOffer(newest)
	if err != nil {
		return nil, err
	}
	return fetchReply{Known: true, Offer: packed}, nil
}

// record records the versions that a peer has told.
func (e *Exchange) record(from string, m versionMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions.Record(from, m.report())
}
