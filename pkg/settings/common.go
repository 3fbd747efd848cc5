// ================================================================
// The keys that both daemons have: who the process is, where it stands, how
// it listens and how it proves itself to the others.
// ================================================================

package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Common are the settings that both daemons have.
//
//wire:accessors
type Common struct {
	// name is the VM's name, unique among those that live.
	name string
	// region is the VM's region.
	region string
	// domain is the VM's failure domain.
	domain string
	// peersListen is where other processes and operators reach it.
	peersListen string
	// peersAdvertise is the address that others are told; the listen address
	// unless it differs.
	peersAdvertise string
	// keyFile holds the key that all processes share; may be empty.
	keyFile string
	// tlsCertificate, tlsKey and tlsAuthority are the files of mutual TLS.
	tlsCertificate string
	tlsKey         string
	tlsAuthority   string
	// unsecured says that whoever reaches the peers' address is trusted.
	unsecured bool
	// observeListen is where /metrics and /healthz are served; may be empty.
	observeListen string
	// dataFolder is where state and weights lie; may be empty on an entry.
	dataFolder string
	// logLevel is debug, info, warn or error.
	logLevel string
}

// commonKeys returns the shared keys for a T that holds a Common.
func commonKeys[T any](c func(*T) *Common) []Key[T] {
	return []Key[T]{
		{Path: "vm.name", Required: true, ValueKind: kindText, Doc: "name of this VM, unique among those that live",
			set: text(func(t *T) *string { return &c(t).name })},
		{Path: "vm.region", Required: true, ValueKind: kindText, Doc: "region of this VM",
			set: text(func(t *T) *string { return &c(t).region })},
		{Path: "vm.failure_domain", Required: true, ValueKind: kindText, Doc: "failure domain of this VM",
			set: text(func(t *T) *string { return &c(t).domain })},
		{Path: "peers.listen", Required: true, ValueKind: kindAddress, Doc: "where other processes and operators reach this one",
			set: address(func(t *T) *string { return &c(t).peersListen })},
		{Path: "peers.advertise", ValueKind: kindAddress, Doc: "the address that others are told, when it is not peers.listen",
			set: address(func(t *T) *string { return &c(t).peersAdvertise })},
		{Path: "peers.key_file", ValueKind: kindFile, Doc: "file with the key that all processes share, 16 bytes or more",
			set: text(func(t *T) *string { return &c(t).keyFile })},
		{Path: "peers.tls.certificate", ValueKind: kindFile, Doc: "certificate for mutual TLS, in PEM",
			set: text(func(t *T) *string { return &c(t).tlsCertificate })},
		{Path: "peers.tls.key", ValueKind: kindFile, Doc: "private key of the certificate, in PEM",
			set: text(func(t *T) *string { return &c(t).tlsKey })},
		{Path: "peers.tls.authority", ValueKind: kindFile, Doc: "authority that all certificates are signed by, in PEM",
			set: text(func(t *T) *string { return &c(t).tlsAuthority })},
		{Path: "peers.unsecured", Default: "false", ValueKind: kindFlag, Doc: "trust whoever reaches peers.listen: for networks that are closed to others",
			set: flag(func(t *T) *bool { return &c(t).unsecured })},
		{Path: "observe.listen", ValueKind: kindAddress, Doc: "where /metrics and /healthz are served; nowhere when missing",
			set: address(func(t *T) *string { return &c(t).observeListen })},
		{Path: "log.level", Default: "info", ValueKind: "debug, info, warn or error", Doc: "least level that is logged",
			set: text(func(t *T) *string { return &c(t).logLevel })},
	}
}

const minKeyLength = 16

// check refuses settings that are valid one by one but not together.
func (c *Common) check(path string) error {
	if c.peersAdvertise == "" {
		c.peersAdvertise = c.peersListen
	}
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	if !levels[c.logLevel] {
		return failure.New(failure.BadSettings, "%s: log.level %q is not debug, info, warn or error", path, c.logLevel)
	}
	some := c.tlsCertificate != "" || c.tlsKey != "" || c.tlsAuthority != ""
	all := c.tlsCertificate != "" && c.tlsKey != "" && c.tlsAuthority != ""
	if some && !all {
		return failure.New(failure.BadSettings, "%s: peers.tls needs certificate, key and authority together", path)
	}
	if !c.Secured() && !c.unsecured && !isLoopback(c.peersListen) {
		return failure.New(failure.BadSettings,
			"%s: peers.listen %s is not a loopback address; name peers.key_file, peers.tls or peers.unsecured to listen there", path, c.peersListen)
	}
	return nil
}

// WithoutDataFolder returns the settings of a process that opens its data
// folder itself, later and again.
func (c Common) WithoutDataFolder() Common {
	c.dataFolder = ""
	return c
}

// Secured tells whether other processes must prove themselves.
func (c Common) Secured() bool { return c.keyFile != "" || c.tlsAuthority != "" }

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// SharedKey reads the shared key; nil when none is named.
func (c Common) SharedKey() ([]byte, error) { return ReadKey(c.keyFile) }

// ReadKey reads a key file; nil for an empty path.
func ReadKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "key file: %v", err)
	}
	key := strings.TrimSpace(string(raw))
	if len(key) < minKeyLength {
		return nil, failure.New(failure.BadSettings, "key file %s holds %d bytes; the least is %d", path, len(key), minKeyLength)
	}
	return []byte(key), nil
}

// TLS returns the configuration of mutual TLS; nil when none is named.
func (c Common) TLS() (*tls.Config, error) {
	return ReadTLS(c.tlsCertificate, c.tlsKey, c.tlsAuthority)
}

// ReadTLS reads the three files of mutual TLS; nil when they are not named.
func ReadTLS(certificate, key, authority string) (*tls.Config, error) {
	if authority == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "peers.tls: %v", err)
	}
	raw, err := os.ReadFile(authority)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "peers.tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, failure.New(failure.BadSettings, "peers.tls.authority %s holds no certificate", authority)
	}
	return &tls.Config{
		Certificates:          []tls.Certificate{pair},
		RootCAs:               pool,
		ClientCAs:             pool,
		ClientAuth:            tls.RequireAndVerifyClientCert,
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // Names are IP numbers; the chain is checked below.
		VerifyPeerCertificate: verifyChain(pool),
	}, nil
}

// verifyChain checks the other side's certificate against the authority. The
// host name is not checked: VMs are known by IP numbers that change hands.
func verifyChain(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return failure.New(failure.Unauthorised, "the other side sent no certificate")
		}
		leaf, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return err
		}
		_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		return err
	}
}
