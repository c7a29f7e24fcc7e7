package serve

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// AuthorityError reports that a certificate authority file holds no certificate.
type AuthorityError struct {
	File string
}

// Error names the file.
func (e *AuthorityError) Error() string { return "no certificate in " + e.File }

// errNoPeerCertificate reports that the other instance presented no certificate.
var errNoPeerCertificate = errors.New("the other instance presented no certificate")

// peerTLS returns the TLS configuration of connections between instances, or nil if TLS is not configured.
//
// The files are read again at each handshake, so that keys and authorities can
// be rotated without a restart. An instance is authenticated by the authority
// that signed its certificate and not by its address, since addresses are
// reused.
func (i *Instance) peerTLS() (*tls.Config, error) {
	if i.TLSCertificate == "" {
		return nil, nil //nolint:nilnil // TLS is not configured
	}
	if _, err := i.loadCertificate(); err != nil {
		return nil, err
	}
	if _, err := i.loadAuthority(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.loadCertificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.loadCertificate()
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain
		VerifyConnection:   i.verifyPeer,
	}, nil
}

func (i *Instance) loadCertificate() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(i.TLSCertificate, i.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("load instance certificate: %w", err)
	}
	return &c, nil
}

func (i *Instance) loadAuthority() (*x509.CertPool, error) {
	b, err := os.ReadFile(i.TLSAuthority)
	if err != nil {
		return nil, fmt.Errorf("load certificate authority: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, &AuthorityError{File: i.TLSAuthority}
	}
	return p, nil
}

func (i *Instance) verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	p, err := i.loadAuthority()
	if err != nil {
		return err
	}
	o := x509.VerifyOptions{Roots: p, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return fmt.Errorf("verify certificate of instance: %w", err)
	}
	return nil
}
