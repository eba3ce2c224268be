package relay_test

import (
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// TestOddRegistrationIsReplaced guards against a registration of another writer that keeps a zone from having a relay.
func TestOddRegistrationIsReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"empty": "", "no JSON": "\x00", "null": "null", "nested": strings.Repeat("[", 500_000), "no address": `{"id":"vm"}`,
		"wrong type": `{"id":7,"addr":{}}`, "port out of range": `{"id":"vm","addr":"127.0.0.1:65536"}`, "long": `{"id":"` + strings.Repeat("x", 900_000) + `","addr":"127.0.0.1:9"}`,
	} {
		for when, late := range map[string]bool{"at the start": false, "later": true} {
			t.Run(name+" "+when, func(t *testing.T) {
				store := platformtest.NewStore()
				publish(store, 1)
				if !late {
					store.PutKey("lotuswing/relays/medina", []byte(value))
				}
				all := []*testBalancer{startBalancer(t, store, "medina"), startBalancer(t, store, "medina")}
				if late {
					waitUntil(t, "a relay", func() bool { return len(settledBalancers(all)) == 1 })
					store.PutKey("lotuswing/relays/medina", []byte(value))
				}
				waitUntil(t, "a relay", func() bool {
					return len(settledBalancers(all)) == 1 && strings.Contains(string(store.Value("lotuswing/relays/medina")), settledBalancers(all)[0].addr)
				})
				publishAndWait(t, store, 3, all...)
			})
		}
	}
}
