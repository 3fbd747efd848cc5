// ================================================================
// A way to a server on which connections fall silent, as where a device between
// forgets them: what is open passes nothing any more, in either direction and
// without an end, and new connections work.
// ================================================================

package fake

import (
	"net"
	"sync"
	"sync/atomic"
)

// Silencer passes connections on to a server until they are silenced.
type Silencer struct {
	server   string
	listener net.Listener
	accepted atomic.Int64

	mu      sync.Mutex
	passing []*passage
}

// passage is one connection that passes.
type passage struct {
	near, far net.Conn
	silent    atomic.Bool
}

// NewSilencer returns a silencer before the server at an address.
func NewSilencer(server string) (*Silencer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Silencer{server: server, listener: l}
	go s.accept()
	return s, nil
}

// Addr returns where connections are taken.
func (s *Silencer) Addr() net.Addr { return s.listener.Addr() }

// Accepted returns how many connections were taken.
func (s *Silencer) Accepted() int { return int(s.accepted.Load()) }

// Silence silences the connections that are open.
func (s *Silencer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.passing {
		p.silent.Store(true)
	}
}

// Close ends all connections and takes no more.
func (s *Silencer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.passing {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

func (s *Silencer) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.server)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &passage{near: near, far: far}
		s.mu.Lock()
		s.passing = append(s.passing, p)
		s.mu.Unlock()
		s.accepted.Add(1)
		go p.pass(near, far)
		go p.pass(far, near)
	}
}

// pass passes one direction on. Once silent, what comes is dropped and an end is
// not told.
func (p *passage) pass(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
