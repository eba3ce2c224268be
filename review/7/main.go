//go:build review

// Command silence makes the connection silent on which one balancer watches the store, and changes the configuration
// when the machines are in touch again.
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
	applyMs   = 2000 // configApplyMs of the site
	contactMs = 3000 // contactMs of the site
	watchFor  = 4 * time.Second
)

func main() { os.Exit(run()) }

func route(name, prefix, service string) lab2.Route {
	return lab2.Route{Name: name, Host: "jepu9.example", Prefix: prefix, Kind: "safe", Service: service, TimeoutMs: 1000, TargetMs: 250, Priority: 2, Most: 2}
}

func run() int {
	path := flag.String("record", "record.txt", "the file to write to")
	keep := flag.Bool("keep", false, "keep the logs")
	lag := flag.Duration("lag", 3*time.Second, "how old reads are that may be stale")
	flag.Parse()
	record, err := lab2.NewRecord(*path)
	if err != nil {
		return 2
	}
	defer record.Close()
	services := []lab2.Service{{Name: "huvo11a", MaxConnections: 260}, {Name: "kafi81c", MaxConnections: 260}}
	main := route("r-read", "/lepu270/", "huvo11a")
	var proxies []*lab2.Proxy
	f, err := lab2.StartFleet(lab2.FleetConfig{
		Store: lab2.StoreOptions{StaleLag: *lag}, Zones: []string{"medina", "tribunal"}, PerZone: 2, Services: []string{"huvo11a", "kafi81c"}, PerService: 3, Slots: 3,
		Work: 20 * time.Millisecond, ApplyMs: applyMs, DrainMs: 2000, Config: lab2.Config(7, []lab2.Route{main, route("r-old", "/fewa18/", "huvo11a")}, services, nil),
		StoreOf: func(_, store string) string {
			p, err := lab2.StartProxy(store)
			if err != nil {
				panic(err)
			}
			proxies = append(proxies, p)
			return p.Addr
		},
	})
	if f != nil {
		defer f.End(*keep)
	}
	if err != nil {
		record.Note("could not start: %v", err)
		fmt.Println("could not start:", err)
		return 2
	}
	time.Sleep(10 * time.Second)
	if os.Getenv("TROUBLE") != "0" {
		leader, writer := 0, string(f.Store.LastWritten())
		for i, b := range f.Balancers {
			if strings.Contains(writer, b.Name) {
				leader = i
			}
		}
		silenced, all := proxies[leader].SilenceWatches()
		record.Note("%s, which last wrote to the store under a condition: %d of the %d connections to the store that it has opened go silent, new ones work", f.Balancers[leader].Name, silenced, all)
	}
	time.Sleep((contactMs + 500) * time.Millisecond)
	f.Store.Put("op/config", lab2.Config(11, []lab2.Route{main, route("r-new", "/nubo77/", "kafi81c")}, services, nil))
	acked := time.Now()
	record.Note("acknowledged: version 11, r-old is dropped, r-new is added")
	time.Sleep(applyMs * time.Millisecond)
	asked, broken, last := 0, 0, time.Duration(0)
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, b := range f.Balancers {
			for _, target := range []string{"/fewa18/x", "/nubo77/x"} {
				r := lab2.Send(b, "GET", "jepu9.example", target, "", time.Second, nil)
				asked++
				if target == "/fewa18/x" && r.Status == http.StatusOK || target == "/nubo77/x" && r.Status == http.StatusNotFound {
					broken++
					last = r.Sent.Sub(acked)
					record.Note("%s %s %s sent %.2f s after the acknowledgement, answered %d: only an older version allows it", r.ID, b.Name, target, last.Seconds(), r.Status)
				}
			}
		}
	}
	record.Note("%d requests sent later than %d ms after the acknowledgement: %d handled as only an older version allows, the last one sent %.2f s after it", asked, applyMs, broken, last.Seconds())
	fmt.Printf("%d of %d handled as only an older version allows, the last one sent %.2f s after the acknowledgement\n", broken, asked, last.Seconds())
	if broken > 0 {
		record.Note("broken: CONFIG")
		return 1
	}
	return 0
}
