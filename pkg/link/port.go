package link

import "net"

// WithPortOf returns the hosts of addresses with the port of another address:
// all processes listen for links on one port.
func WithPortOf(addresses []string, other string) []string {
	_, port, err := net.SplitHostPort(other)
	if err != nil {
		return addresses
	}
	var moved []string
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			moved = append(moved, net.JoinHostPort(host, port))
		}
	}
	return moved
}
