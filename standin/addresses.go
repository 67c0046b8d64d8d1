package standin

// Addresses holds the listen addresses of a Platform.
type Addresses struct {
	// Table, Objects and Members are base URLs.
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Members string `json:"members"`
	// Control is the base URL of requests that affect several stand-ins.
	Control string `json:"control"`
	// Others maps the names of endpoints and workers to IP:port.
	Others map[string]string `json:"others"`
}
