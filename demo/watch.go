package demo

import (
	"context"
	"net/http"
	"net/url"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/check"
	operationsclient "github.com/fireflygate/fireflygate/gen/http/operations/client"
	"github.com/fireflygate/fireflygate/gen/operations"
)

// watchInterval is the interval between two status requests to a host.
const watchInterval = 100 * time.Millisecond

// watchConfig records the configuration version in a host's status until the host
// ends.
func watchConfig(ctx context.Context, h *host, recorder *check.Recorder) {
	u, err := url.Parse(h.operators)
	if err != nil {
		panic("demo: bad address: " + err.Error())
	}
	client := operationsclient.NewClient(u.Scheme, u.Host, &http.Client{Timeout: submitTimeout},
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if res, err := client.Status()(ctx, nil); err == nil {
			s := res.(*operations.HostStatus)
			recorder.Add(check.Record{ConfigInForce: &check.ConfigInForce{Host: h.name, Version: uint64(s.ConfigVersion)}})
		}
		select {
		case <-ctx.Done():
			return
		case <-h.ended:
			recorder.Add(check.Record{ConfigHostEnded: &check.ConfigHostEnded{Host: h.name}})
			return
		case <-ticker.C:
		}
	}
}
