package load_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/lotuswing/lotuswing/load"
	"gotest.tools/v3/assert"
)

// get asks for a path and returns the answer's body.
func get(ctx context.Context, p *load.Pipeline, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := p.RoundTrip(req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// countingServer counts its connections.
func countingServer(t *testing.T, handle http.HandlerFunc) (url string, connections *atomic.Int64) {
	t.Helper()
	connections = new(atomic.Int64)
	s := httptest.NewUnstartedServer(handle)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.URL, connections
}

// TestPipelineKeepsAnswersApart: requests that wait on the same connections each get
// their own answer, and no more connections are opened than are needed.
func TestPipelineKeepsAnswersApart(t *testing.T) {
	const requests, depth = 24, 6
	url, connections := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	p := load.NewPipeline(depth)
	defer p.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			path := fmt.Sprint("/", i)
			body, err := get(context.Background(), p, url+path)
			assert.Check(t, err == nil && body == path, "%s: %q, %v", path, body, err)
		})
	}
	wg.Wait()
	assert.Assert(t, connections.Load() <= requests/depth, "%d connections", connections.Load())
}

// TestPipelineGivenUp: a request that its caller gives up leaves those behind it theirs.
func TestPipelineGivenUp(t *testing.T) {
	release := make(chan struct{})
	url, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	p := load.NewPipeline(2)
	defer p.CloseIdleConnections()
	ctx, giveUp := context.WithCancel(context.Background())
	given := make(chan error, 1)
	go func() {
		_, err := get(ctx, p, url+"/slow")
		given <- err
	}()
	giveUp()
	assert.ErrorIs(t, <-given, context.Canceled)
	close(release)
	body, err := get(context.Background(), p, url+"/next")
	assert.NilError(t, err)
	assert.Equal(t, body, "/next")
}

// TestPipelineEnds: an answer that closes the connection leaves those behind it without
// one, and later requests go on another connection.
func TestPipelineEnds(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	url, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			close(began)
			<-release
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	p := load.NewPipeline(2)
	defer p.CloseIdleConnections()
	type ended struct {
		body string
		err  error
	}
	ask := func(path string) chan ended {
		done := make(chan ended, 1)
		go func() {
			body, err := get(context.Background(), p, url+path)
			done <- ended{body, err}
		}()
		return done
	}
	last := ask("/last")
	<-began
	behind := ask("/behind")
	close(release)
	assert.Equal(t, <-last, ended{body: "/last"})
	got := <-behind // it was sent behind the last one, or had not been yet
	assert.Assert(t, got.err != nil || got.body == "/behind", "%q", got.body)
	assert.Equal(t, <-ask("/after"), ended{body: "/after"})
}
