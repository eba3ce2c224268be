package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// balancer is one balancer process with the addresses that it keeps over its
// restarts and a proxy in front of the store.
type balancer struct {
	id     string
	zone   string
	listen string
	admin  string
	link   string // where other balancers ask for changes
	peers  []string
	file   string
	clock  string // file that tells for how long the VM was suspended; empty for none
	paths  string // file that names how the paths to endpoints are lost; empty for none
	store  *Proxy
	lines  int // log lines a second about requests
	start  func(settings, log string) *exec.Cmd
	log    string

	mu        sync.Mutex
	suspended time.Duration // so far
	cmd       *exec.Cmd
	exited    chan struct{}
	stopped   bool // no new requests go to it: it is to end, or has ended
	busy      bool // a fault restarts it
}

// Ports of balancers lie below those that the system gives to outgoing
// connections, so that none of these takes one while its process is restarted.
const (
	lowestPort  = 10000
	highestPort = 32000
	portTries   = 100
)

// addresses hands out loopback addresses, none of them twice.
type addresses struct {
	given map[int]bool
}

func (a *addresses) next() (string, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if a.given[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		a.given[port] = true
		return addr, l.Close()
	}
	return "", fmt.Errorf("soak: no free port in %d tries", portTries)
}

func newBalancer(dir, id, zone, storeAddr string, free *addresses, start func(settings, log string) *exec.Cmd) (*balancer, error) {
	listen, err := free.next()
	if err != nil {
		return nil, err
	}
	admin, err := free.next()
	if err != nil {
		return nil, err
	}
	linkAddr, err := free.next()
	if err != nil {
		return nil, err
	}
	proxy, err := NewProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	return &balancer{
		id: id, zone: zone, listen: listen, admin: admin, link: linkAddr, store: proxy, lines: usualLines, start: start,
		file: filepath.Join(dir, id+".jsonc"), log: filepath.Join(dir, id+".log"),
	}, nil
}

const (
	// usualLines is the default of the settings, allLines their highest value.
	usualLines = 200
	allLines   = 100_000
)

func (b *balancer) writeSettings() error {
	raw, err := json.MarshalIndent(map[string]any{
		"id": b.id, "zone": b.zone, "listen": b.listen, "admin": b.admin,
		"discovery": map[string]any{"kind": "platform", "url": "http://" + b.store.Addr()},
		"link":      b.link,
		"peers":     b.peers,
		"link_tls":  map[string]any{"insecure": true},
		"retries":   map[string]any{"ratio": 0.2, "burst": 64, "window": "10s"},
		"stop":      map[string]any{"notice": stopNotice.String(), "limit": stopLimit.String(), "grace": stopGrace.String()},
		"quotas":    map[string]any{"slack": quotaExtra},
		"log_level": "info",
		"log_rate":  b.lines,
	}, "", "\t")
	if err != nil {
		return fmt.Errorf("soak: settings: %w", err)
	}
	next := b.file + ".next" // a process that starts meanwhile must not read a part
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return fmt.Errorf("soak: settings: %w", err)
	}
	return os.Rename(next, b.file)
}

// run starts the process.
func (b *balancer) run() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	cmd := b.start(b.file, b.log)
	if b.clock != "" {
		cmd.Args = append(cmd.Args, "--suspended-file", b.clock)
	}
	if b.paths != "" {
		cmd.Args = append(cmd.Args, "--partition-file", b.paths)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", b.id, err)
	}
	exited := make(chan struct{})
	b.cmd, b.exited, b.stopped = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// suspend tells the process that its VM was suspended for a while.
func (b *balancer) suspend(d time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended += d
	next := b.clock + ".next"
	if err := os.WriteFile(next, []byte(b.suspended.String()), 0o600); err != nil {
		return fmt.Errorf("soak: suspend: %w", err)
	}
	return os.Rename(next, b.clock)
}

func (b *balancer) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.cmd.Process.Signal(s)
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		b.stopped = true
	}
}

// claim makes a restart the only one; release ends it.
func (b *balancer) claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy {
		return false
	}
	b.busy = true
	return true
}

func (b *balancer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = false
}

// gone waits for the process's end.
func (b *balancer) gone() {
	b.mu.Lock()
	exited := b.exited
	b.mu.Unlock()
	<-exited
}

// hasExited reports whether the process has ended.
func (b *balancer) hasExited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.exited:
		return true
	default:
		return false
	}
}

// waitReady waits until the balancer is ready. One that ends by itself never
// will be.
func (b *balancer) waitReady(ctx context.Context) error {
	for !b.ready() {
		if b.hasExited() {
			return fmt.Errorf("soak: %s ended before it was ready; its log is %s", b.id, b.log)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("soak: %s is not ready: %w", b.id, ctx.Err())
		}
		pause.For(ctx, readyPoll)
	}
	return nil
}

// readyPoll is the pause between two questions whether a balancer is ready.
const readyPoll = 20 * time.Millisecond

// takes reports whether new connections may go to the balancer, as the
// platform's balancer decides it.
func (b *balancer) takes() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stopped
}

// ready asks the balancer.
func (b *balancer) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process and waits for it.
func (b *balancer) end() {
	if b.cmd == nil { // the soak could not begin
		b.store.Close()
		return
	}
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGKILL)
	b.gone()
	b.store.Close()
}
