package main

// The names that all cases use.
const (
	callerHost = "shop.example"
	apiKey     = "k1x9w2m4q8z7v3n5b6c0"
	tenant     = "orchard"
)

type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"pathPrefix"`
	Kind       string  `json:"kind"`
	TimeoutMs  float64 `json:"timeoutMs"`
	SloMs      float64 `json:"sloMs"`
	GapSloMs   float64 `json:"gapSloMs,omitempty"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"attempts"`
	Public     bool    `json:"public"`
	Resumable  bool    `json:"resumable,omitempty"`
}

// configuration is an operator's configuration with one tenant.
func configuration(version int, services []string, routes ...route) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
