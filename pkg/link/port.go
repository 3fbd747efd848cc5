package link

import "net"

// WithPortOf returns the addresses with their ports replaced by that of another address,
// since all processes listen for links on the same port. It leaves out addresses without a
// port. If the other address has no port, it returns the addresses unchanged.
func WithPortOf(addresses []string, other string) []string {
	_, port, err := net.SplitHostPort(other)
	if err != nil {
		return addresses
	}
	var replaced []string
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			replaced = append(replaced, net.JoinHostPort(host, port))
		}
	}
	return replaced
}
