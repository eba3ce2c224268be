package systemtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/standin"
	"gotest.tools/v3/assert"
)

// session is an upgraded connection through a balancer.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openSession(t *testing.T, addr, host, path string) *session {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n", path, host)
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusSwitchingProtocols)
	return &session{conn: conn, reader: r}
}

// echo sends a line and reads it back.
func (s *session) echo(line string) error {
	if _, err := io.WriteString(s.conn, line+"\n"); err != nil {
		return err
	}
	got, err := s.reader.ReadString('\n')
	if err == nil && got != line+"\n" {
		err = fmt.Errorf("sent %q, got %q", line, got)
	}
	return err
}

// TestPlannedStopCutsNothing stops a balancer with a slow request, a slow
// upload and an upgraded session in flight.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	for i := range 3 {
		f.addEndpoint("bennani", "case-files", fmt.Sprintf("case-%d", i), "medina", standin.EndpointOptions{ServiceTime: 3 * time.Second})
		f.addEndpoint("bennani", "petitions", fmt.Sprintf("petition-%d", i), "medina", standin.EndpointOptions{ServiceTime: time.Millisecond})
	}
	f.apply(bennani)
	stopped := f.addBalancer("vm-a", "medina", "bennani")
	other := f.addBalancer("vm-b", "tribunal", "bennani")
	f.list()
	f.ready()

	slow := make(chan answer, 1)
	go func() {
		slow <- do(http.MethodGet, stopped.url()+"/cases/1", "medina.bennani", "slow", "")
	}()
	uploadBody, uploadWriter := io.Pipe()
	upload := make(chan answer, 1)
	go func() { upload <- streamUp(stopped.url()+"/petitions", "medina.bennani", uploadBody) }()
	_, err := io.WriteString(uploadWriter, "first half,")
	assert.NilError(t, err)
	live := openSession(t, stopped.listen, "medina.bennani", "/cases/session")
	assert.NilError(t, live.echo("before the stop"))
	eventually(t, "three requests in flight", func() bool { return stopped.status().InFlight == 3 })

	stopped.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool {
		return get("http://"+stopped.admin+"/readyz").status == http.StatusServiceUnavailable
	})
	eventually(t, "listener closed", func() bool {
		conn, err := net.Dial("tcp", stopped.listen)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	eventually(t, "the peer knows", func() bool { return len(other.status().Members) == 1 })
	assert.NilError(t, live.echo("after the listener closed"))
	_, err = io.WriteString(uploadWriter, "second half")
	assert.NilError(t, err)
	assert.NilError(t, uploadWriter.Close())

	got := <-upload
	assert.NilError(t, got.err)
	assert.Assert(t, strings.Contains(got.body, "body=first half,second half"), got.body)
	got = <-slow
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wantBody("slow", "/cases/1", ""))
	assert.NilError(t, live.echo("last of all"))
	assert.Assert(t, !stopped.exited())
	assert.NilError(t, live.conn.Close())
	assert.Equal(t, stopped.exitCode(), 0)
	assert.Assert(t, strings.Contains(stopped.output(), "cut=0"))

	got = do(http.MethodPost, other.url()+"/petitions", "medina.bennani", "later", "x")
	assert.Equal(t, got.status, http.StatusOK)
}

func streamUp(url, host string, body io.Reader) answer {
	req, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// TestPlannedStopOfHomeRefusesNothing stops the home while more requests wait
// in its queue than the slots serve: they are asked for again at the new home,
// and callers of the other balancers notice nothing.
func TestPlannedStopOfHomeRefusesNothing(t *testing.T) {
	f := newFleet(t)
	for i := range 2 {
		f.addEndpoint("bennani", "petitions", fmt.Sprintf("petition-%d", i), "medina", standin.EndpointOptions{ServiceTime: 100 * time.Millisecond})
		f.addEndpoint("bennani", "archives", fmt.Sprintf("archive-%d", i), "medina", standin.EndpointOptions{ServiceTime: time.Millisecond})
	}
	f.apply(bennani)
	f.addBalancer("vm-a", "medina", "bennani")
	f.addBalancer("vm-b", "tribunal", "bennani")
	f.addBalancer("vm-c", "ville-nouvelle", "bennani")
	f.list()
	f.ready()
	home, others := f.homeOf("bennani/petitions")
	c := f.startCallers(50, others...) // of 60 that six slots serve in a second
	eventually(t, "requests wait", func() bool { return home.status().Services["bennani/petitions"].Waiting["interactive"] > 0 })
	home.signal(syscall.SIGTERM)
	c.more(200)
	assert.Equal(t, home.exitCode(), 0)
	c.checkNoneRefused()
}

// TestPlannedStopWithHTTP2 serves a request on a shared HTTP/2 connection to
// its end.
func TestPlannedStopWithHTTP2(t *testing.T) {
	f := newFleet(t)
	f.addEndpoint("bennani", "case-files", "case-0", "medina", standin.EndpointOptions{ServiceTime: 2 * time.Second})
	f.apply(bennani)
	b := f.addBalancer("vm-a", "medina", "bennani")
	f.list()
	f.ready()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	got := make(chan answer, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, b.url()+"/cases/1", nil)
		if err != nil {
			got <- answer{err: err}
			return
		}
		req.Host = "medina.bennani"
		req.Header.Set(standin.KeyHeader, "slow")
		resp, err := client.Do(req)
		if err != nil {
			got <- answer{err: err}
			return
		}
		raw, err := io.ReadAll(resp.Body)
		got <- answer{status: resp.StatusCode, body: string(raw), err: err}
	}()
	eventually(t, "in flight", func() bool { return b.status().InFlight == 1 })
	b.signal(syscall.SIGTERM)
	a := <-got
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantBody("slow", "/cases/1", ""))
	assert.Equal(t, b.exitCode(), 0)
}
