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
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// world is what a case runs in: a store, servers, balancers and the record.
type world struct {
	trouble bool
	began   time.Time
	temp    string
	store   *platformtest.Store
	storeL  net.Listener

	mu        sync.Mutex
	record    *os.File
	balancers []*balancer
	ends      []func()
}

// newWorld starts the store and the record.
func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "trials")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, began: time.Now(), temp: temp, record: record, store: platformtest.NewStore(), storeL: l}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.ends = append(w.ends, func() { _ = server.Close() })
	w.note("begins, with the disruption: %t", trouble)
	return w, nil
}

// note writes a line of the record, with the seconds since the begin.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all that was started.
func (w *world) end() {
	for _, b := range w.balancers {
		b.kill()
	}
	for _, end := range w.ends {
		end()
	}
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// balancer is a process of the project.
type balancer struct {
	id, zone                     string
	listen, admin, link, scrapes string
	file                         string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// freeAddr returns a loopback address that is free now.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startBalancers starts n balancers of a zone with the settings of a small deployment, and waits until
// they are ready.
func (w *world) startBalancers(n int, zone string) error {
	for i := range n {
		b := &balancer{id: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		ip := fmt.Sprintf("127.0.1.%d", 11+len(w.balancers))
		for _, addr := range []*string{&b.listen, &b.admin, &b.link, &b.scrapes} {
			free, err := freeAddr(ip)
			if err != nil {
				return err
			}
			*addr = free
		}
		w.balancers = append(w.balancers, b)
	}
	var peers []string
	for _, b := range w.balancers {
		peers = append(peers, b.link)
	}
	for _, b := range w.balancers {
		if b.cmd != nil {
			continue
		}
		if err := w.start(b, peers[:min(3, len(peers))]); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// start starts a balancer with the command of the deploy file.
func (w *world) start(b *balancer, peers []string) error {
	settings := map[string]any{
		"id": b.id, "zone": b.zone, "regions": map[string]string{b.zone: "fes"},
		"listen": b.listen, "admin": b.admin,
		"discovery": map[string]any{"kind": "platform", "url": "http://" + w.storeL.Addr().String(), "apply_within": "2000ms", "drain_within": "2000ms"},
		"retries":   map[string]any{"ratio": 0.2, "burst": 64, "window": "10s"},
		"link":      b.link, "peers": peers, "link_tls": map[string]any{"insecure": true},
		"cores": 0.32, "link_mbps": 1000, "memory_mb": 284,
		"stop":    map[string]any{"notice": "3s", "grace": "6s"},
		"limits":  map[string]any{"header_bytes": 65536, "header_timeout": "10s", "idle_timeout": "2m", "replay_bytes": 131072},
		"metrics": b.scrapes, "log_level": "info",
	}
	raw, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return err
	}
	b.file = filepath.Join(w.temp, b.id+".jsonc")
	if err := os.WriteFile(b.file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.temp, b.id+".log"))
	if err != nil {
		return err
	}
	b.cmd = exec.Command("target/lotuswing", "run")
	b.cmd.Env = append(os.Environ(), "LOTUSWING_NODE_FILE="+b.file)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.exited = make(chan struct{})
	go func() {
		_ = b.cmd.Wait()
		_ = log.Close()
		close(b.exited)
	}()
	w.note("balancer %s started at %s", b.id, b.listen)
	return nil
}

// kill ends the process.
func (b *balancer) kill() {
	if b.cmd == nil || b.cmd.Process == nil {
		return
	}
	_ = b.cmd.Process.Kill()
	if b.exited != nil {
		<-b.exited
	}
}

var errNotReady = errors.New("the balancers were not ready within 15 s")

// awaitReady waits until all balancers answer their readiness question with 200.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, b := range w.balancers {
		ready := false
		for until := time.Now().Add(15 * time.Second); !ready && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + b.admin + "/readyz")
			if err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
		}
		if !ready {
			return errNotReady
		}
	}
	w.note("all balancers are ready")
	return nil
}
