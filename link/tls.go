package link

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Files names the PEM files of a balancer's certificate, its key and the
// authority that signs all balancers' certificates.
type Files struct {
	Cert, Key, CA string
}

// reloader reads the certificate again when its file has changed, so that keys
// are rotated without a restart.
type reloader struct {
	files Files

	mu       sync.Mutex
	modified time.Time
	cert     *tls.Certificate
}

func (r *reloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, err := os.Stat(r.files.Cert)
	if err == nil && r.cert != nil && info.ModTime().Equal(r.modified) {
		return r.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if loadErr != nil {
		if r.cert != nil { // keep the last good one while files are replaced
			return r.cert, nil
		}
		return nil, fmt.Errorf("link: certificate: %w", loadErr)
	}
	r.cert = &cert
	if err == nil {
		r.modified = info.ModTime()
	}
	return r.cert, nil
}

// Secure returns the configuration that the settings ask for; nil means plain
// TCP, which is logged.
func Secure(insecure bool, files Files, log hclog.Logger) (*tls.Config, error) {
	if insecure {
		log.Warn("links are not secured", "setting", "link_tls.insecure")
		return nil, nil
	}
	return TLSConfig(files)
}

// TLSConfig returns the configuration for both directions of a link: each side
// shows a certificate signed by the authority. Names are not compared, since
// machines are known by IP numbers that change; the authority signs balancers
// only.
func TLSConfig(files Files) (*tls.Config, error) {
	r := &reloader{files: files}
	if _, err := r.certificate(); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("link: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("link: authority: %s holds no certificate", files.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		RootCAs:    pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
		InsecureSkipVerify: true, // replaced by the check of the chain below
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, pool)
		},
	}, nil
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return fmt.Errorf("link: peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("link: peer's certificate: %w", err)
	}
	return nil
}
