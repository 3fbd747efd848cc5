package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert = template
	a.file = writePEM(t, "CERTIFICATE", raw)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t *testing.T, kind string, raw []byte) string {
	path := filepath.Join(t.TempDir(), "file.pem")
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// config returns the TLS configuration of a process whose certificate this authority
// signed and which trusts the given authority.
func (a *authority) config(trusts *authority) *tls.Config {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyRaw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	c, err := settings.ReadTLS(writePEM(a.t, "CERTIFICATE", raw), writePEM(a.t, "EC PRIVATE KEY", keyRaw), trusts.file)
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

// With mutual TLS, a server accepts only clients with a certificate that its own authority
// signed.
func TestMutualTLSAcceptsOnlyCertificatesOfTheAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	endpoint := func(name string, c *tls.Config) *Endpoint {
		return NewEndpoint(Config{Self: vm.NewIdentity(vm.ID(name), 1, "", "", ""), TLS: c, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger()})
	}
	server := endpoint("server", ours.config(ours))
	server.Handle(KindQuery, func(_ context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		return s.Send(text)
	})
	address := serveEndpoint(t, server)
	cases := []struct {
		name     string
		config   *tls.Config
		accepted bool
	}{
		{"signed by our authority", ours.config(ours), true},
		{"signed by another authority", theirs.config(ours), false},
		{"no certificate", nil, false},
	}
	for _, c := range cases {
		client := endpoint("client", c.config)
		var response string
		err := client.Call(context.Background(), address, KindQuery, "hello", &response)
		client.Close()
		if accepted := err == nil && response == "hello"; accepted != c.accepted {
			t.Errorf("%s: accepted %t, error %v", c.name, accepted, err)
		}
	}
}
