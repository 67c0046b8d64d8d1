package standin

// Addresses says where the stand-ins of a Platform listen.
type Addresses struct {
	// Table, Objects and Members are base URLs.
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Members string `json:"members"`
	// Control is the base URL of what concerns several stand-ins at once.
	Control string `json:"control"`
	// Others holds IP:port by the name of an endpoint or a worker.
	Others map[string]string `json:"others"`
}
