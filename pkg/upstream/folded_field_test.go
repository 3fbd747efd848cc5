package upstream

import "testing"

// The scanner must not depend on where reads end, and must not look into bodies.
func TestFoldScanner(t *testing.T) {
	for bytes, folded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n body\r\n more":                                false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                        true,
		"HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n":                                            true,
		"HTTP/1.1 200 OK\nA: b\n c\n\n":                                                true,
		"HTTP/1.1 200 OK\n\n body":                                                     false,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n body": false,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":        true,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":        true,
	} {
		for size := 1; size <= len(bytes); size++ {
			var s foldScanner
			s.startResponse()
			for rest := []byte(bytes); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				s.scan(rest[:min(size, len(rest))])
			}
			if s.found != folded {
				t.Errorf("%q in reads of %d bytes: %t", bytes, size, s.found)
			}
		}
	}
}
