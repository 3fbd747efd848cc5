// ================================================================
// The settings that all daemons share: identity and location of the VM, listeners, authentication
// between processes, and logging.
// ================================================================

package settings

import (
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"os"
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Common holds the settings that all daemons share.
//
//wire:accessors
type Common struct {
	// name is the VM's name, unique among running VMs.
	name string
	// region is the VM's region.
	region string
	// domain is the VM's failure domain.
	domain string
	// peersListen is the address on which other processes and operators reach this process.
	peersListen string
	// peersAdvertise is the address that this process gives to others; it defaults to the listen
	// address.
	peersAdvertise string
	// keyFile is the path of the file with the key that all processes share; it may be empty.
	keyFile string
	// tlsCertificate is the path of the certificate for mutual TLS; it may be empty.
	tlsCertificate string
	// tlsKey is the path of the certificate's private key.
	tlsKey string
	// tlsAuthority is the path of the authority's certificate.
	tlsAuthority string
	// unsecured is set if every host that reaches the peers' address is trusted.
	unsecured bool
	// observeListen is the address of /metrics and /healthz; it may be empty.
	observeListen string
	// dataFolder is the folder for state and weights; it may be empty on an entry.
	dataFolder string
	// logLevel is the lowest level that is logged: debug, info, warn or error.
	logLevel string
}

// commonKeys returns the shared keys for settings T; common returns the Common inside a T.
func commonKeys[T any](common func(*T) *Common) []Key[T] {
	return []Key[T]{
		{Path: "vm.name", Required: true, ValueKind: kindText, Doc: "name of this VM, unique among running VMs",
			set: text(func(t *T) *string { return &common(t).name })},
		{Path: "vm.region", Required: true, ValueKind: kindText, Doc: "region of this VM",
			set: text(func(t *T) *string { return &common(t).region })},
		{Path: "vm.failure_domain", Required: true, ValueKind: kindText, Doc: "failure domain of this VM",
			set: text(func(t *T) *string { return &common(t).domain })},
		{Path: "peers.listen", Required: true, ValueKind: kindAddress, Doc: "address on which other processes and operators reach this one",
			set: address(func(t *T) *string { return &common(t).peersListen })},
		{Path: "peers.advertise", ValueKind: kindAddress, Doc: "address that this process gives to others; peers.listen if missing",
			set: address(func(t *T) *string { return &common(t).peersAdvertise })},
		{Path: "peers.key_file", ValueKind: kindFile, Doc: "file with the key that all processes share, 16 bytes or more",
			set: text(func(t *T) *string { return &common(t).keyFile })},
		{Path: "peers.tls.certificate", ValueKind: kindFile, Doc: "certificate for mutual TLS, in PEM",
			set: text(func(t *T) *string { return &common(t).tlsCertificate })},
		{Path: "peers.tls.key", ValueKind: kindFile, Doc: "private key of the certificate, in PEM",
			set: text(func(t *T) *string { return &common(t).tlsKey })},
		{Path: "peers.tls.authority", ValueKind: kindFile, Doc: "certificate of the authority that signs all certificates, in PEM",
			set: text(func(t *T) *string { return &common(t).tlsAuthority })},
		{Path: "peers.unsecured", Default: "false", ValueKind: kindFlag, Doc: "trust every host that reaches peers.listen; only for closed networks",
			set: flag(func(t *T) *bool { return &common(t).unsecured })},
		{Path: "observe.listen", ValueKind: kindAddress, Doc: "address of /metrics and /healthz; they are not served if it is missing",
			set: address(func(t *T) *string { return &common(t).observeListen })},
		{Path: "log.level", Default: "info", ValueKind: "debug, info, warn or error", Doc: "lowest level that is logged",
			set: text(func(t *T) *string { return &common(t).logLevel })},
	}
}

// minKeyLength is the minimum length of the shared key in bytes.
const minKeyLength = 16

// check sets the default of peersAdvertise and rejects combinations of settings that conflict.
func (c *Common) check(path string) error {
	if c.peersAdvertise == "" {
		c.peersAdvertise = c.peersListen
	}
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	if !levels[c.logLevel] {
		return failure.New(failure.BadSettings, "%s: log.level %q is not debug, info, warn or error", path, c.logLevel)
	}
	anySet := c.tlsCertificate != "" || c.tlsKey != "" || c.tlsAuthority != ""
	allSet := c.tlsCertificate != "" && c.tlsKey != "" && c.tlsAuthority != ""
	if anySet && !allSet {
		return failure.New(failure.BadSettings, "%s: peers.tls requires certificate, key and authority together", path)
	}
	if !c.Secured() && !c.unsecured && !isLoopback(c.peersListen) {
		return failure.New(failure.BadSettings,
			"%s: peers.listen %s is not a loopback address; set peers.key_file, peers.tls or peers.unsecured to listen there", path, c.peersListen)
	}
	return nil
}

// withOwnRegion returns the regions of failure domains with that of the own one, which vm.region names.
func (c Common) withOwnRegion(regions map[string]string) map[string]string {
	all := maps.Clone(regions)
	if all == nil {
		all = map[string]string{}
	}
	all[c.domain] = c.region
	return all
}

// WithoutDataFolder returns the settings without the data folder, for a process that opens its data
// folder itself, later and possibly more than once.
func (c Common) WithoutDataFolder() Common {
	c.dataFolder = ""
	return c
}

// Secured reports whether other processes must authenticate, by the shared key or by TLS.
func (c Common) Secured() bool { return c.keyFile != "" || c.tlsAuthority != "" }

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// SharedKey reads the shared key; it is nil if no key file is set.
func (c Common) SharedKey() ([]byte, error) { return ReadKey(c.keyFile) }

// ReadKey reads a key file, without leading and trailing white space. The key is nil for an empty
// path. It returns a BadSettings failure if the file is unreadable or the key too short.
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
		return nil, failure.New(failure.BadSettings, "key file %s holds %d bytes; the minimum is %d", path, len(key), minKeyLength)
	}
	return []byte(key), nil
}

// TLS returns the configuration of mutual TLS; it is nil if TLS is not set up.
func (c Common) TLS() (*tls.Config, error) {
	return ReadTLS(c.tlsCertificate, c.tlsKey, c.tlsAuthority)
}

// ReadTLS reads the three files of mutual TLS, each given by its path. The configuration is nil if
// authority is empty.
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
		InsecureSkipVerify:    true, // VMs have no host names; verifyChain checks the chain.
		VerifyPeerCertificate: verifyChain(pool),
	}, nil
}

// verifyChain returns a function that verifies the peer's certificate against the authority. It
// does not check a host name: VMs are addressed by IP addresses, which are reassigned to other VMs.
func verifyChain(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return failure.New(failure.Unauthorised, "the peer sent no certificate")
		}
		leaf, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return err
		}
		_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		return err
	}
}
