package rawserver

// Malformed returns answers that are no HTTP and hold a text, by name. Errors must not quote it.
func Malformed(text string) map[string]string {
	const maxTrailer = 256 // net/http refuses a long one for its length
	return map[string]string{
		"no HTTP":              text + "\r\n\r\n",
		"status line":          "HTTP/1.1 " + text + "\r\n\r\n",
		"line without a colon": "HTTP/1.1 200 OK\r\n" + text + "\r\n\r\n",
		"name of a field":      "HTTP/1.1 200 OK\r\n" + text + "(): x\r\n\r\n",
		"length":               "HTTP/1.1 200 OK\r\nContent-Length: " + text + "\r\n\r\n",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + text + "\r\n\r\n",
		"encoding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + text + "\r\n\r\n",
		"head cut in a line":   "HTTP/1.1 200 OK\r\n" + text,
		"trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + text[:min(len(text), maxTrailer)] + "\r\n\r\n",
	}
}
