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

// Files holds the paths of the PEM files of a balancer's certificate, its private
// key and the certificate authority (CA) that signs all balancers' certificates.
type Files struct {
	Cert, Key, CA string
}

// certReloader loads the certificate and key again when the modification time of
// the certificate file changes, so that they can be rotated without a restart.
type certReloader struct {
	files Files

	mu          sync.Mutex
	certModTime time.Time
	cert        *tls.Certificate
}

// certificate returns the current certificate. If loading a changed one fails, it
// returns the last certificate that was loaded.
func (r *certReloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, err := os.Stat(r.files.Cert)
	if err == nil && r.cert != nil && info.ModTime().Equal(r.certModTime) {
		return r.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if loadErr != nil {
		if r.cert != nil { // certificate and key may not match while they are being replaced
			return r.cert, nil
		}
		return nil, fmt.Errorf("link: load certificate: %w", loadErr)
	}
	r.cert = &cert
	if err == nil {
		r.certModTime = info.ModTime()
	}
	return r.cert, nil
}

// Secure returns the TLS configuration for the link_tls settings. If insecure is set, it
// logs a warning and returns nil, which means plain TCP.
func Secure(insecure bool, files Files, log hclog.Logger) (*tls.Config, error) {
	if insecure {
		log.Warn("link TLS is disabled; peers are not authenticated and traffic is not encrypted", "setting", "link_tls.insecure")
		return nil, nil
	}
	return TLSConfig(files)
}

// TLSConfig returns a configuration for mutual TLS, for clients and servers alike:
// each side presents a certificate signed by the CA. Host names are not verified,
// because machines are addressed by IP addresses that change. The CA must
// therefore sign certificates of balancers only.
func TLSConfig(files Files) (*tls.Config, error) {
	r := &certReloader{files: files}
	if _, err := r.certificate(); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("link: read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("link: CA file %s contains no valid PEM certificate", files.CA)
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
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, pool)
		},
	}, nil
}

// verifyChain checks that the peer's certificate was issued by a CA in pool,
// possibly through the intermediate certificates that the peer sent.
func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return fmt.Errorf("link: peer presented no certificate")
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
		return fmt.Errorf("link: verify peer certificate: %w", err)
	}
	return nil
}
