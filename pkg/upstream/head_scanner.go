// ================================================================
// Finds what is not sound in the bytes of a head and can't be seen in the parsed one:
//
//   - a line that begins with a blank: net/http takes it for a part of the field before it, which was allowed once, so a
//     field whose name begins with a blank goes unnoticed
//   - Transfer-Encoding in a response of HTTP/1.0: net/http drops the field, so the framing of the chunks becomes the body
// ================================================================

package upstream

const (
	// minorVersionColumn and statusColumn are where a status line has its minor version and its status.
	minorVersionColumn = len("HTTP/1.")
	statusColumn       = len("HTTP/1.1 ")
	// encodingField is compared with lines in lower case.
	encodingField = "transfer-encoding:"
)

// headScanner reads the bytes of one response, and of the interim responses before it, up to the end of its head.
type headScanner struct {
	inHead    bool
	line      int  // of the head, 0 is the status line
	column    int  // of the next byte
	isEmpty   bool // the line has no byte but a carriage return so far
	isInterim bool // the head is of an interim response, and another one follows
	isHTTP10  bool
	matched   int   // how many bytes of encodingField the line begins with
	fault     error // why the head is not sound; nil if it is, as far as it was read
}

// startResponse has the scanner expect the head of a response.
func (s *headScanner) startResponse() { *s = headScanner{inHead: true, isEmpty: true} }

// scan reads the next bytes.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if !s.inHead {
			return
		}
		switch {
		case b == '\n':
			s.endLine()
			continue
		case s.line == 0:
			s.scanStatusLine(b)
		default:
			s.scanField(b)
		}
		s.column++
		s.isEmpty = s.isEmpty && b == '\r'
	}
}

func (s *headScanner) scanStatusLine(b byte) {
	switch s.column {
	case minorVersionColumn:
		s.isHTTP10 = b == '0'
	case statusColumn:
		s.isInterim = b == '1'
	}
}

func (s *headScanner) scanField(b byte) {
	if s.column == 0 && (b == ' ' || b == '\t') {
		s.fault = errUnsoundField
	}
	if s.matched == s.column && s.matched < len(encodingField) && lower(b) == encodingField[s.matched] {
		s.matched++
	}
	if s.isHTTP10 && s.matched == len(encodingField) {
		s.fault = errEncodedHTTP10
	}
}

// lower returns a letter in lower case, and another byte unchanged.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

func (s *headScanner) endLine() {
	if s.isEmpty && s.line > 0 {
		*s = headScanner{inHead: s.isInterim, isEmpty: true, fault: s.fault}
		return
	}
	s.line++
	s.column, s.matched, s.isEmpty = 0, 0, true
}
