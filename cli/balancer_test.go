package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// output keeps what is written. It is safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// get returns the status of a response, 0 for none, and its body.
func get(url string) (status int, body string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	req.Host = "a.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.4:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// startStore returns the URL of a store that names an endpoint, at which requests hang until release is
// closed.
func startStore(t *testing.T, begun chan<- struct{}, release <-chan struct{}) string {
	t.Helper()
	answers := platformtest.NewEndpoint("i-1", platformtest.Behavior{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			begun <- struct{}{}
			<-release
		}
		answers.ServeHTTP(w, r)
	}))
	t.Cleanup(endpoint.Close)
	content := platformtest.NewStore()
	content.PutServer("i-1", platformtest.Server{Address: endpoint.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 3})
	content.Publish(1, []tenant.PrefixRoute{{
		Name: "r", Host: "a.example", Prefix: "/x/", Timeout: time.Minute, Target: time.Minute, MaxAttempts: 1,
		Split: []tenant.Share{{Service: "s", Weight: 1}},
	}}, map[string]tenant.Service{"s": {Connections: 10, ProbePath: "/health"}})
	front := httptest.NewServer(content)
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
	})
	return front.URL
}

// TestReloadDuringStopNeitherEndsNorDelaysIt, whatever the settings say of stops by then.
func TestReloadDuringStopNeitherEndsNorDelaysIt(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	url, listen, admin := startStore(t, begun, release), freeAddr(t), freeAddr(t)
	file := filepath.Join(t.TempDir(), "s.jsonc")
	write := func(notice string) {
		assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, `{"id": "vm-1", "zone": "medina", "listen": %q, "admin": %q,
			"discovery": {"kind": "platform", "url": %q}, "stop": {"notice": %q, "limit": "1m"}}`, listen, admin, url, notice), 0o600))
	}
	write("300ms")
	var out output
	exit, answered := make(chan int, 1), make(chan int, 1)
	go func() { exit <- Balancer([]string{"run", "--settings", file}, &out, &out) }()
	waitUntil(t, "ready", func() bool {
		status, _ := get("http://" + admin + "/readyz")
		return status == http.StatusOK
	})
	go func() {
		status, _ := get("http://" + listen + "/x/1")
		answered <- status
	}()
	<-begun
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	waitUntil(t, "stopping", func() bool {
		_, body := get("http://" + admin + "/readyz")
		return strings.Contains(body, "planned stop: ")
	})
	_, status := get("http://" + admin + "/status")
	assert.Assert(t, strings.Contains(status, `"Stop":{"Phase":"`) && !strings.Contains(status, `"Phase":"running"`), status)
	write("10m")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitUntil(t, "reload", func() bool { return strings.Contains(out.String(), "settings read again") })
	waitUntil(t, "listener closed", func() bool { return strings.Contains(out.String(), "stop closes the listener") })
	close(release)
	assert.Equal(t, <-answered, http.StatusOK)
	assert.Equal(t, <-exit, 0, "%s", out.String())
	assert.Assert(t, strings.Contains(out.String(), "cut=0"), out.String())
}

func TestHangUpWhileSettingsAreReadDoesNotEndProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	ended := make(chan int, 1)
	go func() { ended <- Balancer([]string{"run", "--settings", file}, io.Discard, io.Discard) }()
	w, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the settings are being read
	assert.NilError(t, err)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = io.WriteString(w, "not settings")
	assert.NilError(t, errors.Join(err, w.Close()))
	assert.Equal(t, <-ended, command.ExitUsage)
}
