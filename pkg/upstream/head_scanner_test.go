package upstream

import "testing"

// The scanner must not depend on where reads end, and must not look into bodies.
func TestHeadScanner(t *testing.T) {
	for bytes, fault := range map[string]error{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n body\r\n more":                                nil,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                        errUnsoundField,
		"HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n":                                            errUnsoundField,
		"HTTP/1.1 200 OK\nA: b\n c\n\n":                                                errUnsoundField,
		"HTTP/1.1 200 OK\n\n body":                                                     nil,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n body": nil,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":        errUnsoundField,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":        errUnsoundField,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                        errEncodedHTTP10,
		"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-ENCODING:chunked\r\n\r\n":                 errEncodedHTTP10,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                        nil,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nX-Transfer-Encoding: b\r\n\r\n":   nil,
		"HTTP/1.0 200 OK\r\nA: Transfer-Encoding: chunked\r\n\r\nTransfer-Encoding: x": nil,
	} {
		for size := 1; size <= len(bytes); size++ {
			var s headScanner
			s.startResponse()
			for rest := []byte(bytes); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				s.scan(rest[:min(size, len(rest))])
			}
			if s.fault != fault {
				t.Errorf("%q in reads of %d bytes: %v", bytes, size, s.fault)
			}
		}
	}
}
