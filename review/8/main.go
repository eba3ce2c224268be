//go:build review

// Command paths sends requests whose paths have characters that clients send as they are, and compares what
// servers run with what was sent.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/lotuswing/lotuswing/review/lab2"
)

const deadline = 2 * time.Second

// usual are paths of letters, digits, and characters that are reserved or encoded.
var usual = []string{"/2f", "/a%7Cb", "/a//b", "/a%2Fb;c=d", "/a!$&'()*+,=:@-._~", "/2f?q=a%7Cb"}

// literal are paths with characters that browsers do not encode, and one in UTF-8.
var literal = []string{"/dossier|2026", "/dossier^2", "/fès/2026", "/{2026}"}

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
	config := lab2.Config(7, []lab2.Route{
		{Name: "r-read", Host: "jepu9.example", Prefix: "/lepu270/", Kind: "safe", Service: "huvo11a", TimeoutMs: 1000, TargetMs: 250, Priority: 2, Most: 2},
		{Name: "r-submit", Host: "jepu9.example", Prefix: "/xapu221/", Kind: "unsafe", Service: "wuno96b", TimeoutMs: 1200, TargetMs: 300, Priority: 1, Most: 2},
	}, []lab2.Service{{Name: "huvo11a", MaxConnections: 260}, {Name: "wuno96b", MaxConnections: 260}}, nil)
	f, err := lab2.StartFleet(lab2.FleetConfig{
		Zones: []string{"medina", "tribunal"}, PerZone: 1, Services: []string{"huvo11a", "wuno96b"}, PerService: 2, Slots: 3,
		Work: 10 * time.Millisecond, ApplyMs: 2000, DrainMs: 2000, Config: config,
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
	paths := usual
	if os.Getenv("TROUBLE") != "0" {
		paths = append(paths[:len(paths):len(paths)], literal...)
	}
	sent := map[string]string{}
	for _, b := range f.Balancers {
		for _, p := range paths {
			for method, prefix := range map[string]string{"GET": "/lepu270", "POST": "/xapu221"} {
				id := lab2.NewID()
				sent[id] = method + " " + prefix + p
				record.Note("%s: sent to %s: %s", id, b.Name, sent[id])
				status, err := send(b, id, method, prefix+p)
				if err != nil {
					record.Note("%s: %v", id, err)
					return 2
				}
				record.Note("%s: answered %d", id, status)
			}
		}
	}
	changed, ran := 0, 0
	for _, r := range f.Ledger.Runs() {
		ran++
		if got := r.Method + " " + r.Target; got != sent[r.ID] {
			changed++
			record.Note("%s: sent as %s, run by server %s as %s", r.ID, sent[r.ID], r.Server, got)
		}
	}
	record.Note("%d sent, %d run, %d of them with another path than was sent", len(sent), ran, changed)
	fmt.Printf("%d sent, %d run, %d of them with another path than was sent\n", len(sent), ran, changed)
	switch {
	case changed > 0:
		record.Note("broken: UNASKED")
		return 1
	case ran < len(sent):
		return 2
	}
	return 0
}

// send sends a request byte by byte as it is, and returns the status of its answer.
func send(b *lab2.Balancer, id, method, target string) (int, error) {
	conn, err := net.DialTimeout("tcp", b.Front, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	body := ""
	if method == "POST" {
		body = "petition"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, id, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
