// Package response rejects HTTP responses that net/http accepts although HTTP doesn't
// allow them. The clients of replicas, services, the platform and the operators' interface
// call it before they use any part of a response. The rules are those of RFC 9110 and RFC
// 9112. Its functions have no state.
package response

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Check returns an error if the status line or the header of a response is invalid. It is
// then unknown where the response ends, so the connection must be closed.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// checkStatus returns an error for a status below 100. A status above 599 is invalid as
// well, but RFC 9110 lets clients treat it like 500.
func checkStatus(status int) error {
	if status < http.StatusContinue {
		return fmt.Errorf("malformed HTTP status code %03d", status)
	}
	return nil
}

// checkNames returns an error for a field name that is no token. net/http keeps a name
// with blanks as it is, so that "Content-Length " states no length.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("malformed HTTP header field name %q", name)
		}
	}
	return nil
}
