//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	host = "127.0.0.1"
	// readyWithin is how long balancers may take to be ready.
	readyWithin = 20 * time.Second
	// seeds is how many other balancers the settings name.
	seeds = 3
	// fleetSize is the most balancers of a deployment.
	fleetSize = 100
	// grace is after how long a process that was asked to stop is killed.
	grace = 6 * time.Second
	// endPoll is the pause between two looks at something that is waited for.
	endPoll = 20 * time.Millisecond
)

// lab is a small deployment.
type lab struct {
	record    *record
	trouble   bool
	binary    string // of the balancer
	dir       string // temporary
	store     *store
	storeURL  string
	storeOf   func(id string) (url string, err error) // the store's address for a balancer; nil for storeURL
	balancers []*balancer
	fleet     int    // number of the deployment
	others    []*lab // further deployments, with stores of their own
}

// balancer is a process of the product.
type balancer struct {
	id, front, admin, link string // addresses
	cmd                    *exec.Cmd
	ended                  chan struct{} // closed when the process has ended
}

// newLab starts the store and opens the record.
func newLab(folder string, trouble bool) (*lab, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(filepath.Join(folder, "..", "..", "target", "lotuswing"))
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, trouble: trouble, binary: binary, dir: dir, store: newStore()}
	addr, err := serve(l.store)
	l.storeURL = "http://" + addr
	return l, err
}

// deploy returns a further deployment.
func (l *lab) deploy(n int) (*lab, error) {
	dir, err := os.MkdirTemp(l.dir, "fleet")
	if err != nil {
		return nil, err
	}
	next := &lab{record: l.record, trouble: l.trouble, binary: l.binary, dir: dir, store: newStore(), fleet: n}
	l.others = append(l.others, next)
	return next, nil
}

// serve serves a handler at a free address.
func serve(h http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// freeAddr returns an address that is free, of the n-th machine. No outgoing connection takes its port.
func (l *lab) freeAddr(n int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", l.fleet+1, n+1))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startBalancers starts one balancer in each zone, with the settings that the deploy file's template
// gives for a site, and waits until all are ready.
func (l *lab) startBalancers(site site, zones ...string) error {
	for n, zone := range zones {
		b := &balancer{id: fmt.Sprintf("front-%s-%d", zone, l.fleet*fleetSize+n+1), ended: make(chan struct{})}
		for _, addr := range []*string{&b.front, &b.admin, &b.link} {
			var err error
			if *addr, err = l.freeAddr(n); err != nil {
				return err
			}
		}
		l.balancers = append(l.balancers, b)
	}
	for n, b := range l.balancers {
		if err := l.start(b, site, zones[n], zones); err != nil {
			return err
		}
	}
	for until := time.Now().Add(readyWithin); !l.allReady(); time.Sleep(endPoll) {
		if time.Now().After(until) {
			return errors.New("balancers are not ready")
		}
	}
	return nil
}

// start starts a balancer.
func (l *lab) start(b *balancer, site site, zone string, zones []string) error {
	regions, peers := map[string]string{}, []string{}
	for n, other := range zones {
		regions[other] = site.region
		if n < seeds {
			peers = append(peers, l.balancers[n].link)
		}
	}
	storeURL := l.storeURL
	if l.storeOf != nil {
		var err error
		if storeURL, err = l.storeOf(b.id); err != nil {
			return err
		}
	}
	settings := map[string]any{
		"id": b.id, "zone": zone, "regions": regions, "listen": b.front, "admin": b.admin,
		"discovery": map[string]any{
			"kind": "platform", "url": storeURL, "apply_within": site.applyWithin.String(), "drain_within": site.applyWithin.String(), "evacuate_within": "5s",
		},
		"retries": map[string]any{"ratio": 0.2, "burst": site.budgetSlack, "window": "10s"},
		"link":    b.link, "peers": peers, "link_tls": map[string]any{"insecure": true},
		"cores": 0.32, "link_mbps": site.linkMbps, "memory_mb": 284,
		"stop":      map[string]any{"notice": "3s", "grace": grace.String()},
		"limits":    map[string]any{"header_bytes": 65536, "header_timeout": "10s", "idle_timeout": "2m", "replay_bytes": 131072},
		"log_level": "info",
	}
	raw, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return err
	}
	file := filepath.Join(l.dir, b.id+".jsonc")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(l.dir, b.id+".log"))
	if err != nil {
		return err
	}
	b.cmd = exec.Command(l.binary, "run")
	b.cmd.Env = append(os.Environ(), "LOTUSWING_NODE_FILE="+file)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		return err
	}
	l.record.line("start %s, clients at %s", b.id, b.front)
	go func() {
		err := b.cmd.Wait()
		_ = log.Close()
		l.record.line("%s has ended: %v", b.id, err)
		close(b.ended)
	}()
	return nil
}

// allReady reports whether all balancers answer the platform's question with 200.
func (l *lab) allReady() bool {
	for _, b := range l.balancers {
		answer, err := http.Get("http://" + b.admin + "/readyz")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// stop sends SIGTERM to a balancer, and SIGKILL if it has not ended after the grace.
func (l *lab) stop(b *balancer) {
	l.record.line("SIGTERM to %s", b.id)
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-b.ended:
	case <-time.After(grace):
		l.record.line("SIGKILL to %s", b.id)
		_ = b.cmd.Process.Kill()
		<-b.ended
	}
}

// close ends all processes.
func (l *lab) close() {
	for _, other := range l.others {
		other.kill()
	}
	l.kill()
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(l.dir))
	}
	_ = os.RemoveAll(l.dir)
	l.record.close()
}

// kill ends the balancers.
func (l *lab) kill() {
	for _, b := range l.balancers {
		if b.cmd == nil || b.cmd.Process == nil {
			continue
		}
		_ = b.cmd.Process.Kill()
		<-b.ended
	}
}
