package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// newMemberView serves the membership list as one entry host sees it: with
// the addresses of its proxies in place of the true ones.
func newMemberView(upstream string, client *http.Client, l *links) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, err := readMembers(r, upstream, client)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		for i, m := range list.Members {
			if list.Members[i].Address, err = l.to(m.Name, m.Address); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		}
		// The host may be gone; nothing is left to do then.
		_ = json.NewEncoder(w).Encode(list)
	}))
}

func readMembers(r *http.Request, upstream string, client *http.Client) (infra.MemberList, error) {
	var list infra.MemberList
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, upstream+"/members", nil)
	if err != nil {
		return list, errors.Wrap(err, "members")
	}
	resp, err := client.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "members")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return list, errors.Newf("members: status %d: %v", resp.StatusCode, err)
	}
	return list, errors.Wrap(json.Unmarshal(body, &list), "members")
}
