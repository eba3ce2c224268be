//go:build review

// Command keys gives a small deployment a version of the configuration with a long API key, and asks afterwards
// whether the key that the version takes away still works.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/review/lab2"
)

const (
	applyMs  = 2500 // configApplyMs of the site
	watchFor = 15 * time.Second
	stays    = "ftimaj3nr26tta828m82"
	revoked  = "thhkmgjqnirth5mgjy5r"
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("record", "record.txt", "the file to write to")
	keep := flag.Bool("keep", false, "keep the logs")
	flag.Parse()
	record, err := lab2.NewRecord(*path)
	if err != nil {
		return 2
	}
	defer record.Close()
	routes := []lab2.Route{
		{Name: "r-order", Host: "jepu9.example", Prefix: "/puka111/", Kind: "unsafe", Service: "wuno96b", TimeoutMs: 3000, TargetMs: 1200, Priority: 2, Most: 2},
	}
	services := []lab2.Service{{Name: "wuno96b", MaxConnections: 920}}
	before := lab2.Config(7, routes, services, []lab2.Team{{Name: "cuka620", Keys: []string{stays, revoked}, Rate: 327, Burst: 327}})
	f, err := lab2.StartFleet(lab2.FleetConfig{
		Zones: []string{"es-norte-1", "es-norte-2"}, PerZone: 2, Services: []string{"wuno96b"}, PerService: 3, Slots: 3,
		Work: 20 * time.Millisecond, ApplyMs: applyMs, DrainMs: 2500, QuotaSlack: 20, Config: before,
	})
	if f != nil {
		defer f.End(*keep)
	}
	if err != nil {
		record.Note("could not start: %v", err)
		fmt.Println("could not start:", err)
		return 2
	}
	time.Sleep(3 * time.Second)
	send := func(b *lab2.Balancer, key string) lab2.Reply {
		return lab2.Send(b, "POST", "jepu9.example", "/puka111/2f", "order", 3*time.Second, map[string]string{"Authorization": "Bearer " + key})
	}
	for _, b := range f.Balancers {
		for _, key := range []string{stays, revoked} {
			if r := send(b, key); r.Status != http.StatusOK {
				record.Note("%s does not serve: %d %v", b.Name, r.Status, r.Err)
				return 2
			}
		}
	}
	length := 40
	if os.Getenv("TROUBLE") != "0" {
		length = 600
	}
	added := strings.Repeat("k7Qx2mZp", length/8)
	f.Store.Put("op/config", lab2.Config(11, routes, services, []lab2.Team{
		{Name: "cuka620", Keys: []string{stays}, Rate: 327, Burst: 327},
		{Name: "demo771", Keys: []string{added}, Rate: 327, Burst: 327},
	}))
	acked := time.Now()
	record.Note("acknowledged: version 11, the key %s is taken away, a key of %d characters is added", revoked, length)
	time.Sleep(applyMs * time.Millisecond)
	asked, ranRevoked, refusedAdded := 0, 0, 0
	ids := map[string]bool{}
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, b := range f.Balancers {
			for _, key := range []string{revoked, added} {
				r := send(b, key)
				asked++
				name, verdict := "the key taken away", "allowed"
				if key == added {
					name = "the key added"
				}
				switch {
				case key == revoked && r.Status == http.StatusOK:
					ranRevoked++
					ids[r.ID] = true
					verdict = "only an older version allows it"
				case key == added && r.Status == http.StatusUnauthorized:
					refusedAdded++
					verdict = "only an older version allows it"
				}
				record.Note("%s %s, %s, sent %.2f s after the acknowledgement, answered %d: %s", r.ID, b.Name, name, r.Sent.Sub(acked).Seconds(), r.Status, verdict)
			}
		}
	}
	ran := 0
	for _, r := range f.Ledger.Runs() {
		if ids[r.ID] {
			ran++
		}
	}
	record.Note("%d requests sent later than %d ms after the acknowledgement: %d with the key taken away were answered with success, and servers ran %d of them; %d with the key added got 401",
		asked, applyMs, ranRevoked, ran, refusedAdded)
	fmt.Printf("%d sent: %d unsafe ones ran with the key taken away, %d with the key added got 401\n", asked, ran, refusedAdded)
	if ran+refusedAdded > 0 {
		record.Note("broken: CONFIG")
		return 1
	}
	return 0
}
