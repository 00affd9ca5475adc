// Package http1 holds checks of HTTP/1.1 exchanges that net/http does not make. The clients
// of endpoints use it.
package http1

import "net/http"

// EndsWithConnection reports whether only the end of its connection ends the body of a
// response, which has neither a length nor chunks. Call it before the body is replaced.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
