package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// newMembersProxy serves the membership list to one entry host, with the addresses
// of its fault proxies in place of those of the members.
func newMembersProxy(upstream string, client *http.Client, l *links) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, err := readMembers(r, upstream, client)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		for i, m := range list.Members {
			if list.Members[i].Address, err = l.address(m.Name, m.Address); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		}
		// An error means that the host has closed the connection.
		_ = json.NewEncoder(w).Encode(list)
	}))
}

func readMembers(r *http.Request, upstream string, client *http.Client) (infra.MemberList, error) {
	var list infra.MemberList
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, upstream+"/members", nil)
	if err != nil {
		return list, errors.Wrap(err, "request membership list")
	}
	resp, err := client.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "request membership list")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return list, errors.Newf("read membership list: status %d: %v", resp.StatusCode, err)
	}
	return list, errors.Wrap(json.Unmarshal(body, &list), "decode membership list")
}
