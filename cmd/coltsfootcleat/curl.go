package main

import (
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
)

// curlLine returns a curl command line that sends a request of the class.
func curlLine(address, key string, class workload.Class) string {
	if class.Chat != nil {
		return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Request-Kind: %s' -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"one question of mine"}]}'`,
			address, key, class.Kind, class.Chat.Model)
	}
	line := fmt.Sprintf(`curl -X %s http://%s/services/%s%s -H 'Authorization: Bearer %s'`,
		class.Call.Method, address, class.Call.Service, class.Call.Path, key)
	if class.Call.AtMostOnce {
		line += fmt.Sprintf(` -H 'Idempotency-Key: %s-1' -d '{"number":1}'`, class.Kind)
	}
	return line
}
