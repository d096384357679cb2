package main

const (
	savePath    = "/defi252/" // non_idempotent
	fetchPath   = "/bobo563/" // idempotent
	suggestPath = "/puxa400/" // streaming, not resumable

	plainService  = "kafi81c"
	engineService = "huvo11a"

	tenantName = "jeye930"
	tenantKey  = "nu6wsjnbanfqasnmgkcu"
)

// newConfig returns a configuration with the kinds of requests of the deployment
// etw-zinnia that the cases use.
func newConfig(version int, tenants []map[string]any) string {
	return newConfigOf(version, tenants, []string{model})
}

// newConfigOf returns a configuration whose engines serve the given models.
func newConfigOf(version int, tenants []map[string]any, names []string) string {
	var models []any
	for _, name := range names {
		models = append(models, map[string]any{"name": name})
	}
	route := func(name, path, kind string, timeout, goal, attempts int, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": path, "route-type": kind, "timeout-ms": timeout, "goal-ms": goal, "priority": 1,
			"service": service, "max-attempts": attempts, "anonymous": false, "session-affinity": service == engineService, "resumable": false,
			"gap-aim-ms": 800, "allowed-regions": []string{},
		}
	}
	return encode(map[string]any{
		"version": version,
		"routes": []any{
			route("r-save", savePath, "non_idempotent", 1000, 200, 1, plainService),
			route("r-fetch", fetchPath, "idempotent", 1000, 200, 2, plainService),
			route("r-suggest", suggestPath, "streaming", 12000, 1200, 1, engineService),
		},
		"services": []any{
			map[string]any{"name": plainService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false, "cold-start-s": 0, "cold-per-s": 0},
			map[string]any{
				"name": engineService, "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false, "cold-start-s": 3, "cold-per-s": 7.7,
				"engine": map[string]any{
					"slots": 64, "kv-capacity": engineTokens, "kv-token-bytes": 18432, "link-mbps": 180000, "moves": true, "backups": true, "managed": true,
					"stride": 8, "max-in-flight": 12, "pin-ms": 4000, "hold-ms": 2000, "handle_s": 5, "models": models,
				},
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	})
}

func oneTenant(isolated bool) []map[string]any {
	return []map[string]any{{"name": tenantName, "api-keys": []string{tenantKey}, "priority": 1, "allowed-regions": []string{}, "isolated": isolated}}
}
