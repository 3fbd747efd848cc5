// ================================================================
// Finds lines of a head that begin with a blank. net/http takes such a line for a part of the field before it, which was
// allowed once, so that a field whose name begins with a blank goes unnoticed, also where it says how the body ends.
// ================================================================

package upstream

// foldScanner reads the bytes of one response, and of the interim responses before it, up to the end of its head.
type foldScanner struct {
	inHead    bool
	line      int  // of the head, 0 is the status line
	column    int  // of the next byte
	isEmpty   bool // the line has no byte but a carriage return so far
	isInterim bool // the head is of an interim response, and another one follows
	found     bool
}

// startResponse has the scanner expect the head of a response.
func (s *foldScanner) startResponse() { *s = foldScanner{inHead: true, isEmpty: true} }

// scan reads the next bytes.
func (s *foldScanner) scan(p []byte) {
	for _, b := range p {
		if !s.inHead {
			return
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		s.scanByte(b)
	}
}

func (s *foldScanner) scanByte(b byte) {
	const statusColumn = len("HTTP/1.1 ")
	if s.line == 0 && s.column == statusColumn {
		s.isInterim = b == '1'
	}
	if s.line > 0 && s.column == 0 && (b == ' ' || b == '\t') {
		s.found = true
	}
	s.column++
	s.isEmpty = s.isEmpty && b == '\r'
}

func (s *foldScanner) endLine() {
	if s.isEmpty && s.line > 0 {
		found := s.found
		*s = foldScanner{inHead: s.isInterim, isEmpty: true, found: found}
		return
	}
	s.line++
	s.column, s.isEmpty = 0, true
}
