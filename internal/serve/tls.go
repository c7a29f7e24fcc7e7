package serve

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// AuthorityError reports a file without certificates.
type AuthorityError struct {
	File string
}

// Error names the file.
func (e *AuthorityError) Error() string { return "no certificate in " + e.File }

// errNoPeerCertificate reports a connection without a certificate.
var errNoPeerCertificate = errors.New("the other instance has no certificate")

// peerTLS returns the configuration of connections between instances, nil where they are not protected.
//
// The files are read again at each handshake, so that keys and authorities
// rotate without a restart. Instances are known by their authority and not by
// their address, since addresses are reused.
func (i *Instance) peerTLS() (*tls.Config, error) {
	if i.TLSCertificate == "" {
		return nil, nil //nolint:nilnil // no protection was asked for
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
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection:   i.verifyPeer,
	}, nil
}

func (i *Instance) loadCertificate() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(i.TLSCertificate, i.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &c, nil
}

func (i *Instance) loadAuthority() (*x509.CertPool, error) {
	b, err := os.ReadFile(i.TLSAuthority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
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
		return fmt.Errorf("verify instance: %w", err)
	}
	return nil
}
