//go:build review

package lab2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// BalancerConfig says how a balancer is started, with the template's settings.
type BalancerConfig struct {
	Name, Zone, IP string
	Zones          map[string]string // region of each zone
	Store          string            // address
	Seeds          []string          // control addresses
	Control        string            // own control address
	ApplyMs        int
	DrainMs        int
	QuotaSlack     int
	Dir            string // for settings and log
}

// Balancer is a running process.
type Balancer struct {
	BalancerConfig
	Front, Ready string
	cmd          *exec.Cmd
	log          *os.File
}

// given holds the addresses that FreeAddr has returned.
var given = map[string]bool{}

// FreeAddr returns a free port at a loopback address, each only once.
func FreeAddr(ip string) string {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		_ = l.Close() // it was opened to find the port
		if !given[addr] {
			given[addr] = true
			return addr
		}
	}
}

// Program is the program of the deploy file.
var Program = "target/lotuswing"

// StartBalancer starts a balancer with the command of the deploy file.
func StartBalancer(cfg BalancerConfig) (*Balancer, error) {
	b := &Balancer{BalancerConfig: cfg, Front: FreeAddr(cfg.IP), Ready: FreeAddr(cfg.IP)}
	discovery := map[string]any{
		"kind": "platform", "url": "http://" + cfg.Store,
		"apply_within": fmt.Sprintf("%dms", cfg.ApplyMs), "drain_within": fmt.Sprintf("%dms", cfg.DrainMs),
	}
	settings := map[string]any{
		"id": cfg.Name, "zone": cfg.Zone, "regions": cfg.Zones, "listen": b.Front, "admin": b.Ready, "discovery": discovery,
		"retries": map[string]any{"ratio": 0.2, "burst": 64, "window": "10s"},
		"link":    cfg.Control, "peers": cfg.Seeds, "link_tls": map[string]any{"insecure": true},
		"cores": 0.32, "link_mbps": 1000, "memory_mb": 284,
		"stop":    map[string]any{"notice": "3s", "grace": "6s"},
		"limits":  map[string]any{"header_bytes": 65536, "header_timeout": "10s", "idle_timeout": "2m", "replay_bytes": 131072},
		"metrics": FreeAddr(cfg.IP), "log_level": "info",
	}
	if cfg.QuotaSlack > 0 {
		settings["quotas"] = map[string]any{"slack": cfg.QuotaSlack}
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(cfg.Dir, cfg.Name+".jsonc")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	if b.log, err = os.Create(filepath.Join(cfg.Dir, cfg.Name+".log")); err != nil {
		return nil, err
	}
	b.cmd = exec.Command(Program, "run")
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOTUSWING_NODE_FILE=" + file}
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log
	return b, b.cmd.Start()
}

// Signal sends a signal to the process.
func (b *Balancer) Signal(s syscall.Signal) error { return b.cmd.Process.Signal(s) }

// Kill ends the process.
func (b *Balancer) Kill() {
	_ = b.cmd.Process.Signal(syscall.SIGCONT)
	_ = b.cmd.Process.Kill()
	_ = b.cmd.Wait()
	_ = b.log.Close()
}

// Tail returns the end of the process's log.
func (b *Balancer) Tail() string {
	raw, err := os.ReadFile(b.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-600):])
}

// Exited waits for the end of the process, at most for a time.
func (b *Balancer) Exited(within time.Duration) bool {
	done := make(chan struct{})
	go func() {
		_ = b.cmd.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// AwaitReady waits until the balancer is ready.
func (b *Balancer) AwaitReady(within time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + b.Ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
