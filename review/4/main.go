//go:build review

// Command loadreport sends traffic through a small deployment while one answer of one server carries a load
// report with a wrong number of slots.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/review/lab2"
)

const (
	timeoutMs = 1000 // of both routes
	deadline  = 2500 * time.Millisecond
	calm      = 5 * time.Second  // before the answer
	troubled  = 15 * time.Second // after it
	// wrong is the spoiled load report: the slots are 2^32 - 1.
	wrong = "0,0,4294967295,100"
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
	trouble := os.Getenv("TROUBLE") != "0"
	var armed atomic.Bool
	var spoiled atomic.Int64
	config := lab2.Config(7, []lab2.Route{
		{Name: "r-read", Host: "jepu9.example", Prefix: "/lepu270/", Kind: "safe", Service: "huvo11a", TimeoutMs: timeoutMs, TargetMs: 250, Priority: 2, Most: 2},
		{Name: "r-submit", Host: "jepu9.example", Prefix: "/xapu221/", Kind: "unsafe", Service: "wuno96b", TimeoutMs: timeoutMs, TargetMs: 300, Priority: 1, Most: 2},
	}, []lab2.Service{{Name: "huvo11a", MaxConnections: 260}, {Name: "wuno96b", MaxConnections: 260}}, nil)
	f, err := lab2.StartFleet(lab2.FleetConfig{
		Zones: []string{"medina", "tribunal"}, PerZone: 2, Services: []string{"huvo11a", "wuno96b"}, PerService: 5, Slots: 3,
		Work: 40 * time.Millisecond, ApplyMs: 2000, DrainMs: 2000, Config: config,
		BeforeStartup: func(f *lab2.Fleet) {
			for _, s := range f.Servers {
				s.Load = func(usual string) string {
					if !armed.CompareAndSwap(true, false) {
						return usual
					}
					spoiled.Add(1)
					record.Note("server %s of service %s answers once with Server-Load: %s", s.ID, s.Service, wrong)
					return wrong
				}
			}
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
	time.Sleep(3 * time.Second)
	type count struct{ sent, served, other, outlast, late int }
	var mu sync.Mutex
	counts := map[string]map[string]*count{"before": {}, "after": {}}
	var clients sync.WaitGroup
	arming, began := false, time.Now()
	for n := 0; time.Since(began) < calm+troubled; n++ {
		phase := "before"
		if time.Since(began) > calm {
			phase = "after"
		}
		if phase == "after" && trouble && !arming {
			arming = true
			armed.Store(true)
		}
		for _, b := range f.Balancers {
			method, target, body := "GET", "/lepu270/2f", ""
			if n%2 == 1 {
				method, target, body = "POST", "/xapu221/ny95/2f", "petition"
			}
			clients.Go(func() {
				r := lab2.Send(b, method, "jepu9.example", target, body, deadline, nil)
				mu.Lock()
				defer mu.Unlock()
				c := counts[phase][b.Name]
				if c == nil {
					c = &count{}
					counts[phase][b.Name] = c
				}
				c.sent++
				if r.Took > timeoutMs*time.Millisecond {
					c.outlast++
				}
				switch {
				case r.Took >= (timeoutMs+500)*time.Millisecond:
					c.late++
					if c.late <= 10 {
						record.Note("%s %s %s %s: no answer %v after it was sent: %v", r.ID, b.Name, method, target, r.Took.Round(time.Millisecond), r.Err)
					}
				case r.Status == http.StatusOK:
					c.served++
				default:
					c.other++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	sent, outlast, late, served := 0, 0, 0, 0
	for _, phase := range []string{"before", "after"} {
		for _, b := range f.Balancers {
			c := counts[phase][b.Name]
			record.Note("%s, %s: %d sent, %d served, %d answered otherwise, %d without an answer %d ms after they were sent", phase, b.Name, c.sent, c.served, c.other, c.late, timeoutMs+500)
			sent, outlast, late, served = sent+c.sent, outlast+c.outlast, late+c.late, served+c.served
		}
	}
	if trouble && spoiled.Load() == 0 {
		record.Note("no server got a request to answer")
		fmt.Println("no server got a request to answer")
		return 2
	}
	client := http.Client{Timeout: time.Second}
	for _, b := range f.Balancers {
		resp, err := client.Get("http://" + b.Ready + "/readyz")
		if err != nil {
			record.Note("%s is asked whether it is ready: %v", b.Name, err)
			continue
		}
		_ = resp.Body.Close()
		record.Note("%s is asked whether it is ready: %d", b.Name, resp.StatusCode)
	}
	fmt.Printf("%d sent, %d served, %d without an answer half a second after the route's timeout\n", sent, served, late)
	if late >= 8 && 4*late > outlast {
		record.Note("broken: CONFIG, of %d requests that outlast their route's timeoutMs, %d have no answer half a second after it", outlast, late)
		return 1
	}
	if served < sent/2 {
		record.Note("the deployment does not serve")
		return 2
	}
	return 0
}
