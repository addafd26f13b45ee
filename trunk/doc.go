// Package trunk is an HTTP/1.1 client for backend servers. It pools TCP connections,
// each of which carries one request at a time. It distinguishes requests that certainly
// were not sent from those that may have arrived, checks that a response belongs to its
// request, and never retries a request.
package trunk
