//go:build review

// Command weights gives a small deployment a version of the configuration in which the weights of a split are
// fractions, and asks afterwards which version is in force.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/lotuswing/lotuswing/review/lab2"
)

const (
	applyMs  = 2000 // configApplyMs of the site
	watchFor = 15 * time.Second
)

func main() { os.Exit(run()) }

func route(name, prefix, service string) lab2.Route {
	return lab2.Route{Name: name, Host: "jepu9.example", Prefix: prefix, Kind: "safe", Service: service, TimeoutMs: 1000, TargetMs: 250, Priority: 2, Most: 2}
}

func run() int {
	path := flag.String("record", "record.txt", "the file to write to")
	keep := flag.Bool("keep", false, "keep the logs")
	flag.Parse()
	record, err := lab2.NewRecord(*path)
	if err != nil {
		return 2
	}
	defer record.Close()
	services := []lab2.Service{{Name: "huvo11a", MaxConnections: 260}, {Name: "kafi81c", MaxConnections: 260}}
	split := func(main, canary float64) lab2.Route {
		r := route("r-read", "/lepu270/", "")
		r.Split = []lab2.Part{{Service: "huvo11a", Weight: main}, {Service: "kafi81c", Weight: canary}}
		return r
	}
	before := lab2.Config(7, []lab2.Route{split(90, 10), route("r-old", "/fewa18/", "huvo11a")}, services, nil)
	f, err := lab2.StartFleet(lab2.FleetConfig{
		Zones: []string{"medina", "tribunal"}, PerZone: 2, Services: []string{"huvo11a", "kafi81c"}, PerService: 3, Slots: 3,
		Work: 20 * time.Millisecond, ApplyMs: applyMs, DrainMs: 2000, Config: before,
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
	for _, b := range f.Balancers {
		for _, target := range []string{"/lepu270/x", "/fewa18/x"} {
			if r := lab2.Send(b, "GET", "jepu9.example", target, "", time.Second, nil); r.Status != http.StatusOK {
				record.Note("%s does not serve %s: %d %v", b.Name, target, r.Status, r.Err)
				return 2
			}
		}
	}
	main, canary := 99.0, 1.0
	if os.Getenv("TROUBLE") != "0" {
		main, canary = 99.5, 0.5
	}
	f.Store.Put("op/config", lab2.Config(11, []lab2.Route{split(main, canary), route("r-new", "/nubo77/", "kafi81c")}, services, nil))
	acked := time.Now()
	record.Note("acknowledged: version 11, weights %v and %v, r-old is dropped, r-new is added", main, canary)
	time.Sleep(applyMs * time.Millisecond)
	asked, broken := 0, 0
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, b := range f.Balancers {
			for _, target := range []string{"/fewa18/x", "/nubo77/x"} {
				r := lab2.Send(b, "GET", "jepu9.example", target, "", time.Second, nil)
				asked++
				verdict := "allowed"
				if target == "/fewa18/x" && r.Status == http.StatusOK || target == "/nubo77/x" && r.Status == http.StatusNotFound {
					broken++
					verdict = "only an older version allows it"
				}
				record.Note("%s %s %s sent %.2f s after the acknowledgement, answered %d: %s", r.ID, b.Name, target, r.Sent.Sub(acked).Seconds(), r.Status, verdict)
			}
		}
	}
	ran := 0
	for _, r := range f.Ledger.Runs() {
		if r.Target == "/fewa18/x" && r.At.After(acked.Add(applyMs*time.Millisecond)) {
			ran++
		}
	}
	record.Note("%d requests sent later than %d ms after the acknowledgement: %d handled as only an older version allows, %d of them run by a server on the dropped route", asked, applyMs, broken, ran)
	fmt.Printf("%d of %d handled as only an older version allows, %d run on the dropped route\n", broken, asked, ran)
	if broken > 0 {
		record.Note("broken: CONFIG")
		return 1
	}
	return 0
}
